package io.saltflow.coordination;

import io.saltflow.lanes.Lane;
import io.saltflow.lanes.Moved;
import io.saltflow.lanes.Place;
import io.saltflow.lanes.Standing;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import io.saltflow.shares.Party;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

/** An accepted job that is not over, as the leader knows it. */
public final class Job {
  private static final int UNSAID = -1;
  private static final int MOST_ENDS = 1000;

  /** How far apart the tries of a job are that fails everywhere: twice as far after each. */
  private static final Span FIRST_TRY = Span.seconds(4);

  private static final Span MOST_APART = Span.seconds(60);

  /** A task's end that nobody asked for; a lost machine is no failure of the task. */
  public record End(String cause, boolean failure) {}

  /**
   * A service's tasks as this leader sees them.
   *
   * @param ready those that run, on machines that will go soon too
   * @param settled those that have run for long enough, on machines that stay
   * @param unseen those on silent machines, which may be serving behind a cut
   * @param surplus those that are settled, more than are wanted, and not stopped yet
   */
  public record Replicas(int ready, int settled, int unseen, int present, int surplus) {}

  /**
   * What the jobs that need a job pass back to it.
   *
   * @param priority the highest of theirs and its own
   * @param latestEnd when it has to be complete for them to be in time; null: no such time
   */
  record Inherited(Priority priority, Time latestEnd) {}

  /** A task that runs, where it can be asked how it is. */
  public record At(String address, int index) {}

  final JobSpec spec;
  final Party jobClass;
  final Party team;
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

  /**
   * A former leader recorded that it may be launched, for certain: all that it needs was recorded
   * as done before.
   */
  private boolean dependenciesMet;

  /** The record says that it may be launched, so a successor will look for it. */
  boolean startRecorded;

  boolean startAsked;
  int errors;

  /** A task of it was seen to run, by this leader or, as a result tells, by a former one. */
  private boolean begun;

  /** Fails wherever it is started, until a task succeeds. */
  private boolean mistaken;

  private Span tryAfter = FIRST_TRY;
  private Time tryAt = Time.LONG_AGO;

  /** Run time that stops for the sake of other work have cost it under this leader, in seconds. */
  double lostToOthersS;

  /**
   * From when all its times but its deadline count, as a time of day: its acceptance, or the end of
   * the last job that it depended on.
   */
  long countsFromMs;

  /** The same by this leader's clock; what another node wrote may be off by the skew of both. */
  Time arrivedAt = Time.LONG_AGO;

  /** When it should be complete, by its deadline or its class's aim; null: no such time. */
  Time dueAt;

  /** What it inherits from the jobs that need it; null: nothing. */
  private Inherited inherited;

  /** When its tasks should have started, by its class's aim; null: no such time. */
  Time startBy;

  /** Where it queues, and its place there: as they were recorded when it was accepted. */
  private Lane lane;

  private Place place = new Place(0, 0);

  /** Its number among those that are pushed for a morning, and by when it is to be ready. */
  int pushed = Integer.MAX_VALUE;

  Time pushedDue;

  /** What an operator did with it; null: nothing. */
  Moved moved;

  /** Its time is running out: it queues above its own priority. */
  boolean pressed;

  /**
   * How many of its tasks may be on machines: of a service's job what its record says, and until
   * that is known (-1) none is started and none stopped.
   */
  private int most;

  /** Where tasks may start; null: wherever the job may be. */
  private Set<String> onlyIn;

  private Set<String> leaveFirst = Set.of();

  /** Tasks on machines that will go soon: each may be replaced before it is gone. */
  private int leaving;

  /** What may be taken from its service on purpose; null: it is not a service's, or not known. */
  Disruptions disruptions;

  private final List<Span> starts = new ArrayList<>();

  /** Ends of a service's tasks that nobody asked for, since they were last taken. */
  private final List<End> ends = new ArrayList<>();

  /** No cheap machine that is up may take any of its tasks, as of the last round. */
  boolean onlyOnDear;

  boolean cancelled;
  boolean finishing;
  boolean dirty;

  /** The done tasks that the state service holds. */
  BitSet recorded;

