package io.saltflow.clusterversion;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Explores all states of an upgrade of controllers to a new build, with at most one downgrade, one
 * crash and one delayed transaction. Uses the same {@link VersionGate} and {@link VersionUpgrade}
 * as the controllers, and visits each state once.
 */
final class UpgradeSimulation {
  private static final int ENDED = -1;
  private static final VersionUpgrade.UpgradePolicy POLICY =
      new VersionUpgrade.UpgradePolicy(TimeSpan.millis(1700), TimeSpan.millis(1000));

  /** A guard that is omitted to verify that the exploration detects its absence. */
  enum OmittedGuard {
    NONE,
    UPGRADE_NOT_GUARDED_BY_ANNOUNCEMENTS,
    ANNOUNCED_AFTER_SERVING,
    UNANNOUNCED_HOSTS_IGNORED,
    ACTIVATED_WITH_RAISE,
    ANNOUNCEMENT_NOT_GUARDED_BY_STATE
  }

  /**
   * Bounds of the exploration.
   *
   * @param hosts number of controllers
   * @param announcing whether the old build announces itself as well
   * @param delayedWrites whether a transaction may be executed late
   */
  record SimulationBounds(
      int hosts, boolean announcing, boolean delayedWrites, OmittedGuard omitted) {
    VersionRange range(boolean newBuild) {
      int to = announcing ? (newBuild ? 4 : 3) : (newBuild ? 3 : 1);
      return new VersionRange(ClusterVersion.INITIAL, new ClusterVersion(to));
    }

    boolean announces(boolean newBuild) {
      return announcing || newBuild;
    }
  }

  private enum Phase {
    STARTING,
    READ,
    SERVING,
    INCOMPATIBLE
  }

  /**
   * A host's process.
   *
   * @param readState the state that it has read
   * @param readAnnouncement revision of the announcement at that read
   * @param startedAfterRaise whether it was started after the raise
   */
  private record HostState(
      boolean newBuild,
      int process,
      Phase phase,
      ClusterVersionState readState,
      int readAnnouncement,
      boolean startedAfterRaise) {}

  /** An announcement, and the number of ticks since its process ended. */
  private record AnnouncementState(
      int revision, boolean newBuild, int process, int ticksOrphaned) {}

  /** A transaction in flight: a host's announcement, or a version write by the leader. */
  private record PendingWrite(
      int host,
      int process,
      boolean newBuild,
      int stateGuard,
      List<Integer> announcementGuards,
      boolean ofFormerLeader,
      ClusterVersionState next) {}

  /** The stability window of the leader and its age in ticks. */
  private record WatchedState(VersionUpgrade.StabilityWindow window, int age) {
    static final WatchedState NONE = new WatchedState(VersionUpgrade.StabilityWindow.NONE, 0);
  }

  /** Faults that have occurred so far, each of which is bounded. */
  private record FaultBudget(int upgrades, boolean downgraded, boolean crashed, boolean delayed) {}

  private record SimulationState(
      ClusterVersionState versions,
      List<AnnouncementState> announcements,
      List<HostState> hosts,
      List<PendingWrite> inFlight,
      int revision,
      WatchedState watched,
      FaultBudget faults) {
    SimulationState hosts(List<HostState> now) {
      return new SimulationState(versions, announcements, now, inFlight, revision, watched, faults);
    }

    SimulationState inFlight(List<PendingWrite> now, FaultBudget then) {
      return new SimulationState(versions, announcements, hosts, now, revision, watched, then);
    }

    SimulationState watched(WatchedState now) {
      return new SimulationState(versions, announcements, hosts, inFlight, revision, now, faults);
    }

    SimulationState written(ClusterVersionState newest, List<AnnouncementState> now, int at) {
      return new SimulationState(newest, now, hosts, inFlight, at, watched, faults);
    }
  }

  private final SimulationBounds bounds;
  final Set<SimulationState> visited = new HashSet<>();
  private final ArrayDeque<SimulationState> queue = new ArrayDeque<>();
  final List<String> violations = new ArrayList<>();
  int activeStates;
  int incompatibleStates;

  UpgradeSimulation(SimulationBounds bounds) {
    this.bounds = bounds;
  }

  private static <T> List<T> with(List<T> list, int at, T value) {
    List<T> out = new ArrayList<>(list);
    out.set(at, value);
    return out;
  }

