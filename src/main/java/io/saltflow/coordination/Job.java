package io.saltflow.coordination;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/** An accepted job that is not over, as the leader knows it. */
public final class Job {
  private static final int UNSAID = -1;
  private static final int MOST_ENDS = 1000;

  /** A task's end that nobody asked for; a lost machine is no failure of the task. */
  public record End(String cause, boolean failure) {}

  /** A service's tasks as this leader sees them: those it can't see are on silent machines. */
  public record Replicas(int ready, int settled, int unseen, int present) {}

  final JobSpec spec;
  final long arrivedWallMs;
  final BitSet done;
  final BitSet stopped = new BitSet();
  final TreeMap<Integer, Presence> present = new TreeMap<>();

  /** Tasks that need no machine now: done, on one, or given to one by the last round. */
  private final BitSet taken;

  final TreeMap<Integer, Time> notBefore = new TreeMap<>();
  final TreeMap<Integer, Span> ranBefore = new TreeMap<>();
  final Set<MachineId> errorMachines = new HashSet<>();

  /** Zones of the tasks given out by the last round and not yet launched. */
  final List<String> assignedZones = new ArrayList<>();

  /** A former leader may have launched some of it, so a new one must know where before it does. */
  final boolean maybeStartedBefore;

  /** The record says that it may be launched, so a successor will look for it. */
  boolean startRecorded;

  boolean startAsked;
  int errors;

  /** By this leader's clock; what another node wrote down may be off by the skew of both. */
  Time arrivedAt;

  /** When it should be complete, by its deadline or its class's aim; null: no such time. */
  Time dueAt;

  /** When its tasks should have started, by its class's aim; null: no such time. */
  Time startBy;

  /** Its place among jobs of the same priority, in milliseconds of arrival. */
  double place;

  /** Its time is running out: it queues above its own priority. */
  boolean pressed;

  /**
   * How many of its tasks may be on machines: of a service's job what its record says, and until
   * that is known (-1) none is started and none stopped.
   */
  private int most;

  /** Ends of a service's tasks that nobody asked for, since they were last taken. */
  private final List<End> ends = new ArrayList<>();

  boolean cancelled;
  boolean finishing;
  boolean dirty;

  /** The done tasks that the state service holds. */
  BitSet recorded;

  public Job(JobSpec spec, long arrivedWallMs, BitSet done, boolean maybeStarted) {
    this.maybeStartedBefore = maybeStarted;
    this.startRecorded = maybeStarted;
    this.spec = spec;
    this.most = service() ? UNSAID : Integer.MAX_VALUE;
    this.arrivedWallMs = arrivedWallMs;
    this.done = done;
    this.taken = (BitSet) done.clone();
    this.recorded = (BitSet) done.clone();
  }

  public JobId id() {
    return spec.id();
  }

  public JobSpec spec() {
    return spec;
  }

  public long arrivedWallMs() {
    return arrivedWallMs;
  }

  public BitSet doneTasks() {
    return done;
  }

  public int doneCount() {
    return done.cardinality();
  }

  public int runningCount() {
    int n = 0;
    for (Presence p : present.values()) {
      if (p.state == Presence.State.RUNNING) {
        n++;
      }
    }
    return n;
  }

  /** How often its tasks have failed under this leader. */
  public int errorCount() {
    return errors;
  }

  /** Whether it is a version of a service, of which as many tasks run as its record says. */
  boolean service() {
    return spec.jobClass().startsWith(Wire.SERVICE_CLASS);
  }

  /** So many tasks may be on machines from now on. False: as before. */
  boolean want(int tasks) {
    boolean other = most != tasks;
    most = tasks;
    return other;
  }

  /** How many tasks it should have in all. */
  int wantedTasks() {
    return most == UNSAID ? present.size() : Math.min(spec.tasks(), most);
  }

