package io.saltflow.fencing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.saltflow.cluster.CoreTimeUsage;
import io.saltflow.cluster.EventSummary;
import io.saltflow.cluster.Job;
import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.cluster.Machine;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.RunTimeEstimates;
import io.saltflow.cluster.TaskPlacement;
import io.saltflow.cluster.TestPolicies;
import io.saltflow.leader.LeaderHarness;
import io.saltflow.model.Attempt;
import io.saltflow.model.MachineId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against wrong run time estimates after tasks of a class have finished. */
class RunTimeEstimatesTest {
  private static final Policy POLICY =
      TestPolicies.of(
          TimeSpan.seconds(16),
          TimeSpan.seconds(20),
          1800,
          new Policy.TeamQuota("blue", 0, 0, 0, 0));

  private final RunTimeEstimates estimates = new RunTimeEstimates(POLICY);
  private final TaskOutcomes outcomes =
      new TaskOutcomes(POLICY, Map.of(), estimates, new CoreTimeUsage(), new EventSummary());
  private final Machine machine =
      new Machine(new MachineId("vm-1"), null, "box", "a", true, MonotonicTime.LONG_AGO);
  private final Job job =
      LeaderHarness.job(JobSpecBuilder.job(1).tasks(200).estimateS(60).build(), true);

  private TaskPlacement running(int index, double since) {
    TaskPlacement placement =
        new TaskPlacement(job, index, Attempt.of(new Term(7), index + 1), machine, at(since));
    placement.setState(TaskPlacement.State.RUNNING);
    placement.setRunningSince(at(since));
    return placement;
  }

  private static MonotonicTime at(double seconds) {
    return new MonotonicTime(Math.round(seconds * 1000));
  }

  private double predictedS() {
    return estimates.predict(job, 199).toSeconds();
  }

  @Test
  void tasksFoundInHeartbeatDoNotChangeEstimates() {
    for (int i = 0; i < 50; i++) {
      TaskPlacement placement = running(i, 100);
      placement.setFoundInHeartbeat(true);
      outcomes.onDone(job, i, placement, at(102));
    }
    assertEquals(60, predictedS(), 0.1);
  }

  @Test
  void estimateIsCorrectedWhenTasksOfClassRunLonger() {
    for (int i = 0; i < 50; i++) {
      outcomes.onDone(job, i, running(i, 100), at(190));
    }
    assertEquals(90, predictedS(), 1);
  }
}