  private SimulationState initialState() {
    ClusterVersion first = bounds.announcing ? new ClusterVersion(3) : ClusterVersion.INITIAL;
    ClusterVersionState active =
        bounds.announcing
            ? new ClusterVersionState(first, first, ClusterVersion.INITIAL, new Revision(1))
            : ClusterVersionState.UNRECORDED;
    List<HostState> hosts = new ArrayList<>();
    List<AnnouncementState> announcements = new ArrayList<>();
    for (int index = 0; index < bounds.hosts; index++) {
      hosts.add(new HostState(false, index, Phase.SERVING, active, 0, false));
      announcements.add(bounds.announcing ? new AnnouncementState(1, false, index, 0) : null);
    }
    FaultBudget none = new FaultBudget(0, false, false, false);
    return new SimulationState(active, announcements, hosts, List.of(), 1, WatchedState.NONE, none);
  }

  UpgradeSimulation run() {
    add(initialState());
    while (!queue.isEmpty() && violations.isEmpty()) {
      SimulationState state = queue.poll();
      check(state);
      explore(state, this::add);
    }
    return this;
  }

  private void add(SimulationState raw) {
    SimulationState state = canonical(raw);
    if (visited.add(state)) {
      queue.add(state);
    }
  }

  /** Returns the state with revisions renumbered, since only their order matters. */
  private static SimulationState canonical(SimulationState state) {
    SortedSet<Integer> revisions = usedVersions(state);
    Map<Integer, Integer> rank = new HashMap<>();
    revisions.forEach(revision -> rank.put(revision, rank.size() - 1));
    List<AnnouncementState> announcements = new ArrayList<>();
    for (AnnouncementState announcement : state.announcements) {
      announcements.add(
          announcement == null
              ? null
              : new AnnouncementState(
                  rank.get(announcement.revision),
                  announcement.newBuild,
                  announcement.process,
                  announcement.ticksOrphaned));
    }
    List<HostState> hosts = canonicalHosts(state, rank);
    List<PendingWrite> inFlight = canonicalWrites(state, rank);
    Map<String, Revision> announcementRevisions = new TreeMap<>();
    state
        .watched
        .window
        .announcementRevisions()
        .forEach(
            (host, revision) ->
                announcementRevisions.put(host, new Revision(rank.get((int) revision.number()))));
    VersionUpgrade.StabilityWindow window =
        new VersionUpgrade.StabilityWindow(
            announcementRevisions,
            new Revision(rank.get((int) state.watched.window.stateRevision().number())),
            MonotonicTime.LONG_AGO);
    return new SimulationState(
        withRevision(state.versions, rank.get(revisionOf(state.versions))),
        announcements,
        hosts,
        inFlight,
        rank.size() - 2,
        new WatchedState(window, state.watched.age),
        state.faults);
  }

  private static SortedSet<Integer> usedVersions(SimulationState state) {
    SortedSet<Integer> revisions = new TreeSet<>(List.of(-1, 0, revisionOf(state.versions)));
    for (AnnouncementState announcement : state.announcements) {
      revisions.add(announcement == null ? 0 : announcement.revision);
    }
    for (HostState host : state.hosts) {
      if (host.phase == Phase.READ) {
        revisions.add(revisionOf(host.readState));
        revisions.add(host.readAnnouncement);
      }
    }
    for (PendingWrite write : state.inFlight) {
      revisions.add(write.stateGuard);
      revisions.addAll(write.announcementGuards);
    }
    revisions.add((int) state.watched.window.stateRevision().number());
    state
        .watched
        .window
        .announcementRevisions()
        .values()
        .forEach(revision -> revisions.add((int) revision.number()));
    return revisions;
  }

  private static List<HostState> canonicalHosts(SimulationState state, Map<Integer, Integer> rank) {
    List<HostState> hosts = new ArrayList<>();
    for (HostState host : state.hosts) {
      boolean read = host.phase == Phase.READ;
      ClusterVersionState active =
          read || host.phase == Phase.SERVING
              ? withRevision(host.readState, read ? rank.get(revisionOf(host.readState)) : 0)
              : ClusterVersionState.UNRECORDED;
      int announced = read ? rank.get(host.readAnnouncement) : 0;
      hosts.add(
          new HostState(
              host.newBuild, host.process, host.phase, active, announced, host.startedAfterRaise));
    }
    return hosts;
  }

