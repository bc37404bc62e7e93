package io.saltflow.rollouts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.GoldenTraces;
import io.saltflow.healthgates.GateEvaluator;
import io.saltflow.healthgates.GateException;
import io.saltflow.healthgates.TernaryTruth;
import io.saltflow.model.TimeSpan;
import io.saltflow.rollouts.Rollout.Phase;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compares the moves of rollouts with recorded traces. */
class RolloutStateMachineTest {
  private static final GateEvaluator.Verdict PASS =
      new GateEvaluator.Verdict(TernaryTruth.TRUE, List.of());
  private static final GateEvaluator.Verdict FAIL =
      new GateEvaluator.Verdict(
          TernaryTruth.FALSE, List.of("ready >= 95%: false for 9s, it is 50%"));

  private final List<String> lines = new ArrayList<>();
  private RolloutStateMachine machine = new RolloutStateMachine(plan());
  private Rollout rollout = Rollout.begin(4, 0);
  private long wallMs;
  private boolean timed;
  private String oldVersionFailure;

  private static RolloutPlan plan() {
    return SamplePlans.of(
        List.of(
            new RolloutPlan.Step(1, false, true),
            new RolloutPlan.Step(50, true, false),
            new RolloutPlan.Step(100, true, false)),
        MaintenanceWindows.ALWAYS);
  }

  private boolean step(int readyOld, int readyNew, GateEvaluator.Verdict gate) {
    wallMs += 1000;
    ReplicaStatus status =
        new ReplicaStatus(readyOld, 0, readyNew, 0, gate, null, oldVersionFailure, wallMs);
    Rollout next = machine.next(rollout, status);
    boolean moved = !next.equals(rollout);
    rollout = next;
    if (moved) {
      recordLine(readyOld + " and " + readyNew + " ready");
    }
    return moved;
  }

  private void recordLine(String what) {
    lines.add(
        (timed ? String.format("%6d s  ", wallMs / 1000) : "")
            + String.format(
                "%-18s -> step %d, %s: %d old, %d new%s",
                what,
                rollout.step() + 1,
                rollout.phase(),
                rollout.desiredOld(),
                rollout.desiredNew(),
                (rollout.openZones() == null ? "" : " in " + rollout.openZones())
                    + (rollout.reason().isEmpty() ? "" : "; " + rollout.reason())));
  }

  /** Steps while all desired replicas are ready at once, at most {@code most} times. */
  private void stepWhileHealthy(GateEvaluator.Verdict gate, int most) {
    for (int i = 0; i < most && step(rollout.desiredOld(), rollout.desiredNew(), gate); i++) {
      assertTrue(i < 99);
    }
  }

  private void applyCommand(RolloutCommand command) {
    rollout = machine.applyCommand(rollout, command, wallMs);
    recordLine(command.toString());
  }

  @Test
  void rolloutsAndRollbacksMatchRecordedTrace() throws IOException {
    lines.add("# a sound version, approved after its first replica, scaled on the way");
    stepWhileHealthy(PASS, 99);
    applyCommand(RolloutCommand.APPROVE);
    stepWhileHealthy(PASS, 2);
    applyCommand(RolloutCommand.PAUSE);
    stepWhileHealthy(PASS, 99);
    applyCommand(RolloutCommand.RESUME);
    rollout = machine.scale(rollout, 6);
    recordLine("scaled to 6");
    stepWhileHealthy(PASS, 99);
    lines.add("# one whose gate does not pass with half of the replicas");
    rollout = Rollout.begin(4, wallMs);
    stepWhileHealthy(PASS, 99);
    applyCommand(RolloutCommand.APPROVE);
    stepWhileHealthy(FAIL, 99);
    wallMs += 60_000;
    stepWhileHealthy(FAIL, 99);
    applyCommand(RolloutCommand.APPROVE);
    lines.add("# an abort that races the last step, and the old image gone at the roll-back");
    rollout = new Rollout(4, 2, Phase.MOVING, null, 1, 4, wallMs, 0, List.of(), "");
    applyCommand(RolloutCommand.ABORT);
    step(1, 4, PASS);
    oldVersionFailure = "its image is gone";
    step(1, 3, PASS);
    lines.add("# a step that is never complete: there is no room for the surge");
    oldVersionFailure = null;
    rollout = Rollout.begin(4, wallMs);
    step(4, 0, FAIL);
    wallMs += 60_000;
    step(4, 0, FAIL);
    stepWhileHealthy(FAIL, 99);
    lines.add("# six starts a minute, two at a time; the clock is set back an hour on the way");
    runWithStartRate();
    lines.add(
        "# zone by zone: five replicas in two zones, the second begins when the first is well");
    runZoneByZone();
    GoldenTraces.check("roll-outs", lines);
  }

  private RolloutPlan planWith(RolloutPlan.Pace pace, boolean zoneByZone) {
    RolloutPlan rolloutPlan = plan();
    return new RolloutPlan(
        List.of(new RolloutPlan.Step(100, true, false)),
        2,
        0,
        pace,
        zoneByZone,
        rolloutPlan.settle(),
        TimeSpan.seconds(600),
        rolloutPlan.rollbackTimeout(),
        rolloutPlan.gate(),
        null,
        MaintenanceWindows.ALWAYS);
  }

  private void runWithStartRate() {
    timed = true;
    machine = new RolloutStateMachine(planWith(new RolloutPlan.Pace(2, 6), false));
    rollout = Rollout.begin(6, wallMs);
    for (int s = 0; s < 60; s++) {
      if (s == 20) {
        wallMs -= 3_600_000;
      }
      step(rollout.desiredOld(), rollout.desiredNew(), PASS);
    }
  }

  private void runZoneByZone() {
    machine = new RolloutStateMachine(planWith(RolloutPlan.Pace.withoutRateLimit(5), true));
    rollout = Rollout.begin(5, List.of("a", "b"), wallMs);
    for (int s = 0; s < 20; s++) {
      // No started replica is ready before the sixth second.
      step(rollout.desiredOld(), s < 6 ? 0 : rollout.desiredNew(), PASS);
    }
  }

  @Test
  void planFaultsAreReported() throws GateException {
    RolloutPlan rolloutPlan = plan();
    RolloutPlan none =
        new RolloutPlan(
            List.of(new RolloutPlan.Step(2, false, false), new RolloutPlan.Step(10, true, false)),
            0,
            0,
            RolloutPlan.Pace.withoutRateLimit(0),
            false,
            rolloutPlan.settle(),
            rolloutPlan.stepTimeout(),
            rolloutPlan.rollbackTimeout(),
            rolloutPlan.gate(),
            null,
            MaintenanceWindows.ALWAYS);
    assertEquals(List.of(), rolloutPlan.faults(4));
    assertEquals(
        List.of(
            "surge and mostUnavailable are both 0: no replica could ever be replaced",
            "step 2 moves nothing: 1 of 4 after it",
            "the last step leaves 3 replicas of the old version",
            "startsAtOnce is 0: nothing would ever start"),
        none.faults(4));
  }
}
