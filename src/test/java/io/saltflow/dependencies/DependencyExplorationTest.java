package io.saltflow.dependencies;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.JobId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Explores every interleaving of small dependency graphs: submissions, starts, ends, cancellations,
 * failovers, and leader writes that are delayed, lost, or whose answer is lost. From each state
 * reached, the remaining steps run without further faults, and each job must end as done or
 * cancelled as expected.
 */
class DependencyExplorationTest {
  private enum StepKind {
    SUBMIT,
    /** A user cancels the job. */
    CANCEL,
    /** The leader's watch reports that the record was added or removed. */
    WATCH,
    /** The leader records the start and runs all tasks. */
    START,
    /** The leader records the completion. */
    END,
    END_ANSWER_LOST,
    END_DELAYED,
    /** The leader reads a completion that it waits for, or a write in doubt. */
    READ,
    /** The leader records the cancellation by cascade. */
    CASCADE,
    CASCADE_ANSWER_LOST,
    CASCADE_DELAYED,
    CASCADE_LOST,
    /** A delayed write is applied. */
    APPLY_DELAYED,
    FAILOVER
  }

  /** A bug planted in the simulated leader. */
  private enum PlantedBug {
    NONE,
    /** The leader treats a completion as recorded once it is sent. */
    TREATS_SENT_END_AS_RECORDED,
    TREATS_REMOVED_AS_DONE,
    TREATS_REMOVED_AS_CANCELLED,
    /** The leader treats a cancellation that it reads as a completion. */
    TREATS_ANY_END_AS_DONE,
    /** A new leader treats dependencies without a live record as done. */
    NEW_LEADER_TREATS_ABSENT_AS_DONE,
    /** A new leader does not read the completions of jobs that it has not seen live. */
    NEW_LEADER_SKIPS_UNSEEN_COMPLETIONS,
    /** The leader does not verify a cancellation that was sent. */
    TREATS_SENT_CANCELLATION_AS_RECORDED,
    /** Only direct dependents of a cancelled job are cancelled, not transitive ones. */
    CANCELS_DIRECT_DEPENDENTS_ONLY
  }

  private enum Phase {
    UNKNOWN,
    LIVE,
    DONE,
    CANCELLED
  }

  private record Step(StepKind kind, int job) {}

  /** Maximum occurrences of a kind of step per path; bounds the state space. */
  private static final Map<StepKind, Integer> MAX_OCCURRENCES =
      new EnumMap<>(Map.of(StepKind.CANCEL, 1, StepKind.FAILOVER, 2));

  private static final int MAX_FAULTY_WRITES = 1;

  private final class Simulation {
    final int[][] dependencies;
    final Phase[] phases;
    final BitSet startRecorded = new BitSet();
    final BitSet tasksRan = new BitSet();
    final Map<StepKind, Integer> occurrences = new EnumMap<>(StepKind.class);
    int faultyWrites;

    /** Delayed writes of the current leader: ends or cancellations. */
    final Set<Step> delayedWrites = new HashSet<>();

    DependencyGraph graph = new DependencyGraph();
    final BitSet observedLive = new BitSet();
    final BitSet startable = new BitSet();
    final BitSet inDoubt = new BitSet();
    final BitSet cancellationSent = new BitSet();
    boolean afterFailover;
    String violation;

    Simulation(int[][] dependencies) {
      this.dependencies = dependencies;
      phases = new Phase[dependencies.length];
      Arrays.fill(phases, Phase.UNKNOWN);
      for (int i = 0; i < dependencies.length - 1; i++) {
        phases[i] = Phase.LIVE;
      }
      becomeLeader();
    }

    private void becomeLeader() {
      graph = new DependencyGraph();
      observedLive.clear();
      startable.clear();
      inDoubt.clear();
      cancellationSent.clear();
      delayedWrites.clear();
      for (int i = 0; i < phases.length; i++) {
        if (phases[i] == Phase.LIVE) {
          add(i, startRecorded.get(i));
        }
      }
      if (afterFailover && plantedBug == PlantedBug.NEW_LEADER_TREATS_ABSENT_AS_DONE) {
        graph.completionsToRead().forEach(id -> graph.onDone(id, 0));
      }
      collectReleased();
    }