  private static List<PendingWrite> canonicalWrites(
      SimulationState state, Map<Integer, Integer> rank) {
    List<PendingWrite> inFlight = new ArrayList<>();
    for (PendingWrite write : state.inFlight) {
      List<Integer> guards = write.announcementGuards.stream().map(rank::get).toList();
      inFlight.add(
          new PendingWrite(
              write.host,
              write.process,
              write.newBuild,
              rank.get(write.stateGuard),
              guards,
              write.ofFormerLeader,
              write.next));
    }
    return inFlight;
  }

  private static ClusterVersionState withRevision(ClusterVersionState versions, int revision) {
    return new ClusterVersionState(
        versions.required(), versions.active(), versions.oldestStored(), new Revision(revision));
  }

  private void check(SimulationState state) {
    boolean upgraded = ClusterVersion.INITIAL.isBelow(state.versions.active());
    activeStates +=
        upgraded && !(bounds.announcing && state.versions.active().number() == 3) ? 1 : 0;
    for (HostState host : state.hosts) {
      VersionRange range = bounds.range(host.newBuild);
      boolean reads = range.contains(state.versions.active());
      boolean serves =
          host.phase == Phase.SERVING
              || (bounds.omitted == OmittedGuard.ANNOUNCED_AFTER_SERVING
                  && host.phase != Phase.INCOMPATIBLE);
      if (serves && !reads && !(host.startedAfterRaise && !bounds.announcing)) {
        violations.add("acts with a build that cannot read the active version: " + state);
      }
      if (host.phase == Phase.SERVING && state.versions.active().isBelow(host.readState.active())) {
        violations.add("writes a version newer than the active one: " + state);
      }
      incompatibleStates += host.phase == Phase.INCOMPATIBLE ? 1 : 0;
      // A new build that starts now and is not interrupted can announce itself.
      if (host.newBuild
          && !(new VersionGate(range).onRead(state.versions, Revision.ABSENT)
              instanceof VersionGate.GateAction.Announce)) {
        violations.add("compatible build cannot serve: " + state);
      }
    }
  }

  private void explore(SimulationState state, Consumer<SimulationState> out) {
    FaultBudget faults = state.faults;
    for (int index = 0; index < bounds.hosts; index++) {
      HostState host = state.hosts.get(index);
      if (!host.newBuild && faults.upgrades < bounds.hosts + 1) {
        restart(
            state,
            index,
            true,
            new FaultBudget(faults.upgrades + 1, faults.downgraded, faults.crashed, faults.delayed),
            out);
      }
      if (host.newBuild && !faults.downgraded) {
        restart(
            state,
            index,
            false,
            new FaultBudget(faults.upgrades, true, faults.crashed, faults.delayed),
            out);
      }
      if (!faults.crashed) {
        restart(
            state,
            index,
            host.newBuild,
            new FaultBudget(faults.upgrades, faults.downgraded, true, faults.delayed),
            out);
      }
      advanceGate(state, index, host, out);
      if (host.phase == Phase.SERVING && host.newBuild) {
        decideUpgrade(state, out);
      }
    }
    for (PendingWrite write : state.inFlight) {
      out.accept(execute(without(state, write), write, false));
    }
    if (state.watched.age < 2
        || state.announcements.stream()
            .anyMatch(announcement -> announcement != null && announcement.process == ENDED)) {
      out.accept(tick(state));
    }
  }

  /** Replaces a host's process, both as the leader, which causes a failover, and as a follower. */
  private void restart(
      SimulationState state,
      int index,
      boolean newBuild,
      FaultBudget faults,
      Consumer<SimulationState> out) {
    out.accept(restartHost(state, index, newBuild, faults, true));
    out.accept(restartHost(state, index, newBuild, faults, false));
  }

  private SimulationState restartHost(
      SimulationState state, int index, boolean newBuild, FaultBudget faults, boolean wasLeader) {
    boolean raised = !state.versions.required().equals(initialState().versions.required());
    boolean serves = !bounds.announces(newBuild);
    HostState host =
        new HostState(
            newBuild,
            index,
            serves ? Phase.SERVING : Phase.STARTING,
            initialState().versions,
            0,
            raised);
    List<AnnouncementState> announcements = state.announcements;
    if (announcements.get(index) != null && announcements.get(index).process == index) {
      announcements =
          with(
              announcements,
              index,
              new AnnouncementState(
                  announcements.get(index).revision, announcements.get(index).newBuild, ENDED, 0));
    }
    List<PendingWrite> inFlight = new ArrayList<>();
    for (PendingWrite write : state.inFlight) {
      int process = write.process == index ? ENDED : write.process;
      inFlight.add(
          new PendingWrite(
              write.host,
              process,
              write.newBuild,
              write.stateGuard,
              write.announcementGuards,
              write.ofFormerLeader || wasLeader,
              write.next));
    }
    return new SimulationState(
        state.versions,
        announcements,
        with(state.hosts, index, host),
        inFlight,
        state.revision,
        wasLeader ? WatchedState.NONE : state.watched,
        faults);
  }

