package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.cluster.JobSpecBuilder;
import io.saltflow.cluster.Policy;
import io.saltflow.cluster.TestPolicies;
import io.saltflow.deadlines.DailyDeadline;
import io.saltflow.deadlines.DeadlineRule;
import io.saltflow.model.JobSpec;
import io.saltflow.model.TimeSpan;
import java.time.DayOfWeek;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Compares how many jobs meet a daily deadline with and without the deadline boost, on an
 * overloaded cluster whose leader fails about once a minute.
 */
class DailyDeadlinesTest {
  private static final long DUE_MS = 360_000;
  private static final String BOOSTED_CLASS = "chapters";

  private static Policy policy(boolean boost) {
    DeadlineRule rule =
        new DeadlineRule(
            BOOSTED_CLASS,
            Set.of(BOOSTED_CLASS),
            Set.of(),
            LocalTime.of(0, 0),
            LocalTime.of(0, 6),
            ZoneId.of("UTC"),
            EnumSet.allOf(DayOfWeek.class),
            1);
    Policy policy = ClusterSimulation.policy(TimeSpan.millis(ClusterSimulation.LEASE_MS));
    return boost ? TestPolicies.withDailyDeadlines(policy, List.of(rule)) : policy;
  }

  private static JobSpec job(ClusterSimulation simulation, int number) {
    boolean inBoostedClass = number % 5 > 0;
    return JobSpecBuilder.job(number)
        .ofClass(inBoostedClass ? BOOSTED_CLASS : "other")
        .tasks(1 + simulation.random.nextInt(inBoostedClass ? 40 : 10))
        .cores(2)
        .estimateS(5 + simulation.random.nextInt(30))
        .build();
  }

  private static ClusterSimulation simulate(
      long seed, boolean boost, double runtimeFactor, int jobs) {
    ClusterSimulation simulation = new ClusterSimulation(seed, policy(boost));
    simulation.maxMachines = 8;
    simulation.runTimeFactor = runtimeFactor;
    int nextNumber = 1;
    while (simulation.now < DUE_MS + 10_000) {
      // Half of the jobs arrive in a burst, the rest one by one; size is independent of arrival.
      if (nextNumber <= jobs && (nextNumber <= jobs / 2 || simulation.chance(0.2))) {
        simulation.submit(job(simulation, nextNumber++));
      }
      if (simulation.now > 60_000 && simulation.now % 70_000 < ClusterSimulation.STEP_MS) {
        simulation.failLeader(0);
      }
      simulation.step();
    }
    assertEquals("", String.join("\n", simulation.violations));
    return simulation;
  }

  private static long finishedInTime(ClusterSimulation simulation, String jobClass) {
    return simulation.records.values().stream()
        .filter(r -> r.spec.jobClass().equals(jobClass) && r.doneAt >= 0 && r.doneAt <= DUE_MS)
        .count();
  }

  /**
   * Returns an upper bound for any order, in which every machine is busy throughout and the
   * shortest jobs run first.
   */
  private static int upperBound(ClusterSimulation simulation, double runtimeFactor) {
    List<Double> coreSecondsByJob = new ArrayList<>();
    for (ClusterSimulation.JobRecord jobRecord : simulation.records.values()) {
      if (jobRecord.spec.jobClass().equals(BOOSTED_CLASS)) {
        coreSecondsByJob.add(
            jobRecord.spec.tasks()
                * jobRecord.spec.size().cores()
                * jobRecord.spec.estimate().toSeconds());
      }
    }
    coreSecondsByJob.sort(Comparator.naturalOrder());
    double coreSecondsLeft = 8 * 8 * (DUE_MS / 1000.0 - 15) / runtimeFactor;
    int inTime = 0;
    for (double coreSeconds : coreSecondsByJob) {
      coreSecondsLeft -= coreSeconds;
      inTime += coreSecondsLeft >= 0 ? 1 : 0;
    }
    return inTime;
  }

  /**
   * @param minShareOfBound the share of the upper bound that must meet the deadline
   */
  @ParameterizedTest
  @CsvSource({"1, 0.7", "1.5, 0.6", "0.5, 0.7"})
  void boostIncreasesJobsThatMeetDeadline(double runtimeFactor, double minShareOfBound) {
    long withBoost = 0;
    long withoutBoost = 0;
    long bound = 0;
    long othersWithBoost = 0;
    long othersWithoutBoost = 0;
    List<String> countsBySeed = new ArrayList<>();
    for (long seed = 1; seed <= 6; seed++) {
      ClusterSimulation boosted = simulate(seed, true, runtimeFactor, 110);
      ClusterSimulation unboosted = simulate(seed, false, runtimeFactor, 110);
      withBoost += finishedInTime(boosted, BOOSTED_CLASS);
      withoutBoost += finishedInTime(unboosted, BOOSTED_CLASS);
      othersWithBoost += finishedInTime(boosted, "other");
      othersWithoutBoost += finishedInTime(unboosted, "other");
      bound += upperBound(boosted, runtimeFactor);
      countsBySeed.add(
          finishedInTime(unboosted, BOOSTED_CLASS)
              + " -> "
              + finishedInTime(boosted, BOOSTED_CLASS));
      DailyDeadline deadline = boosted.dailyDeadlines.get(BOOSTED_CLASS + "/1970-01-01");
      assertTrue(
          deadline != null && deadline.outcome() != null,
          "the outcome of the deadline is not recorded: " + deadline);
      assertTrue(
          Math.abs(deadline.readyJobs() - finishedInTime(boosted, BOOSTED_CLASS)) <= 1,
          deadline + " " + countsBySeed);
      assertTrue(
          boosted.dailyDeadlineWrites <= boosted.now / 5000,
          boosted.dailyDeadlineWrites + " writes of the daily deadlines");
    }
    String summary =
        "run time "
            + runtimeFactor
            + " x estimate: in time "
            + withoutBoost
            + " -> "
            + withBoost
            + ", bound "
            + bound;
    System.out.println(
        summary
            + ", others "
            + othersWithoutBoost
            + " -> "
            + othersWithBoost
            + ", "
            + countsBySeed);
    assertTrue(withBoost >= withoutBoost, summary + ", " + countsBySeed);
    assertTrue(withBoost >= minShareOfBound * bound, summary);
    assertTrue(
        2 * othersWithBoost >= othersWithoutBoost,
        summary + ", others " + othersWithoutBoost + " -> " + othersWithBoost);
  }
}
