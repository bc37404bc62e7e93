package io.saltflow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.junit.jupiter.api.Test;

/** Tests how long jobs remain without an answer when nodes can answer only some of their polls. */
class FairPollingTest {
  private static final int JOBS = 1200;

  /**
   * Simulates polls at random nodes: half of the jobs are polled every second, the others every 30
   * s.
   *
   * @return the longest time for which any job received no answer, in seconds
   */
  private static long longestUnansweredSeconds(int nodes, int answersPerSecond, boolean fair) {
    UniformRandomProvider random = new SplitMix64(5);
    FairPolling[] policies = new FairPolling[nodes];
    for (int node = 0; node < nodes; node++) {
      policies[node] =
          new FairPolling(new FairPolling.PollLimits(answersPerSecond / 2, answersPerSecond, 240));
    }
    Map<Integer, Long> lastAnsweredAt = new HashMap<>();
    long longest = 0;
    for (long second = 1; second <= 300; second++) {
      MonotonicTime now = new MonotonicTime(second * 1000);
      int[] inFlight = new int[nodes];
      for (FairPolling from : policies) {
        Map<JobId, TimeSpan> unanswered = from.unanswered(now);
        for (FairPolling to : policies) {
          if (from != to) {
            unanswered.forEach((id, since) -> to.onPeerRefused(id, since, now));
          }
        }
      }
      int start = random.nextInt(JOBS);
      for (int i = 0; i < JOBS; i++) {
        int job = (start + i) % JOBS;
        if (job % 2 == 0 && second % 30 != job % 30) {
          continue;
        }
        int node = random.nextInt(nodes);
        JobId id = new JobId(String.format("req-%06d", job));
        FairPolling.Verdict verdict =
            fair
                ? policies[node].onPoll(id, inFlight[node], now)
                : inFlight[node] < answersPerSecond
                    ? FairPolling.Verdict.BEST_EFFORT
                    : FairPolling.Verdict.REFUSED;
        if (verdict == FairPolling.Verdict.REFUSED) {
          continue;
        }
        inFlight[node]++;
        // Some best-effort polls time out, prioritized ones do not.
        boolean isAnswered = verdict == FairPolling.Verdict.OVERDUE || random.nextDouble() < 0.3;
        if (fair) {
          policies[node].onFinished(id, verdict, isAnswered, now);
        }
        if (isAnswered) {
          longest = Math.max(longest, second - lastAnsweredAt.getOrDefault(job, 0L));
          lastAnsweredAt.put(job, second);
        }
      }
    }
    for (int job = 0; job < JOBS; job++) {
      longest = Math.max(longest, 300 - lastAnsweredAt.getOrDefault(job, 0L));
    }
    return longest;
  }

  /** Verifies that the load exceeds the limit without the policy. */
  @Test
  void unfairPollingLeavesJobUnansweredTooLong() {
    assertTrue(longestUnansweredSeconds(3, 40, false) > 75);
  }

  @Test
  void fairPollingAnswersEachJobInTime() {
    long longest = longestUnansweredSeconds(3, 40, true);
    assertTrue(longest <= 75, longest + " s");
  }

  @Test
  void refusedJobTakesPrecedenceOverAnsweredJob() {
    FairPolling fairPolling = new FairPolling(new FairPolling.PollLimits(2, 4, 8));
    JobId first = new JobId("req-000001");
    JobId second = new JobId("req-000002");
    fairPolling.onFinished(
        first, fairPolling.onPoll(first, 0, new MonotonicTime(0)), true, new MonotonicTime(0));
    assertEquals(
        FairPolling.Verdict.REFUSED,
        fairPolling.onPoll(first, 2, new MonotonicTime(1000)),
        "answered recently");
    assertEquals(
        FairPolling.Verdict.BEST_EFFORT, fairPolling.onPoll(second, 5, new MonotonicTime(1000)));
    fairPolling.onFinished(second, FairPolling.Verdict.BEST_EFFORT, false, new MonotonicTime(1600));
    assertEquals(
        FairPolling.Verdict.OVERDUE, fairPolling.onPoll(second, 7, new MonotonicTime(17_000)));
    assertEquals(
        FairPolling.Verdict.REFUSED,
        fairPolling.onPoll(second, 8, new MonotonicTime(17_000)),
        "too many requests in flight");
  }
}
