package io.saltflow.rollouts;

import io.saltflow.healthgates.TernaryTruth;
import io.saltflow.rollouts.Rollout.Phase;

/**
 * The state machine of a rollout, a pure function from the current state and the observations to
 * the next state. The caller records each state with a guarded write before it takes effect.
 *
 * <p>Two invariants hold: at most {@code replicas + surge} replicas are desired, and no move lowers
 * the number of ready replicas below {@code replicas - maxUnavailable}.
 */
public final class RolloutStateMachine {
  private final RolloutPlan plan;

  /** Creates the state machine of a plan. */
  public RolloutStateMachine(RolloutPlan plan) {
    this.plan = plan;
  }

  /** Returns the next state, or the same state if there is nothing to do yet. */
  public Rollout next(Rollout rollout, ReplicaStatus status) {
    return switch (rollout.phase()) {
      case WAITING -> waiting(rollout, status);
      case MOVING -> moving(rollout, status);
      case CHECKING -> checking(rollout, status);
      case APPROVAL, PAUSED ->
          stopConditionHolds(rollout, status) ? rollBackOnStopCondition(rollout, status) : rollout;
      case BACK -> rollingBack(rollout, status);
      case DONE, ROLLED_BACK, STUCK -> rollout;
    };
  }

  /**
   * Begins the step when a window is open. A step continues after its window closes, so that the
   * service is not left between two versions, and a clock that is set back does not interrupt it.
   */
  private Rollout waiting(Rollout rollout, ReplicaStatus status) {
    if (stopConditionHolds(rollout, status)) {
      return rollBackOnStopCondition(rollout, status);
    }
    return plan.windows().isOpen(status.wallMs())
        ? rollout.phase(Phase.MOVING, rollout.step(), status.wallMs())
        : rollout;
  }

  private Rollout moving(Rollout rollout, ReplicaStatus status) {
    if (stopConditionHolds(rollout, status)) {
      return rollBackOnStopCondition(rollout, status);
    }
    int target = plan.targetReplicas(rollout.step(), rollout.replicas());
    Rollout moved = move(rollout, status, target, rollout.replicas() - target, true);
    if (!moved.equals(rollout)) {
      return moved;
    }
    if (rollout.desiredNew() == target && rollout.desiredOld() == rollout.replicas() - target) {
      return rollout.phase(Phase.CHECKING, rollout.step(), rollout.sinceWallMs());
    }
    if (timedOut(rollout, status)) {
      return rollBack(
          rollout,
          status,
          stepName(rollout)
              + " was not complete within "
              + plan.stepTimeout().toSeconds()
              + " s: "
              + status.readyNew()
              + " of "
              + rollout.desiredNew()
              + " new and "
              + status.readyOld()
              + " of "
              + rollout.desiredOld()
              + " old replicas were ready.");
    }
    return rollout;
  }

  private Rollout checking(Rollout rollout, ReplicaStatus status) {
    if (stopConditionHolds(rollout, status)) {
      return rollBackOnStopCondition(rollout, status);
    }
    if (rollout.desiredNew() != plan.targetReplicas(rollout.step(), rollout.replicas())) {
      // The service was scaled meanwhile, so the step is no longer complete.
      return rollout.phase(Phase.MOVING, rollout.step(), rollout.sinceWallMs());
    }
    if (status.gate().truth() == TernaryTruth.TRUE) {
      boolean approval = plan.steps().get(rollout.step()).approval();
      return approval
          ? rollout.phase(Phase.APPROVAL, rollout.step(), status.wallMs())
          : nextStep(rollout, status);
    }
    if (timedOut(rollout, status)) {
      return rollBack(
          rollout,
          status,
          stepName(rollout)
              + " did not pass its gate within "
              + plan.stepTimeout().toSeconds()
              + " s: "
              + String.join("; ", status.gate().reasons())
              + ".");
    }
    return rollout;
  }