  public Job(JobSpec spec, long arrivedWallMs, BitSet done, boolean maybeStarted) {
    this.maybeStartedBefore = maybeStarted;
    this.startRecorded = maybeStarted;
    this.spec = spec;
    this.lane = Lane.of(spec.priority());
    this.jobClass = Party.ofClass(spec.jobClass());
    this.team = Party.ofTeam(spec.team());
    this.most = service() ? UNSAID : Integer.MAX_VALUE;
    this.arrivedWallMs = arrivedWallMs;
    this.countsFromMs = arrivedWallMs;
    this.done = done;
    this.taken = (BitSet) done.clone();
    this.recorded = (BitSet) done.clone();
    this.begun = !done.isEmpty();
  }

  public JobId id() {
    return spec.id();
  }

  /** A progress page names it, which is written only when all that it needs is done. */
  public Job dependenciesMet(boolean met) {
    dependenciesMet = met;
    return this;
  }

  boolean dependenciesMet() {
    return dependenciesMet;
  }

  /** As it was recorded when it was accepted. */
  public void stands(Lane in, Place at) {
    lane = in;
    place = at;
  }

  /** Where it was accepted. */
  Place place() {
    return place;
  }

  /**
   * In the order, as of what is recorded. One that depended on others has the place of its
   * acceptance, as it has waited; the time in which it should start counts from its release.
   */
  Standing standing(boolean guaranteed, double estimateS) {
    int left = Math.max(0, spec.tasks() - recorded.cardinality());
    return new Standing(
        id(),
        spec.jobClass(),
        lane(),
        place,
        moved,
        arrivedWallMs,
        left * spec.size().cores() * Math.max(1, estimateS),
        pushed,
        pressed,
        guaranteed,
        failsEverywhere(),
        spec.daemon());
  }

  /** What the jobs that need it pass back; null: nothing. */
  void inherits(Inherited fromDependents) {
    inherited = fromDependents;
  }

  /** Its own priority, or the highest of the jobs that need it. */
  Priority priority() {
    return inherited == null ? spec.priority() : inherited.priority;
  }

  /** When it should be complete: by its own time or that of the jobs that need it, or null. */
  Time completeBy() {
    return earlier(dueAt, inherited == null ? null : inherited.latestEnd);
  }

  /** Whether a user set a deadline for it or for a job that needs it. */
  boolean hasDeadline() {
    boolean ownDeadline = dueAt != null && spec.deadline() != null;
    boolean inheritedDeadline = inherited != null && inherited.latestEnd != null;
    return ownDeadline || inheritedDeadline;
  }

  /** By when it has to be complete as a step of a pipeline; null: it is none, or none is due. */
  Time pipelineDue() {
    if (inherited != null) {
      return inherited.latestEnd;
    }
    return spec.awaits().isEmpty() || spec.deadline() == null ? null : dueAt;
  }

  /** When it should be complete, by the morning that it is pushed for too. */
  Time dueBy() {
    return earlier(completeBy(), pushedDue);
  }

  private static Time earlier(Time a, Time b) {
    return b == null || (a != null && a.before(b)) ? a : b;
  }

  /**
   * The lane that was recorded, or that of the urgency it inherits. Operators' own lanes are no
   * question of urgency: there it stays where it was put.
   */
  private Lane lane() {
    Lane urgency = Lane.of(priority());
    return lane.name().isEmpty() && urgency.rank() < lane.rank() ? urgency : lane;
  }

  /** Where it queues now. */
  Lane queuesIn() {
    return moved == null || moved.lane() == null ? lane() : moved.lane();
  }

  public JobSpec spec() {
    return spec;
  }

  public long arrivedWallMs() {
    return arrivedWallMs;
  }