  private void advanceGate(
      SimulationState state, int index, HostState host, Consumer<SimulationState> out) {
    if (!bounds.announces(host.newBuild)) {
      return;
    }
    VersionGate gate = new VersionGate(bounds.range(host.newBuild));
    AnnouncementState announcement = state.announcements.get(index);
    int revision = announcement == null ? 0 : announcement.revision;
    if (host.phase == Phase.STARTING) {
      VersionGate.GateAction action = gate.onRead(state.versions, new Revision(revision));
      Phase next =
          action instanceof VersionGate.GateAction.Announce ? Phase.READ : Phase.INCOMPATIBLE;
      HostState read =
          new HostState(
              host.newBuild, host.process, next, state.versions, revision, host.startedAfterRaise);
      out.accept(state.hosts(with(state.hosts, index, read)));
    } else if (host.phase == Phase.READ) {
      int guard =
          bounds.omitted == OmittedGuard.ANNOUNCEMENT_NOT_GUARDED_BY_STATE
              ? -1
              : revisionOf(host.readState);
      send(
          state,
          new PendingWrite(
              index,
              host.process,
              host.newBuild,
              guard,
              List.of(host.readAnnouncement),
              true,
              null),
          out);
    }
  }

  private static int revisionOf(ClusterVersionState versions) {
    return (int) versions.revision().number();
  }

  /** Lets the leader decide on the next step and write the result. */
  private void decideUpgrade(SimulationState state, Consumer<SimulationState> out) {
    List<BuildAnnouncement> announced = new ArrayList<>();
    Set<String> configured = new TreeSet<>();
    for (int index = 0; index < bounds.hosts; index++) {
      AnnouncementState announcement = state.announcements.get(index);
      if (announcement != null) {
        announced.add(
            new BuildAnnouncement(
                "h" + index,
                bounds.range(announcement.newBuild),
                new Revision(announcement.revision)));
      }
      if (announcement != null || bounds.omitted != OmittedGuard.UNANNOUNCED_HOSTS_IGNORED) {
        configured.add("h" + index);
      }
    }
    VersionUpgrade.ClusterView view =
        new VersionUpgrade.ClusterView(state.versions, announced, configured, null, false);
    MonotonicTime now = new MonotonicTime(10_000);
    VersionUpgrade.StabilityWindow before =
        new VersionUpgrade.StabilityWindow(
            state.watched.window.announcementRevisions(),
            state.watched.window.stateRevision(),
            new MonotonicTime(now.ms() - 900L * state.watched.age));
    VersionUpgrade.UpgradeOutcome outcome = VersionUpgrade.decide(POLICY, view, before, now);
    int age = outcome.window().equals(before) ? state.watched.age : 0;
    VersionUpgrade.StabilityWindow window =
        new VersionUpgrade.StabilityWindow(
            outcome.window().announcementRevisions(),
            outcome.window().stateRevision(),
            MonotonicTime.LONG_AGO);
    SimulationState observed = state.watched(new WatchedState(window, age));
    out.accept(observed);
    if (outcome.decision() instanceof VersionUpgrade.UpgradeDecision.Write upgrade) {
      List<Integer> guards = new ArrayList<>();
      for (int index = 0; index < bounds.hosts; index++) {
        Revision revision = upgrade.announcementRevisions().get("h" + index);
        boolean none =
            revision == null || bounds.omitted == OmittedGuard.UPGRADE_NOT_GUARDED_BY_ANNOUNCEMENTS;
        guards.add(none ? -1 : (int) revision.number());
      }
      ClusterVersionState next = upgrade.next();
      if (bounds.omitted == OmittedGuard.ACTIVATED_WITH_RAISE) {
        next =
            new ClusterVersionState(
                next.required(), next.required(), next.oldestStored(), next.revision());
      }
      send(
          observed,
          new PendingWrite(-1, -1, true, revisionOf(state.versions), guards, false, next),
          out);
    }
  }