  private Rollout nextStep(Rollout rollout, ReplicaStatus status) {
    boolean last = rollout.step() + 1 == plan.steps().size();
    return last
        ? rollout.phase(Phase.DONE, rollout.step(), status.wallMs())
        : rollout.phase(Phase.WAITING, rollout.step() + 1, status.wallMs());
  }

  private static String stepName(Rollout rollout) {
    return "Step " + (rollout.step() + 1);
  }

  private boolean timedOut(Rollout rollout, ReplicaStatus status) {
    return status.wallMs() - rollout.sinceWallMs() > plan.stepTimeout().ms();
  }

  private static boolean stopConditionHolds(Rollout rollout, ReplicaStatus status) {
    return rollout.desiredNew() > 0
        && status.stop() != null
        && status.stop().truth() == TernaryTruth.TRUE;
  }

  private Rollout rollBackOnStopCondition(Rollout rollout, ReplicaStatus status) {
    return rollBack(
        rollout,
        status,
        stepName(rollout)
            + " was stopped: "
            + plan.stop()
            + "; "
            + String.join(", ", status.stop().reasons())
            + ".");
  }

  private static Rollout rollBack(Rollout rollout, ReplicaStatus status, String why) {
    return rollout.withReason(Phase.BACK, why, status.wallMs());
  }

  private Rollout rollingBack(Rollout rollout, ReplicaStatus status) {
    if (status.oldVersionFailure() != null) {
      return stuck(
          rollout,
          " The old version can't be started: " + status.oldVersionFailure() + ".",
          status);
    }
    Rollout moved = move(rollout, status, rollout.replicas(), 0, false);
    if (!moved.equals(rollout)) {
      return moved;
    }
    int floor = Math.max(1, rollout.replicas() - plan.maxUnavailable());
    if (rollout.desiredNew() == 0
        && rollout.desiredOld() == rollout.replicas()
        && status.readyOld() >= floor) {
      return rollout.withReason(Phase.ROLLED_BACK, rollout.reason(), status.wallMs());
    }
    if (status.wallMs() - rollout.sinceWallMs() > plan.rollbackTimeout().ms()) {
      return stuck(
          rollout,
          " Rolling back did not end within "
              + plan.rollbackTimeout().toSeconds()
              + " s either: "
              + status.readyOld()
              + " of "
              + rollout.replicas()
              + " old replicas serve, and "
              + status.readyNew()
              + " new ones.",
          status);
    }
    return rollout;
  }

  /**
   * Ends a failed rollback. Serving replicas of both versions are kept, and as many old ones are
   * desired as the surge allows, since this final state is not evaluated again.
   */
  private Rollout stuck(Rollout rollout, String why, ReplicaStatus status) {
    int old =
        Math.min(rollout.replicas(), rollout.replicas() + plan.surge() - rollout.desiredNew());
    return rollout
        .withDesired(Math.max(old, rollout.desiredOld()), rollout.desiredNew())
        .withReason(Phase.STUCK, rollout.reason() + why, status.wallMs());
  }