  /** Whether these tasks hold all that are recorded as done. */
  public boolean recordedWithin(BitSet tasks) {
    BitSet missing = (BitSet) recorded.clone();
    missing.andNot(tasks);
    return missing.isEmpty();
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
  boolean want(Wanted wanted) {
    boolean other = most != wanted.tasks() || !Objects.equals(onlyIn, wanted.onlyIn());
    most = wanted.tasks();
    onlyIn = wanted.onlyIn();
    leaveFirst = wanted.leaveFirst();
    return other;
  }

  /** Whether a task may be started in that zone, as far as its roll-out has come. */
  boolean startsIn(String zone) {
    return onlyIn == null || onlyIn.contains(zone);
  }

  /**
   * How many tasks it should have in all. One that will be gone soon with its machine is replaced
   * while it still serves.
   */
  int wantedTasks() {
    if (most == UNSAID) {
      return present.size();
    }
    return Math.min(spec.tasks(), most == 0 ? 0 : most + leaving);
  }

  /** Tasks on machines that will go soon are counted; true: there are more or fewer than before. */
  boolean countLeaving() {
    int n = 0;
    for (Presence p : present.values()) {
      n += p.machine.goesSoon() ? 1 : 0;
    }
    boolean other = n != leaving;
    leaving = n;
    return other;
  }

  /** Those of a service's tasks that are too many now, see {@link Surplus}. */
  List<Presence> surplus() {
    return most == UNSAID || present.size() <= most
        ? List.of()
        : Surplus.of(present.values(), most, leaveFirst);
  }

  /** A task of it runs. True: it is the first that is known of. */
  boolean begins() {
    boolean first = !begun;
    begun = true;
    return first;
  }

  /** Whether none of its tasks has run, is on a machine or was given to one. */
  boolean waitsForItsFirst() {
    return !begun && present.isEmpty() && heldCount() == 0;
  }

  /** A task of it ran so long after its launch. */
  void started(Span took) {
    if (service() && starts.size() < MOST_ENDS) {
      starts.add(took);
    }
  }

  /** How long tasks took to start, those since this was last asked. */
  public List<Span> takeStarts() {
    List<Span> out = List.copyOf(starts);
    starts.clear();
    return out;
  }

  /** The tasks that run and can be seen. */
  public List<At> running() {
    List<At> out = new ArrayList<>();
    for (Presence p : present.values()) {
      if (serves(p)) {
        out.add(new At(p.machine.address, p.index));
      }
    }
    return out;
  }

  private static boolean serves(Presence p) {
    return !p.machine.quiet
        && p.state == Presence.State.RUNNING
        && !p.stopping
        && p.runningSince != null;
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
      } else if (serves(p)) {
        ready++;
        settled += settled(p, settle, now) ? 1 : 0;
      }
    }
    int surplus = 0;
    for (Presence p : surplus()) {
      surplus += serves(p) && settled(p, settle, now) ? 1 : 0;
    }
    return new Replicas(ready, settled, unseen, present.size(), surplus);
  }

  private static boolean settled(Presence p, Span settle, Time now) {
    return !p.machine.goesSoon() && now.since(p.runningSince).compareTo(settle) >= 0;
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
    return pressed && priority() == Priority.LOW ? Priority.NORMAL : priority();
  }

  /** Whether its failures look like the job's own mistake: it fails on machine after machine. */
  boolean failsEverywhere() {
    return service() ? errorMachines.size() >= 3 && doneCount() == 0 : mistaken;
  }

  /** Whether it is taken for one that was submitted with a mistake. */
  void mistaken(boolean is, Time now) {
    mistaken = is;
    tryAfter = FIRST_TRY;
    tryAt = now.plus(tryAfter);
  }

  /** A task of a mistaken job failed. Those that were under way before count for nothing. */
  void triedInVain(Time now) {
    if (mistaken && !now.before(tryAt)) {
      tryAfter = Span.millis(Math.min(MOST_APART.ms(), tryAfter.times(2).ms()));
      tryAt = now.plus(tryAfter);
    }
  }

  /** Whether one of its tasks may be tried again: one at a time, so that they hold no room. */
  private boolean mayTry(Time now) {
    return !mistaken || (heldCount() == 0 && !now.before(tryAt));
  }

  /** Tasks that are neither done nor on a machine. */
  int pendingCount() {
    return Math.max(0, wantedTasks() - done.cardinality() - present.size());
  }

  /** The same as far as room is wanted for them: for a job that fails everywhere, for one. */
  int wantingRoom() {
    return failsEverywhere() ? Math.min(1, pendingCount()) : pendingCount();
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
    if (!mayTry(now) || (service() && taken.cardinality() >= wantedTasks())) {
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

  /** Tasks that are on a machine or were given to one by the last round. */
  int heldCount() {
    return taken.cardinality() - done.cardinality();
  }

  /** How many tasks could start from the given index on, counted up to a limit. */
  int countPending(int from, int atMost, Time now) {
    int most = service() ? Math.min(atMost, wantedTasks() - taken.cardinality()) : atMost;
    if (mistaken) {
      most = Math.min(most, 1);
    }
    if (most <= 0 || !mayTry(now)) {
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
