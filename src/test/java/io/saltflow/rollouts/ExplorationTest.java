package io.saltflow.rollouts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.healthgates.Gate;
import io.saltflow.healthgates.GateEvaluator;
import io.saltflow.healthgates.GateException;
import io.saltflow.healthgates.TernaryTruth;
import io.saltflow.model.TimeSpan;
import io.saltflow.rollouts.Rollout.Phase;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * Explores every interleaving of a rollout of three replicas with a leader crash around each write,
 * a partition, a drain, failing replicas, any gate verdict, step timeouts and an abort.
 */
class ExplorationTest {
  private static final int REPLICAS = 3;

  /**
   * The state of the model.
   *
   * @param record the durable state of the rollout
   * @param appliedOld the number of old replicas that was last applied to the machines
   * @param remainingFaults the faults that may still be injected, a bit set of crash, partition and
   *     drain
   * @param partitioned whether a partition hides the new version's replicas from the leader
   */
  private record State(
      Rollout record,
      int appliedOld,
      int appliedNew,
      int readyOld,
      int readyNew,
      int remainingFaults,
      boolean partitioned,
      boolean aborted) {}

  private static final int CRASH = 1;
  private static final int PARTITION = 2;
  private static final int DRAIN = 4;

  private RolloutPlan plan(int surge, int mostUnavailable) throws GateException {
    return new RolloutPlan(
        List.of(new RolloutPlan.Step(1, false, false), new RolloutPlan.Step(100, true, false)),
        surge,
        mostUnavailable,
        RolloutPlan.Pace.withoutRateLimit(2),
        zoneByZone,
        TimeSpan.seconds(1),
        TimeSpan.seconds(10),
        TimeSpan.seconds(10),
        Gate.parse("ready >= 95%"),
        Gate.parse("failures(1m) > 0"),
        MaintenanceWindows.ALWAYS);
  }

  private final Map<State, List<State>> transitions = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private RolloutPlan plan;
  private RolloutStateMachine machine;
  private boolean zoneByZone;

  /** Alters each decision, to check that the exploration detects faults. */
  private UnaryOperator<Rollout> injectedFault = r -> r;

  private void explore(int surge, int mostUnavailable) throws GateException {
    transitions.clear();
    violations.clear();
    plan = plan(surge, mostUnavailable);
    machine = new RolloutStateMachine(plan);
    State first =
        new State(
            Rollout.begin(REPLICAS, zoneByZone ? List.of("a", "b") : List.of(), 0),
            REPLICAS,
            0,
            REPLICAS,
            0,
            CRASH | PARTITION | DRAIN,
            false,
            false);
    ArrayDeque<State> open = new ArrayDeque<>(List.of(first));
    transitions.put(first, List.of());
    while (!open.isEmpty()) {
      State state = open.poll();
      List<State> next = successors(state);
      transitions.put(state, next);
      for (State otherState : next) {
        if (!transitions.containsKey(otherState)) {
          transitions.put(otherState, List.of());
          open.add(otherState);
        }
      }
    }
  }

  private List<State> successors(State state) {
    List<State> out = new ArrayList<>();
    addEnvironmentSteps(state, out);
    addLeaderSteps(state, out);
    return out;
  }

  /** Adds the transitions that do not depend on the leader's decisions. */
  private static void addEnvironmentSteps(State state, List<State> out) {
    if (state.readyOld < state.appliedOld) {
      out.add(withReady(state, state.readyOld + 1, state.readyNew));
    }
    if (state.readyNew < state.appliedNew) {
      out.add(withReady(state, state.readyOld, state.readyNew + 1));
    }
    if (state.readyNew > 0) {
      // A replica of a bad build may exit at any time.
      out.add(withReady(state, state.readyOld, state.readyNew - 1));
    }
    if ((state.remainingFaults & DRAIN) != 0 && state.readyOld > 0) {
      State drained = withReady(state, state.readyOld - 1, state.readyNew);
      out.add(with(drained, state.remainingFaults & ~DRAIN, state.partitioned));
    }
    if ((state.remainingFaults & PARTITION) != 0) {
      out.add(with(state, state.remainingFaults & ~PARTITION, true));
    }
    if (state.partitioned) {
      out.add(with(state, state.remainingFaults, false));
    }
    // Any leader applies the record, as it has no other state to act on.
    if (state.appliedOld != state.record.desiredOld()
        || state.appliedNew != state.record.desiredNew()) {
      out.add(applyRecord(state));
    }
  }

