package io.saltflow.coordination;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/** An accepted job that is not over, as the leader knows it. */
public final class Job {
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

  boolean cancelled;
  boolean finishing;
  boolean dirty;

  /** The done tasks that the state service holds. */
  BitSet recorded;

  public Job(JobSpec spec, long arrivedWallMs, BitSet done, boolean maybeStarted) {
    this.maybeStartedBefore = maybeStarted;
    this.startRecorded = maybeStarted;
    this.spec = spec;
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
    return Math.max(0, spec.tasks() - done.cardinality() - present.size());
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
    for (int i = taken.nextClearBit(from); i < spec.tasks(); i = taken.nextClearBit(i + 1)) {
      Time wait = notBefore.isEmpty() ? null : notBefore.get(i);
      if (wait == null || !now.before(wait)) {
        return i;
      }
    }
    return -1;
  }

  /** How many tasks could start from the given index on, counted up to a limit. */
  int countPending(int from, int most, Time now) {
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