    private void add(int job, boolean started) {
      observedLive.set(job);
      graph.onJobAdded(
          id(job), IntStream.of(dependencies[job]).mapToObj(n -> id(n)).toList(), started);
      if (started || dependencies[job].length == 0) {
        startable.set(job);
      }
    }

    private void collectReleased() {
      graph.takeReleased().forEach(r -> startable.set(number(r.job())));
    }

    List<Step> steps() {
      List<Step> steps = new ArrayList<>();
      for (int i = 0; i < phases.length; i++) {
        int job = i;
        boolean live = phases[i] == Phase.LIVE;
        boolean writeMayFail = faultyWrites < MAX_FAULTY_WRITES;
        boolean canEnd = live && tasksRan.get(i) && !inDoubt.get(i) && observedLive.get(i);
        boolean canCascade = live && shouldCascade(i) && !cancellationSent.get(i);
        addIfPossible(
            steps,
            StepKind.SUBMIT,
            i,
            phases[i] == Phase.UNKNOWN && allDependencies(i, n -> isAccepted(n)));
        addIfPossible(steps, StepKind.CANCEL, i, live && hasOccurrencesLeft(StepKind.CANCEL));
        addIfPossible(steps, StepKind.WATCH, i, isAccepted(i) && live != observedLive.get(i));
        addIfPossible(steps, StepKind.START, i, live && startable.get(i) && !tasksRan.get(i));
        addIfPossible(steps, StepKind.END, i, canEnd);
        addIfPossible(steps, StepKind.END_ANSWER_LOST, i, canEnd && writeMayFail);
        addIfPossible(steps, StepKind.END_DELAYED, i, canEnd && writeMayFail);
        addIfPossible(steps, StepKind.READ, i, inDoubt.get(i) || shouldRead(i));
        addIfPossible(steps, StepKind.CASCADE, i, canCascade);
        addIfPossible(steps, StepKind.CASCADE_ANSWER_LOST, i, canCascade && writeMayFail);
        addIfPossible(steps, StepKind.CASCADE_DELAYED, i, canCascade && writeMayFail);
        addIfPossible(steps, StepKind.CASCADE_LOST, i, canCascade && writeMayFail);
        addIfPossible(
            steps,
            StepKind.APPLY_DELAYED,
            i,
            delayedWrites.stream().anyMatch(write -> write.job == job));
      }
      addIfPossible(steps, StepKind.FAILOVER, 0, hasOccurrencesLeft(StepKind.FAILOVER));
      return steps;
    }

    private void addIfPossible(List<Step> steps, StepKind kind, int job, boolean possible) {
      if (possible) {
        steps.add(new Step(kind, job));
      }
    }

    private boolean hasOccurrencesLeft(StepKind kind) {
      return occurrences.getOrDefault(kind, 0) < MAX_OCCURRENCES.get(kind);
    }

    private boolean isAccepted(int job) {
      return phases[job] != Phase.UNKNOWN;
    }

    private boolean allDependencies(int job, IntPredicate predicate) {
      return IntStream.of(dependencies[job]).allMatch(predicate);
    }

    private boolean anyDependency(int job, IntPredicate predicate) {
      return IntStream.of(dependencies[job]).anyMatch(predicate);
    }

    private boolean shouldRead(int job) {
      boolean skipped =
          afterFailover
              && plantedBug == PlantedBug.NEW_LEADER_SKIPS_UNSEEN_COMPLETIONS
              && !observedLive.get(job);
      return !skipped && graph.completionsToRead().contains(id(job));
    }

    private boolean shouldCascade(int job) {
      boolean eligible =
          plantedBug != PlantedBug.CANCELS_DIRECT_DEPENDENTS_ONLY
              || (anyDependency(job, n -> phases[n] == Phase.CANCELLED)
                  && anyDependency(job, n -> dependencies[n].length == 0));
      return eligible
          && graph.pendingCancellations().stream().anyMatch(d -> d.job().equals(id(job)));
    }