  /**
   * Makes one move: grows one version within the surge, or shrinks the other within the allowed
   * unavailability. Replicas known not to be ready are removed first. Unreachable replicas are not
   * counted as idle, as they may be serving behind a network partition.
   */
  private Rollout move(
      Rollout rollout, ReplicaStatus status, int growTo, int shrinkTo, boolean forward) {
    int grows = forward ? rollout.desiredNew() : rollout.desiredOld();
    int shrinks = forward ? rollout.desiredOld() : rollout.desiredNew();
    int readyGrowing = forward ? status.readyNew() : status.readyOld();
    int readyShrinking = forward ? status.readyOld() : status.readyNew();
    int unseenShrinking = forward ? status.unreachableOld() : status.unreachableNew();
    int roomFor = rollout.replicas() + plan.surge() - shrinks;
    int grown =
        Math.min(Math.min(growTo, roomFor), readyGrowing + Math.max(1, plan.pace().maxStarting()));
    if (forward) {
      grown = Math.min(grown, zoneBound(rollout, readyGrowing));
      int starts = Math.min(grown - grows, availableStarts(rollout, status));
      if (starts > 0) {
        return withStartsConsumed(rollout.withDesired(shrinks, grows + starts), starts, status);
      }
    } else if (grown > grows) {
      return rollout.withDesired(grown, shrinks);
    }
    int regrown = Math.min(shrinkTo, rollout.replicas() + plan.surge() - grows);
    if (regrown > shrinks) {
      // The service was scaled up: the shrinking version gets its part of the new replicas, too.
      return forward ? rollout.withDesired(regrown, grows) : rollout.withDesired(grows, regrown);
    }
    int floor = rollout.replicas() - plan.maxUnavailable();
    int idle = Math.max(0, shrinks - readyShrinking - unseenShrinking);
    int spare = Math.max(0, readyShrinking + readyGrowing - floor);
    int fewer = Math.max(shrinkTo, shrinks - idle - spare);
    if (fewer < shrinks) {
      return forward ? rollout.withDesired(fewer, grows) : rollout.withDesired(grows, fewer);
    }
    if (grows > growTo) {
      // The service was scaled down.
      return forward ? rollout.withDesired(shrinks, growTo) : rollout.withDesired(growTo, shrinks);
    }
    return rollout;
  }

  /** Returns the number of new replicas up to which the first zone that is not ready may grow. */
  private static int zoneBound(Rollout rollout, int ready) {
    for (int zones = 1; zones <= rollout.zones().size(); zones++) {
      if (rollout.replicasThroughZone(zones) > ready) {
        return rollout.replicasThroughZone(zones);
      }
    }
    return rollout.replicas();
  }

  /** Returns how many starts the plan's rate allows now; one if the clock was set back. */
  private int availableStarts(Rollout rollout, ReplicaStatus status) {
    if (plan.pace().startsPerMinute() == 0) {
      return Integer.MAX_VALUE;
    }
    long unused = status.wallMs() - rollout.startsUsedUntilWallMs();
    long starts = unused < 0 ? 1 : unused * plan.pace().startsPerMinute() / 60_000;
    return (int) Math.min(starts, plan.pace().maxStarting());
  }

  private Rollout withStartsConsumed(Rollout rollout, int starts, ReplicaStatus status) {
    if (plan.pace().startsPerMinute() == 0) {
      return rollout;
    }
    long each = 60_000 / plan.pace().startsPerMinute();
    long unusedSince =
        Math.max(
            rollout.startsUsedUntilWallMs(), status.wallMs() - plan.pace().maxStarting() * each);
    return rollout.withStartsUsedUntil(Math.min(status.wallMs(), unusedSince + starts * each));
  }

  /** Returns the state after an operator's command, or the same state if it does not apply. */
  public Rollout applyCommand(Rollout rollout, RolloutCommand command, long wallMs) {
    if (rollout.phase().isFinal()) {
      return rollout;
    }
    return switch (command) {
      case PAUSE ->
          rollout.phase() == Phase.PAUSED || rollout.phase() == Phase.BACK
              ? rollout
              : rollout.paused();
      case RESUME ->
          rollout.phase() == Phase.PAUSED
              ? rollout.phase(rollout.resumePhase(), rollout.step(), wallMs)
              : rollout;
      case APPROVE -> {
        boolean last = rollout.step() + 1 == plan.steps().size();
        if (rollout.phase() != Phase.APPROVAL) {
          yield rollout;
        }
        yield last
            ? rollout.phase(Phase.DONE, rollout.step(), wallMs)
            : rollout.phase(Phase.WAITING, rollout.step() + 1, wallMs);
      }
      case ABORT ->
          rollout.phase() == Phase.BACK
              ? rollout
              : rollout.withReason(
                  Phase.BACK, stepName(rollout) + " was aborted by an operator.", wallMs);
    };
  }

  /** Returns the state with another number of replicas for the service. */
  public Rollout scale(Rollout rollout, int replicas) {
    return rollout.withReplicas(replicas);
  }
}
