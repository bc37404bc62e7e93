package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.cluster.TestPolicies;
import io.saltflow.fairshare.FairShareRules;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Priority;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that the first round of a new leader has the queue order of its predecessor's last round.
 * {@code -Dorder.jobs=3000 -Dorder.moments=200} runs a longer variant.
 */
class FailoverQueueOrderTest {
  private static final int JOBS = Integer.getInteger("order.jobs", 400);
  private static final int FAILOVERS = Integer.getInteger("order.moments", 12);

  private static JobSpec job(ClusterSimulation simulation, int number) {
    int kind = simulation.random.nextInt(4);
    return JobSpecBuilder.job(number)
        .ofClass("class-" + kind)
        .team(kind == 0 ? "red" : "blue")
        .priority(Priority.values()[kind % 3])
        .tasks(1 + simulation.random.nextInt(30))
        .cores(1 + simulation.random.nextInt(3))
        .estimateS(5 + simulation.random.nextInt(60))
        .checkpointS(kind == 3 ? 5 : 0)
        .build();
  }

  /** Returns how many pairs of jobs that are in both orders are in reverse order. */
  private static long inversions(List<JobId> before, List<JobId> after) {
    Set<JobId> common = new HashSet<>(before);
    common.retainAll(new HashSet<>(after));
    Map<JobId, Integer> positions = new HashMap<>();
    for (JobId id : before) {
      if (common.contains(id)) {
        positions.put(id, positions.size());
      }
    }
    List<Integer> order = new ArrayList<>();
    after.stream().filter(common::contains).forEach(id -> order.add(positions.get(id)));
    long count = 0;
    for (int i = 0; i < order.size(); i++) {
      for (int j = i + 1; j < order.size(); j++) {
        count += order.get(i) > order.get(j) ? 1 : 0;
      }
    }
    return count;
  }

  /**
   * Returns each job's recorded progress and whether it is within its guaranteed quota: a change of
   * either legitimately moves the job.
   */
  private static Map<JobId, Object> positionFactors(ClusterSimulation simulation) {
    Map<JobId, Object> factors = new HashMap<>();
    simulation.records.forEach(
        (id, record) ->
            factors.put(
                id,
                record.recordedTasks.cardinality()
                    + " "
                    + simulation.leader.core.jobsWithinGuarantee().contains(id)));
    return factors;
  }

  /**
   * Clock skew between nodes inverts a few pairs. With minimum shares more pairs may change,
   * because a starved class hands its places to the jobs that can end soonest: once one has ended
   * or made progress, another takes its place.
   *
   * @param minimumShare the minimum share of the fair-share rules
   * @param maxInvertedShare the share of the pairs that may be inverted
   */
  @ParameterizedTest
  @CsvSource({"0, 0.00001", "0.5, 0.001"})
  void newLeaderKeepsQueueOrder(double minimumShare, double maxInvertedShare) {
    FairShareRules rules = new FairShareRules(minimumShare, TimeSpan.seconds(120), 0.25);
    ClusterSimulation simulation =
        new ClusterSimulation(
            11,
            TestPolicies.withFairShareRules(
                ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS)), rules));
    simulation.clocksSkewed = true;
    simulation.runTimeFactor = 1.7;
    for (int number = 1; number <= JOBS; number++) {
      simulation.submit(job(simulation, number));
      if (number % 20 == 0) {
        simulation.step();
      }
    }
    long inverted = 0;
    int rewrites = 0;
    long pairs = 0;
    for (int failover = 0; failover < FAILOVERS; failover++) {
      simulation.run(20 + simulation.random.nextInt(60) / 2.0);
      List<JobId> before = new ArrayList<>(simulation.leader.core.waitingJobIds());
      assertTrue(before.size() > JOBS / 8, "too few jobs are waiting: " + before.size());
      Map<JobId, Object> positionFactors = positionFactors(simulation);
      int writesBefore = simulation.orderInputWrites;
      simulation.failLeader(0);
      while (simulation.leader == null || !simulation.leader.core.isReconciled()) {
        simulation.step();
      }
      for (int i = 0;
          i < 10 && simulation.leader.core.waitingJobIds().size() < before.size() / 2;
          i++) {
        simulation.step();
      }
      List<JobId> after = simulation.leader.core.waitingJobIds();
      assertTrue(after.size() > before.size() / 2, after.size() + " waiting of " + before.size());
      Map<JobId, Object> factorsAfter = positionFactors(simulation);
      before.removeIf(id -> !positionFactors.get(id).equals(factorsAfter.get(id)));
      if (writesBefore != simulation.orderInputWrites) {
        // The inputs of the order were recorded again, which may change it.
        rewrites++;
        continue;
      }
      inverted += inversions(before, after);
      pairs += (long) before.size() * (before.size() - 1) / 2;
    }
    assertEquals("", String.join("\n", simulation.violations));
    String summary =
        inverted
            + " of "
            + pairs
            + " pairs inverted, writes of the order inputs: "
            + simulation.orderInputWrites
            + ", failovers with new order inputs: "
            + rewrites;
    System.out.println("queue order over " + FAILOVERS + " failovers: " + summary);
    assertTrue(rewrites <= FAILOVERS / 2, rewrites + " times the order inputs were recorded again");
    assertTrue(inverted <= maxInvertedShare * pairs, summary);
    assertTrue(
        simulation.orderInputWrites <= simulation.now / 10_000,
        "too many writes of the order inputs: " + simulation.orderInputWrites);
  }
}