  private static State withReady(State state, int old, int fresh) {
    return new State(
        state.record,
        state.appliedOld,
        state.appliedNew,
        old,
        fresh,
        state.remainingFaults,
        state.partitioned,
        state.aborted);
  }

  private static State with(State state, int faults, boolean hidden) {
    return new State(
        state.record,
        state.appliedOld,
        state.appliedNew,
        state.readyOld,
        state.readyNew,
        faults,
        hidden,
        state.aborted);
  }

  /** Applies the record to the machines; replicas that are not ready are removed first. */
  private static State applyRecord(State state) {
    int old = state.record.desiredOld();
    int fresh = state.record.desiredNew();
    return new State(
        state.record,
        old,
        fresh,
        Math.min(state.readyOld, old),
        Math.min(state.readyNew, fresh),
        state.remainingFaults,
        state.partitioned,
        state.aborted);
  }

  private void addLeaderSteps(State state, List<State> out) {
    boolean behind =
        state.appliedOld != state.record.desiredOld()
            || state.appliedNew != state.record.desiredNew();
    if (behind) {
      // A leader applies the record before it decides again.
      return;
    }
    int seenNew = state.partitioned ? 0 : state.readyNew;
    for (TernaryTruth gate : TernaryTruth.values()) {
      boolean healthy = seenNew == state.record.desiredNew() && seenNew > 0;
      if (gate == TernaryTruth.TRUE && !healthy) {
        continue;
      }
      for (TernaryTruth stop : new TernaryTruth[] {TernaryTruth.FALSE, TernaryTruth.TRUE}) {
        for (long elapsed : new long[] {0, 20_000}) {
          ReplicaStatus status =
              new ReplicaStatus(
                  state.readyOld,
                  0,
                  seenNew,
                  state.partitioned ? state.appliedNew : 0,
                  new GateEvaluator.Verdict(gate, List.of("it is so")),
                  new GateEvaluator.Verdict(stop, List.of()),
                  null,
                  state.record.sinceWallMs() + elapsed);
          addDecision(state, injectedFault.apply(machine.next(state.record, status)), out);
        }
      }
    }
    if (!state.aborted) {
      Rollout abortedRollout = machine.applyCommand(state.record, RolloutCommand.ABORT, 0);
      State after = withRecord(state, abortedRollout);
      out.add(
          new State(
              after.record,
              state.appliedOld,
              state.appliedNew,
              state.readyOld,
              state.readyNew,
              state.remainingFaults,
              state.partitioned,
              true));
    }
  }

  private void addDecision(State state, Rollout next, List<State> out) {
    if (next.equals(state.record)) {
      return;
    }
    check(state, next);
    out.add(withRecord(state, next));
    if ((state.remainingFaults & CRASH) != 0) {
      // The leader crashes before or after the write, so the next leader finds either record.
      out.add(with(state, state.remainingFaults & ~CRASH, state.partitioned));
      out.add(with(withRecord(state, next), state.remainingFaults & ~CRASH, state.partitioned));
    }
  }

  /** Times and reasons are left out of the states to keep their number finite. */
  private static State withRecord(State state, Rollout next) {
    Rollout timeless =
        new Rollout(
            next.replicas(),
            next.step(),
            next.phase(),
            next.resumePhase(),
            next.desiredOld(),
            next.desiredNew(),
            0,
            0,
            next.zones(),
            "");
    return new State(
        timeless,
        state.appliedOld,
        state.appliedNew,
        state.readyOld,
        state.readyNew,
        state.remainingFaults,
        state.partitioned,
        state.aborted);
  }

