package io.saltflow.deadlines;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.JobId;
import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of daily deadlines: due times, forecasts, and boosted jobs. */
class DailyDeadlineTest {
  private static DeadlineRule rule(String opens, String dueBy, String zone) {
    return new DeadlineRule(
        "chapters",
        Set.of("page-render"),
        Set.of(),
        LocalTime.parse(opens),
        LocalTime.parse(dueBy),
        ZoneId.of(zone),
        EnumSet.complementOf(EnumSet.of(DayOfWeek.SUNDAY)),
        0.9);
  }

  /** Guards against wrong due times across midnight, clock changes, and days without a deadline. */
  @ParameterizedTest
  @CsvSource({
    "18:00, 07:30, Asia/Almaty, 2026-12-01T18:00:00Z, 2026-12-02T02:30:00Z",
    "18:00, 07:30, Asia/Almaty, 2026-12-02T02:29:59Z, 2026-12-02T02:30:00Z",
    "18:00, 07:30, Asia/Almaty, 2026-12-02T02:30:00Z, ",
    "06:00, 09:00, UTC, 2026-12-02T08:00:00Z, 2026-12-02T09:00:00Z",
    "06:00, 09:00, UTC, 2026-12-06T08:00:00Z, ",
    "22:00, 02:30, Europe/Berlin, 2026-03-27T23:00:00Z, 2026-03-28T01:30:00Z",
    "22:00, 07:00, Europe/Berlin, 2026-10-24T23:00:00Z, ",
    "22:00, 07:00, Australia/Sydney, 2026-10-05T12:00:00Z, 2026-10-05T20:00:00Z"
  })
  void dueTimeFollowsZoneAndClockChanges(
      String opens, String dueBy, String zone, String now, String due) {
    DailyDeadline deadline = rule(opens, dueBy, zone).openAt(Instant.parse(now).toEpochMilli());
    assertEquals(due, deadline == null ? null : Instant.ofEpochMilli(deadline.dueMs()).toString());
  }

  @Test
  void invalidRulesAreReported() {
    DeadlineRule rule = rule("18:00", "07:30", "UTC");
    assertEquals(List.of(), DeadlineRule.validationErrors(List.of(rule)));
    assertEquals(
        2,
        DeadlineRule.validationErrors(List.of(rule, rule)).size(),
        "duplicate name and overlapping classes");
    assertEquals(
        List.of("readiness[0].opens: the same as by, so the deadline is never open"),
        DeadlineRule.validationErrors(List.of(rule("07:30", "07:30", "UTC"))));
  }

  private static PendingJob pending(int number, double remainingCoreS, double longestTaskS) {
    return new PendingJob(
        new JobId("req-" + number), remainingCoreS, longestTaskS, false, "it waits for machines");
  }

  /** Returns the maximum number of jobs that can be in time, by trying every subset. */
  private static int maxJobsInTime(List<PendingJob> jobs, double cores, double untilDueS) {
    int maxCount = 0;
    for (int subset = 0; subset < 1 << jobs.size(); subset++) {
      double sum = 0;
      boolean fits = true;
      for (int i = 0; i < jobs.size(); i++) {
        if ((subset >> i & 1) == 1) {
          sum += jobs.get(i).remainingCoreS();
          fits &= jobs.get(i).longestTaskS() <= untilDueS;
        }
      }
      if (fits && sum <= cores * untilDueS + 1e-6) {
        maxCount = Math.max(maxCount, Integer.bitCount(subset));
      }
    }
    return maxCount;
  }

  /** Guards against a boost order that saves fewer jobs than an exhaustive search. */
  @Test
  void boostSavesMaximumNumberOfJobs() {
    Random random = new Random(4);
    for (int trial = 0; trial < 2000; trial++) {
      List<PendingJob> jobs = new ArrayList<>();
      for (int number = 0; number < 3 + random.nextInt(7); number++) {
        jobs.add(pending(number, 1 + random.nextInt(300), random.nextInt(80)));
      }
      Collections.shuffle(jobs, random);
      double cores = 1 + random.nextInt(20);
      double untilDueS = 20 + random.nextInt(50);
      CompletionForecast forecast =
          CompletionForecast.of(jobs, new CoreSupply(cores, cores), untilDueS);
      double sum = 0;
      int saved = 0;
      for (JobId id : forecast.boostOrder()) {
        PendingJob job =
            jobs.stream().filter(each -> each.id().equals(id)).findFirst().orElseThrow();
        sum += job.remainingCoreS();
        saved += sum <= cores * untilDueS + 1e-6 ? 1 : 0;
      }
      assertEquals(maxJobsInTime(jobs, cores, untilDueS), saved, "trial " + trial);
      assertTrue(forecast.inTime() <= saved);
    }
  }

  /** Guards against boosted jobs that change places as forecasts fluctuate. */
  @Test
  void boostOrderIsStable() {
    DailyDeadline deadline = DailyDeadline.opened("chapters", "2026-12-02", 0, 100_000, 0.9);
    List<PendingJob> all = List.of(pending(1, 4000, 20), pending(2, 300, 20), pending(3, 500, 90));
    deadline = DeadlineBoost.update(deadline, all, 0, 1, new CoreSupply(100, 100), 1000);
    assertEquals(0, deadline.atRiskSinceMs(), "no job is boosted while the forecast is good");
    assertEquals(List.of(), deadline.boosted());
    deadline = DeadlineBoost.update(deadline, all, 0, 1, new CoreSupply(30, 60), 5000);
    assertEquals(5000, deadline.atRiskSinceMs());
    assertEquals("[req-2, req-3, req-1]", deadline.boosted().toString());
    // Boosted jobs stay boosted when the forecast recovers; a new one is inserted by its length.
    deadline = DeadlineBoost.update(deadline, all, 0, 1, new CoreSupply(90, 90), 6000);
    assertEquals("[req-2, req-3, req-1]", deadline.boosted().toString());
    List<PendingJob> more = List.of(all.get(0), pending(4, 400, 20), all.get(1), all.get(2));
    deadline = DeadlineBoost.update(deadline, more, 0, 1, new CoreSupply(20, 60), 7000);
    assertEquals("[req-2, req-4, req-3, req-1]", deadline.boosted().toString());
    // The third job can no longer be in time: its longest task alone ends after the deadline.
    deadline = DeadlineBoost.update(deadline, more, 0, 1, new CoreSupply(20, 60), 12_000);
    assertEquals("[req-2, req-4, req-1]", deadline.boosted().toString());
    assertTrue(
        deadline
            .lateJobs()
            .get(deadline.lateJobs().size() - 1)
            .reason()
            .startsWith("can't be saved"),
        "" + deadline.lateJobs());
  }

  /** Guards against correcting the clock when the peers' clocks do not agree. */
  @ParameterizedTest
  @CsvSource({
    "0 0, 0",
    "300 -200, 0",
    "3600000 3600100, 3600000",
    "-3600000 -3600000 -3599000, -3599500",
    "-3600000 -3600000 10, 0",
    "3600000, 0",
    "3600000 5, 0"
  })
  void clockIsCorrectedWhenTwoPeersAgree(String offsets, long correction) {
    List<Long> all = new ArrayList<>();
    for (String offset : offsets.split(" ")) {
      all.add(Long.parseLong(offset));
    }
    assertEquals(correction, ClockAgreement.correction(all, 1500));
  }
}
