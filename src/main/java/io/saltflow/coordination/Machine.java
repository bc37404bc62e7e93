package io.saltflow.coordination;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.TaskId;
import io.saltflow.protocol.Time;
import io.saltflow.reachability.Hearing;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/** A rented machine and what is, or might be, on it. */
public final class Machine {
  private static final int REMEMBERED_IMAGES = 6;

  /** Boots take 0.6 to 1.5 times what the cloud says, by the protocol. */
  private static final double USUALLY_UP = 1.6;

  /** A task that the last round gave to this machine; it leaves with the next answered report. */
  record Assigned(Job job, int index, boolean backfilled) {}

  final MachineId id;

  /** Where its worker can be reached, as it says itself; empty: it has not said. */
  String address = "";

  final String typeName;
  final String zone;
  final boolean spot;

  /** For a machine of a former leader's: when this leader came to know of it. */
  final Time rentedAt;

  /** Since when it is paid for: earlier than that once the cloud's list tells its age. */
  Time paidFrom;

  MachineType type;
  boolean up;

  /** Reported with our token seen: its list holds all that earlier leaders ever launched on it. */
  boolean accounted;

  /** Might hold tasks that a former leader launched. */
  boolean mightHoldOldTasks;

  /** What it counts for among those: its size, or more than any limit while that is not known. */
  Size unheardAs = Size.ZERO;

  /** Reports are overdue: what is given to it now would wait, perhaps for nothing. */
  boolean quiet;

  /** The cloud's last list did not have it: no proof, but reason not to wait long for it. */
  boolean unlisted;

  boolean ledgered;
  boolean ledgerAsked;

  /** Dear and no longer needed: it gets no new tasks, and goes when it is empty. */
  boolean retiring;

  boolean leaving;
  boolean deleteAsked;
  Time lastHeard;

  /** When the last report that was answered came: what its lease is counted from. */
  Time lastAnswered = Time.LONG_AGO;

  /** Whether answers reach it; null until the first report. */
  Hearing hearing;

  long session;
  long sequence;
  Time noticeAt;
  Time idleSince;
  int errorsInARow;
  boolean faulty;

  /** Since when it is known to be faulty. */
  Time faultySince = Time.LONG_AGO;

  final Map<TaskId, Presence> presences = new LinkedHashMap<>();
  final List<Assigned> assigned = new ArrayList<>();
  private Size used = Size.ZERO;

  /** What the last round, and what was given since, leave of the free room. */
  Size room = Size.ZERO;

  /** The head's claim on it, or null. */
  Reservation reserved;

  /** Room that moves keep here, for one task of each of these jobs. */
  final Map<JobId, Size> keeps = new LinkedHashMap<>();

  final LinkedHashSet<String> images = new LinkedHashSet<>();

  Machine(
      MachineId id, MachineType type, String typeName, String zone, boolean spot, Time rentedAt) {
    this.id = id;
    this.type = type;
    this.typeName = typeName;
    this.zone = zone;
    this.spot = spot;
    this.rentedAt = rentedAt;
    this.paidFrom = rentedAt;
    this.idleSince = rentedAt;
    this.lastHeard = Time.LONG_AGO;
  }

  public MachineId id() {
    return id;
  }

  /** Whether new tasks may be placed here. */
  boolean usable() {
    return up
        && !quiet
        && accounted
        && ledgered
        && !leaving
        && !faulty
        && noticeAt == null
        && type != null;
  }

  /** It reports, and nothing that it is answered reaches it. */
  boolean deaf() {
    return hearing != null && hearing.deaf();
  }

  /** When it was last known to be well: heard, and hearing. */
  Time lastWell() {
    return deaf() ? Time.earlier(lastHeard, hearing.deafSince()) : lastHeard;
  }

  /** What runs here will be gone before long, without the machine having failed it yet. */
  boolean goesSoon() {
    return noticeAt != null || faulty || leaving;
  }

  void fails(Time now) {
    if (!faulty) {
      faulty = true;
      faultySince = now;
    }
  }

  /** On its way up, as far as is known. */
  boolean booting() {
    return !up && !leaving && type != null;
  }

  /** Longer on its way up than nearly all machines take. */
  boolean late(Time now) {
    return booting() && now.after(rentedAt.plus(type.boot().times(USUALLY_UP)));
  }

  /** What the tasks that are, or might be, on it take. */
  Size used() {
    return used;
  }

  Size free() {
    return type.size().minus(used);
  }

  void keep(JobId job, Size size) {
    keeps.put(job, size);
  }

  /** What is kept here for anybody. */
  Size keptInAll() {
    Size sum = Size.ZERO;
    for (Size s : keeps.values()) {
      sum = sum.plus(s);
    }
    return sum;
  }

  /** The room that a task of the job may take: what is kept for others is not its. */
  Size roomFor(Job job) {
    return keeps.isEmpty() ? room : room.minus(keptInAll()).plus(keptFor(job));
  }

  Size keptFor(Job job) {
    return keeps.getOrDefault(job.id(), Size.ZERO);
  }

  void put(Presence p) {
    Presence before = presences.put(p.task(), p);
    used = (before == null ? used : used.minus(before.job.spec.size())).plus(p.job.spec.size());
    room = room.minus(p.job.spec.size());
  }

  void remove(Presence p) {
    if (presences.remove(p.task(), p)) {
      used = presences.isEmpty() ? Size.ZERO : used.minus(p.job.spec.size());
      room = room.plus(p.job.spec.size());
    }
  }

  void remember(String image) {
    images.remove(image);
    images.add(image);
    if (images.size() > REMEMBERED_IMAGES) {
      images.remove(images.iterator().next());
    }
  }

  double pricePerCore() {
    return type.hourly(spot) / Math.max(0.1, type.size().cores());
  }

  String kind() {
    return typeName + "/" + zone + (spot ? "/spot" : "/ordinary");
  }
}