    void apply(Step step) {
      int job = step.job;
      if (MAX_OCCURRENCES.containsKey(step.kind)) {
        occurrences.merge(step.kind, 1, Integer::sum);
      }
      switch (step.kind) {
        case SUBMIT ->
            phases[job] =
                anyDependency(job, n -> phases[n] == Phase.CANCELLED)
                    ? Phase.CANCELLED
                    : Phase.LIVE;
        case CANCEL -> phases[job] = Phase.CANCELLED;
        case WATCH -> onWatchEvent(job);
        case START -> start(job);
        case END -> {
          phases[job] = Phase.DONE;
          graph.onDone(id(job), 0);
        }
        case END_ANSWER_LOST -> {
          faultyWrites++;
          phases[job] = Phase.DONE;
          onEndInDoubt(job);
        }
        case END_DELAYED -> {
          faultyWrites++;
          delayedWrites.add(new Step(StepKind.END, job));
          onEndInDoubt(job);
        }
        case READ -> read(job);
        case CASCADE -> {
          applyCascade(job);
          graph.onCancelled(id(job));
        }
        case CASCADE_ANSWER_LOST -> {
          faultyWrites++;
          applyCascade(job);
          onCancellationInDoubt(job);
        }
        case CASCADE_DELAYED -> {
          faultyWrites++;
          delayedWrites.add(new Step(StepKind.CASCADE, job));
          onCancellationInDoubt(job);
        }
        case CASCADE_LOST -> {
          faultyWrites++;
          onCancellationInDoubt(job);
        }
        case APPLY_DELAYED -> applyDelayed(job);
        case FAILOVER -> {
          afterFailover = true;
          becomeLeader();
        }
        default -> throw new IllegalStateException(step.toString());
      }
      collectReleased();
    }

    private void onWatchEvent(int job) {
      if (phases[job] == Phase.LIVE) {
        add(job, false);
        return;
      }
      observedLive.clear(job);
      if (inDoubt.get(job) && tasksRan.get(job)) {
        // The leader's own write is in doubt: it is read, not treated as a user's cancellation.
        return;
      }
      switch (plantedBug) {
        case TREATS_REMOVED_AS_DONE -> graph.onDone(id(job), 0);
        case TREATS_REMOVED_AS_CANCELLED -> graph.onCancelled(id(job));
        default -> graph.onRecordRemoved(id(job));
      }
    }

    private void start(int job) {
      if (anyDependency(job, n -> phases[n] != Phase.DONE)) {
        violation = "started before its dependencies were done: " + job;
      }
      startRecorded.set(job);
      tasksRan.set(job);
    }

    private void onEndInDoubt(int job) {
      inDoubt.set(job);
      if (plantedBug == PlantedBug.TREATS_SENT_END_AS_RECORDED) {
        graph.onDone(id(job), 0);
      }
    }

    private void onCancellationInDoubt(int job) {
      cancellationSent.set(job);
      if (plantedBug != PlantedBug.TREATS_SENT_CANCELLATION_AS_RECORDED) {
        inDoubt.set(job);
      }
    }

    private void read(int job) {
      boolean wasInDoubt = inDoubt.get(job);
      inDoubt.clear(job);
      cancellationSent.clear(job);
      boolean done = plantedBug == PlantedBug.TREATS_ANY_END_AS_DONE || phases[job] == Phase.DONE;
      if (phases[job] == Phase.LIVE) {
        return;
      }
      if (done) {
        graph.onDone(id(job), 0);
      } else if (wasInDoubt || phases[job] == Phase.CANCELLED) {
        graph.onCancelled(id(job));
      }
    }

    private void applyCascade(int job) {
      if (startRecorded.get(job)) {
        violation = "cancelled after start: " + job;
      }
      if (!shouldBeCancelled(job)) {
        violation = "cancelled without cause: " + job;
      }
      phases[job] = Phase.CANCELLED;
    }

    private void applyDelayed(int job) {
      for (Step write : List.copyOf(delayedWrites)) {
        if (write.job == job && delayedWrites.remove(write) && phases[job] == Phase.LIVE) {
          if (write.kind == StepKind.END) {
            phases[job] = Phase.DONE;
          } else {
            applyCascade(job);
          }
        }
      }
    }

