package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.TestPolicies;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against jobs that are kept off the only machines that fit them. */
class AvoidedMachineTest {
  private static final Policy POLICY =
      TestPolicies.of(
          TimeSpan.seconds(26),
          TimeSpan.seconds(15),
          1800,
          new Policy.TeamQuota("blue", 0, 0, 0, 0));

  /** The longest that a job may wait beside a machine with room. */
  private static final int MAX_WAIT_S = 90;

  private final LeaderHarness harness = new LeaderHarness(POLICY, List.of(), "vm-1", "vm-2");

  private boolean launchedBy(String machine, int job) {
    List<WorkerCommand> commands = harness.sendHeartbeat(machine);
    return commands.stream()
        .anyMatch(
            command ->
                command instanceof WorkerCommand.Launch
                    && command.task().equals(LeaderHarness.task(job, 0)));
  }

  /** Advances by whole seconds and returns after how many the machine is told to launch the job. */
  private int secondsUntilLaunch(String machine, String other, int job) {
    for (int second = 0; second < 200; second++) {
      harness.advance(1);
      harness.sendHeartbeat(other);
      if (launchedBy(machine, job)) {
        return second;
      }
    }
    return Integer.MAX_VALUE;
  }

  /** Launches job 1 on vm-1, which has the only room, as job 9 takes all of vm-2. */
  private void launchBesideFullMachine() {
    harness.submit(JobSpecBuilder.job(9).cores(10).estimateS(1000).build());
    for (int i = 0; i < 10 && !launchedBy("vm-2", 9); i++) {
      harness.advance(1);
    }
    harness.sendHeartbeat("vm-1");
    harness.submit(JobSpecBuilder.job(1).cores(4).estimateS(10).build());
    assertTrue(secondsUntilLaunch("vm-1", "vm-2", 1) < 10);
  }

  private void failTask() {
    harness.advance(1);
    harness.exitTask("vm-1", LeaderHarness.task(1, 0), WorkerHeartbeat.ExitCause.ERROR);
    harness.sendHeartbeat("vm-1");
  }

  @Test
  void jobReturnsToTheOnlyMachineWithRoomAfterOneFailure() {
    launchBesideFullMachine();
    failTask();
    int waited = secondsUntilLaunch("vm-1", "vm-2", 1);
    assertTrue(waited >= 10 && waited < MAX_WAIT_S, "waited for " + waited + " s");
  }

  @Test
  void jobReturnsAtOnceAfterALaterSuccessOnTheMachine() {
    launchBesideFullMachine();
    failTask();
    harness.submit(JobSpecBuilder.job(2).cores(4).estimateS(1).build());
    assertTrue(secondsUntilLaunch("vm-1", "vm-2", 2) < 5);
    harness.advance(1);
    harness.exitTask("vm-1", LeaderHarness.task(2, 0), WorkerHeartbeat.ExitCause.DONE);
    assertTrue(launchedBy("vm-1", 1) || secondsUntilLaunch("vm-1", "vm-2", 1) < 5);
  }

  /** A machine that fails the job again and again is tried at growing intervals. */
  @Test
  void repeatedFailuresOnOneMachineAreSpacedOut() {
    launchBesideFullMachine();
    int before = 0;
    for (int failure = 0; failure < 2; failure++) {
      failTask();
      int waited = secondsUntilLaunch("vm-1", "vm-2", 1);
      assertTrue(waited > before && waited < MAX_WAIT_S, "waited for " + waited + " s");
      before = waited;
    }
  }

  /** Guards against a zone-bound job that waits while another zone's machine has free cores. */
  @Test
  void machineIsRequestedForJobThatNoPresentMachineCanRun() {
    LeaderHarness oneZone = new LeaderHarness(POLICY, List.of(), "vm-1");
    oneZone.sendHeartbeat("vm-1");
    oneZone.submit(JobSpecBuilder.job(1).cores(1).estimateS(1000).build());
    oneZone.advance(1);
    oneZone.sendHeartbeat("vm-1");
    oneZone.submit(JobSpecBuilder.job(2).cores(2).zone("b").estimateS(10).build());
    oneZone.advance(1);
    List<ScaleOutRequestLine> requests = requests(oneZone);
    assertEquals(List.of(new ScaleOutRequestLine("b", 1)), requests);
    oneZone.advance(1);
    assertEquals(List.of(), requests(oneZone), "an open request is waited for");
  }

  @Test
  void noMachineIsRequestedForJobThatAPresentMachineCanRun() {
    LeaderHarness oneZone = new LeaderHarness(POLICY, List.of(), "vm-1");
    oneZone.sendHeartbeat("vm-1");
    oneZone.submit(JobSpecBuilder.job(2).cores(2).zone("a").estimateS(10).build());
    oneZone.advance(1);
    assertFalse(
        requests(oneZone).stream().anyMatch(request -> request.zone().equals("b")),
        "no machine is needed in the other zone");
    assertTrue(launchedWithin(oneZone, "vm-1"));
  }

  private static boolean launchedWithin(LeaderHarness harness, String machine) {
    for (int i = 0; i < 5; i++) {
      if (!harness.sendHeartbeat(machine).isEmpty()) {
        return true;
      }
      harness.advance(1);
    }
    return false;
  }

  private record ScaleOutRequestLine(String zone, int count) {}

  private static List<ScaleOutRequestLine> requests(LeaderHarness harness) {
    return harness.leader.machines().planScaleOut(harness.time()).stream()
        .map(request -> new ScaleOutRequestLine(request.instanceKind().zone(), request.count()))
        .toList();
  }
}