  private void check(State state, Rollout next) {
    if (next.desiredOld() + next.desiredNew() > REPLICAS + plan.surge()) {
      violations.add("surge exceeded: " + state + " -> " + next);
    }
    int floor = REPLICAS - plan.maxUnavailable();
    int after =
        Math.min(state.readyOld, next.desiredOld()) + Math.min(state.readyNew, next.desiredNew());
    if (after < Math.min(floor, state.readyOld + state.readyNew)) {
      violations.add("too few ready replicas: " + state + " -> " + next);
    }
    if (zoneByZone
        && next.desiredNew() > state.record.desiredNew()
        && next.desiredNew() > next.replicasThroughZone(1)
        && state.readyNew < next.replicasThroughZone(1)) {
      violations.add("second zone before the first is ready: " + state + " -> " + next);
    }
    int steps = Math.abs(next.step() - state.record.step());
    boolean moved =
        next.desiredOld() != state.record.desiredOld()
            || next.desiredNew() != state.record.desiredNew();
    if (steps > 1 || (steps == 1 && moved)) {
      violations.add("two moves at once: " + state + " -> " + next);
    }
  }

  /** Returns the states from which a state with all replicas serving can be reached. */
  private Set<State> statesThatCanServe() {
    Map<State, List<State>> backwards = new HashMap<>();
    transitions.forEach(
        (s, list) ->
            list.forEach(n -> backwards.computeIfAbsent(n, x -> new ArrayList<>()).add(s)));
    ArrayDeque<State> open = new ArrayDeque<>();
    Set<State> good = new HashSet<>();
    for (State state : transitions.keySet()) {
      boolean old = state.record.phase() == Phase.ROLLED_BACK && state.readyOld == REPLICAS;
      boolean fresh = state.record.phase() == Phase.DONE && state.readyNew == REPLICAS;
      boolean stuck =
          state.record.phase() == Phase.STUCK && state.readyOld + state.readyNew >= REPLICAS;
      if ((old || fresh || stuck) && good.add(state)) {
        open.add(state);
      }
    }
    while (!open.isEmpty()) {
      for (State before : backwards.getOrDefault(open.poll(), List.of())) {
        if (good.add(before)) {
          open.add(before);
        }
      }
    }
    return good;
  }

  @Test
  void everyStateCanReachFullServiceAndNoMoveBreaksBounds() throws GateException {
    int all = 0;
    for (int[] bounds : new int[][] {{1, 0, 0}, {0, 1, 0}, {1, 1, 0}, {2, 1, 0}, {2, 1, 1}}) {
      zoneByZone = bounds[2] == 1;
      explore(bounds[0], bounds[1]);
      assertEquals(List.of(), violations);
      Set<State> lost = new HashSet<>(transitions.keySet());
      lost.removeAll(statesThatCanServe());
      assertTrue(
          lost.isEmpty(), lost.size() + " dead-end states, such as " + lost.stream().findFirst());
      all += transitions.size();
      System.out.println(
          "surge "
              + bounds[0]
              + ", unavailable "
              + bounds[1]
              + (zoneByZone ? ", zone by zone" : "")
              + ": "
              + transitions.size()
              + " states");
    }
    assertTrue(all > 5000, "states: " + all);
  }

  /** Guards against an exploration that cannot detect faults. */
  @Test
  void injectedFaultsAreDetected() throws GateException {
    injectedFault = r -> r.desiredOld() == 2 && r.desiredNew() == 1 ? r.withDesired(1, 1) : r;
    explore(1, 0);
    assertFalse(violations.isEmpty(), "one old replica too many is removed");
    zoneByZone = true;
    injectedFault = r -> r.phase() == Phase.MOVING && r.desiredNew() == 1 ? r.withDesired(1, 3) : r;
    explore(1, 0);
    assertTrue(
        violations.stream().anyMatch(f -> f.startsWith("second zone")), "second zone begins early");
    zoneByZone = false;
    injectedFault = r -> r.phase() == Phase.BACK ? r.withDesired(REPLICAS, REPLICAS) : r;
    explore(1, 0);
    assertFalse(violations.isEmpty(), "rollback exceeds the surge");
    injectedFault = r -> r.phase() == Phase.BACK ? r.withDesired(r.desiredOld(), 1) : r;
    explore(1, 1);
    Set<State> lost = new HashSet<>(transitions.keySet());
    lost.removeAll(statesThatCanServe());
    assertFalse(lost.isEmpty() && violations.isEmpty(), "rollback never ends");
  }
}
