package io.saltflow.rollouts;

import io.saltflow.healthgates.Gate;
import io.saltflow.healthgates.GateException;
import io.saltflow.model.TimeSpan;
import java.util.List;

/** Rollout plans for tests. */
final class SamplePlans {
  private SamplePlans() {}

  /** Returns a plan with a surge of 1, two concurrent starts and a gate on 95% ready replicas. */
  static RolloutPlan of(List<RolloutPlan.Step> steps, MaintenanceWindows windows) {
    try {
      return new RolloutPlan(
          steps,
          1,
          0,
          RolloutPlan.Pace.withoutRateLimit(2),
          false,
          TimeSpan.seconds(5),
          TimeSpan.seconds(60),
          TimeSpan.seconds(60),
          Gate.parse("ready >= 95%"),
          null,
          windows);
    } catch (GateException exception) {
      throw new IllegalStateException(exception);
    }
  }
}