  /** Those that are too many now: first what does not run yet, then what began last. */
  List<Presence> surplus() {
    if (most == UNSAID || present.size() <= most) {
      return List.of();
    }
    List<Presence> staying = new ArrayList<>();
    for (Presence p : present.values()) {
      if (!p.stopping) {
        staying.add(p);
      }
    }
    staying.sort(
        Comparator.comparing((Presence p) -> p.runningSince == null ? Time.NEVER : p.runningSince)
            .thenComparing(p -> p.index));
    return staying.subList(Math.min(most, staying.size()), staying.size());
  }

  void ended(String cause, boolean failure) {
    if (service() && ends.size() < MOST_ENDS) {
      ends.add(new End(cause, failure));
    }
  }

  /** The ends since this was last asked. */
  public List<End> takeEnds() {
    List<End> out = List.copyOf(ends);
    ends.clear();
    return out;
  }

  /** How its tasks stand; settled are those that have been ready for that long. */
  public Replicas replicas(Span settle, Time now) {
    int ready = 0;
    int settled = 0;
    int unseen = 0;
    for (Presence p : present.values()) {
      if (p.machine.quiet) {
        unseen++;
      } else if (p.state == Presence.State.RUNNING && !p.stopping && p.runningSince != null) {
        ready++;
        settled += now.since(p.runningSince).compareTo(settle) >= 0 ? 1 : 0;
      }
    }
    return new Replicas(ready, settled, unseen, present.size());
  }

  boolean allDone() {
    return !spec.daemon() && done.cardinality() == spec.tasks();
  }

  /** How long it is past its own deadline; 0: it is not, or has none. */
  double lateS(Time now) {
    boolean has = spec.deadline() != null && dueAt != null;
    return has ? Math.max(0, now.since(dueAt).toSeconds()) : 0;
  }

  /** The priority that it queues by: work of low priority rises when its time is running out. */
  Priority queuedAs() {
    return pressed && spec.priority() == Priority.LOW ? Priority.NORMAL : spec.priority();
  }

  /** Whether its failures look like the job's own mistake: it fails on machine after machine. */
  boolean failsEverywhere() {
    return errorMachines.size() >= 3 && doneCount() == 0;
  }

  /** Tasks that are neither done nor on a machine. */
  int pendingCount() {
    return Math.max(0, wantedTasks() - done.cardinality() - present.size());
  }

  void put(Presence p) {
    present.put(p.index, p);
    taken.set(p.index);
  }

  void remove(Presence p) {
    if (present.remove(p.index, p)) {
      freed(p.index);
    }
  }

  void isDone(int index) {
    done.set(index);
    taken.set(index);
  }

  /** A round gives the task to a machine, which is told with its next report. */
  void given(int index) {
    taken.set(index);
  }

  /** The task is no longer given to a machine, or is gone from it. */
  void freed(int index) {
    taken.set(index, done.get(index) || present.containsKey(index));
  }

  /** The next task to start from the given index on, or -1; tasks that wait out an error don't. */
  int nextPending(int from, Time now) {
    if (service() && taken.cardinality() >= wantedTasks()) {
      return -1;
    }
    for (int i = taken.nextClearBit(from); i < spec.tasks(); i = taken.nextClearBit(i + 1)) {
      Time wait = notBefore.isEmpty() ? null : notBefore.get(i);
      if (wait == null || !now.before(wait)) {
        return i;
      }
    }
    return -1;
  }

  /** How many tasks could start from the given index on, counted up to a limit. */
  int countPending(int from, int atMost, Time now) {
    int most = service() ? Math.min(atMost, wantedTasks() - taken.cardinality()) : atMost;
    if (most <= 0) {
      return 0;
    }
    if (notBefore.isEmpty()) {
      int before = from - taken.get(0, from).cardinality();
      return Math.min(most, spec.tasks() - taken.cardinality() - before);
    }
    int n = 0;
    for (int i = nextPending(from, now); i >= 0 && n < most; i = nextPending(i + 1, now)) {
      n++;
    }
    return n;
  }
}