  /** Executes a transaction now or, for one transaction per run, at any later time. */
  private void send(SimulationState state, PendingWrite write, Consumer<SimulationState> out) {
    out.accept(execute(state, write, true));
    if (bounds.delayedWrites && !state.faults.delayed) {
      List<PendingWrite> inFlight = new ArrayList<>(state.inFlight);
      inFlight.add(write);
      FaultBudget faults = state.faults;
      out.accept(
          state.inFlight(
              inFlight, new FaultBudget(faults.upgrades, faults.downgraded, faults.crashed, true)));
    }
  }

  private static SimulationState without(SimulationState state, PendingWrite write) {
    List<PendingWrite> inFlight = new ArrayList<>(state.inFlight);
    inFlight.remove(write);
    return state.inFlight(inFlight, state.faults);
  }

  private SimulationState execute(SimulationState state, PendingWrite write, boolean answered) {
    boolean ok = write.stateGuard < 0 || write.stateGuard == revisionOf(state.versions);
    if (write.host >= 0) {
      return executeAnnouncement(state, write, ok, answered);
    }
    for (int index = 0; index < bounds.hosts; index++) {
      AnnouncementState announcement = state.announcements.get(index);
      ok &=
          write.announcementGuards.get(index) < 0
              || (announcement != null
                  && announcement.revision == write.announcementGuards.get(index));
    }
    if (!ok || write.ofFormerLeader) {
      return state;
    }
    int revision = state.revision + 1;
    ClusterVersionState next =
        new ClusterVersionState(
            write.next.required(),
            write.next.active(),
            write.next.oldestStored(),
            new Revision(revision));
    if (next.required().isBelow(state.versions.required())
        || next.active().isBelow(state.versions.active())) {
      violations.add("cluster version decreases: " + state);
    }
    return state.written(next, state.announcements, revision);
  }

  private SimulationState executeAnnouncement(
      SimulationState state, PendingWrite write, boolean guard, boolean answered) {
    AnnouncementState announcement = state.announcements.get(write.host);
    HostState host = state.hosts.get(write.host);
    boolean current = host.process == write.process;
    boolean ok =
        guard
            && write.announcementGuards.get(0)
                == (announcement == null ? 0 : announcement.revision);
    List<AnnouncementState> announcements = state.announcements;
    if (ok) {
      announcements =
          with(
              state.announcements,
              write.host,
              new AnnouncementState(state.revision + 1, write.newBuild, write.process, 0));
    }
    List<HostState> hosts = state.hosts;
    if (answered && current) {
      VersionGate gate = new VersionGate(bounds.range(host.newBuild));
      gate.onRead(host.readState, new Revision(host.readAnnouncement));
      VersionGate.GateAction action = gate.onAnnounced(ok);
      Phase next = action instanceof VersionGate.GateAction.Read ? Phase.STARTING : Phase.SERVING;
      hosts =
          with(
              state.hosts,
              write.host,
              new HostState(
                  host.newBuild, host.process, next, host.readState, 0, host.startedAfterRaise));
    }
    return state.written(state.versions, announcements, state.revision + (ok ? 1 : 0)).hosts(hosts);
  }

  /**
   * Advances time by almost one lease, which removes announcements orphaned before the last tick.
   */
  private SimulationState tick(SimulationState state) {
    List<AnnouncementState> announcements = new ArrayList<>();
    for (int index = 0; index < bounds.hosts; index++) {
      AnnouncementState announcement = state.announcements.get(index);
      boolean dead = announcement != null && announcement.process != state.hosts.get(index).process;
      boolean leased = state.versions.active().isBelow(ClusterVersion.ANNOUNCED_BUILDS);
      if (announcement == null || !dead || !leased) {
        announcements.add(announcement);
      } else {
        announcements.add(
            announcement.ticksOrphaned > 0
                ? null
                : new AnnouncementState(
                    announcement.revision, announcement.newBuild, announcement.process, 1));
      }
    }
    WatchedState longer =
        new WatchedState(state.watched.window, Math.min(2, state.watched.age + 1));
    return state.written(state.versions, announcements, state.revision).watched(longer);
  }

  /** Explores three controllers, which takes too long for a regular test run. */
  public static void main(String[] args) {
    for (boolean announcing : new boolean[] {false, true}) {
      UpgradeSimulation simulation =
          new UpgradeSimulation(new SimulationBounds(3, announcing, true, OmittedGuard.NONE)).run();
      System.out.println(
          (announcing ? "upgrade from announced builds" : "upgrade from unannounced builds")
              + ": "
              + simulation.visited.size()
              + " states, "
              + simulation.violations);
    }
  }
}