    private boolean shouldBeCancelled(int job) {
      return phases[job] == Phase.CANCELLED || anyDependency(job, this::shouldBeCancelled);
    }

    /** Runs all remaining steps without faults, then checks how each job ended. */
    void runToEnd() {
      Set<StepKind> faultFreeKinds =
          Set.of(
              StepKind.SUBMIT,
              StepKind.WATCH,
              StepKind.START,
              StepKind.END,
              StepKind.READ,
              StepKind.CASCADE,
              StepKind.APPLY_DELAYED);
      for (int steps = 0; steps < 100 && violation == null; steps++) {
        Step next = null;
        for (Step step : steps()) {
          // Reading a live job changes nothing unless one of its writes is in doubt.
          boolean readsLiveJob = step.kind == StepKind.READ && phases[step.job] == Phase.LIVE;
          boolean useful = !readsLiveJob || inDoubt.get(step.job);
          if (faultFreeKinds.contains(step.kind) && useful) {
            next = step;
            break;
          }
        }
        if (next == null) {
          break;
        }
        apply(next);
      }
      for (int i = 0; i < phases.length && violation == null; i++) {
        Phase expected = shouldBeCancelled(i) ? Phase.CANCELLED : Phase.DONE;
        if (phases[i] != expected) {
          violation = (expected == Phase.CANCELLED ? "not cancelled: " : "not released: ") + i;
        }
      }
    }

    String fingerprint() {
      return Arrays.toString(phases)
          + startRecorded
          + tasksRan
          + occurrences
          + faultyWrites
          + delayedWrites
          + observedLive
          + startable
          + inDoubt
          + cancellationSent
          + afterFailover
          + graph;
    }
  }

  private PlantedBug plantedBug = PlantedBug.NONE;
  private int states;

  private static JobId id(int number) {
    return new JobId("req-00000" + number);
  }

  private static int number(JobId id) {
    return Integer.parseInt(id.text().substring("req-".length()));
  }

  /**
   * Returns the first violation with the steps that lead to it, or {@code null} if there is none.
   */
  private String explore(int[][] dependencies) {
    states = 0;
    Set<String> visited = new HashSet<>();
    ArrayDeque<List<Step>> queue = new ArrayDeque<>(List.of(List.of()));
    while (!queue.isEmpty()) {
      List<Step> path = queue.poll();
      Simulation simulation = replay(dependencies, path);
      if (simulation.violation == null && !visited.add(simulation.fingerprint())) {
        continue;
      }
      states++;
      List<Step> next = simulation.violation == null ? simulation.steps() : List.of();
      if (simulation.violation == null) {
        simulation.runToEnd();
      }
      if (simulation.violation != null) {
        return simulation.violation + " after " + path;
      }
      for (Step step : next) {
        List<Step> longer = new ArrayList<>(path);
        longer.add(step);
        queue.add(longer);
      }
    }
    return null;
  }

  private Simulation replay(int[][] dependencies, List<Step> path) {
    Simulation simulation = new Simulation(dependencies);
    path.forEach(simulation::apply);
    return simulation;
  }

  private static final int[][] CHAIN = {{}, {0}, {1}};
  private static final int[][] FAN_OUT = {{}, {0}, {0}};
  private static final int[][] FAN_IN = {{}, {}, {0, 1}};
  private static final int[][] DIAMOND = {{}, {0}, {0}, {1, 2}};

  @Test
  void smallGraphsEndCorrectlyInEveryInterleaving() {
    for (int[][] dependencies : List.of(CHAIN, FAN_OUT, FAN_IN, DIAMOND)) {
      assertEquals(null, explore(dependencies));
      assertTrue(
          states > 1000, "too few states: " + states + " for " + Arrays.deepToString(dependencies));
      System.out.println(Arrays.deepToString(dependencies) + ": " + states + " states");
    }
  }

  @Test
  void eachPlantedBugIsDetected() {
    for (PlantedBug bug : PlantedBug.values()) {
      plantedBug = bug;
      String violation = explore(CHAIN);
      assertEquals(bug == PlantedBug.NONE, violation == null, bug + ": " + violation);
      System.out.println(bug + ": " + violation);
    }
  }
}
