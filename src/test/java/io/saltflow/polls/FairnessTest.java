package io.saltflow.polls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.junit.jupiter.api.Test;

/**
 * A wall of polls on nodes that answer a part of them: how long each job goes without an answer.
 */
class FairnessTest {
  private static final int JOBS = 1200;

  /**
   * Each second a node may answer so many. Half of the jobs are asked about each second, the others
   * each 30 s, at any of the nodes.
   *
   * @return the longest that any job went without an answer, in seconds
   */
  private static long longest(int nodes, int answersASecond, boolean fair) {
    UniformRandomProvider random = new SplitMix64(5);
    Fairness[] all = new Fairness[nodes];
    for (int n = 0; n < nodes; n++) {
      all[n] = new Fairness(new Fairness.Bounds(answersASecond / 2, answersASecond, 240));
    }
    Map<Integer, Long> answered = new HashMap<>();
    long worst = 0;
    for (long s = 1; s <= 300; s++) {
      Time now = new Time(s * 1000);
      int[] underWay = new int[nodes];
      for (Fairness from : all) {
        Map<JobId, Span> unanswered = from.unanswered(now);
        for (Fairness to : all) {
          if (from != to) {
            unanswered.forEach((id, since) -> to.refusedElsewhere(id, since, now));
          }
        }
      }
      int start = random.nextInt(JOBS);
      for (int i = 0; i < JOBS; i++) {
        int job = (start + i) % JOBS;
        if (job % 2 == 0 && s % 30 != job % 30) {
          continue;
        }
        int n = random.nextInt(nodes);
        JobId id = new JobId(String.format("req-%06d", job));
        Fairness.Verdict v =
            fair
                ? all[n].asked(id, underWay[n], now)
                : underWay[n] < answersASecond
                    ? Fairness.Verdict.GIVES_WAY
                    : Fairness.Verdict.REFUSED;
        if (v == Fairness.Verdict.REFUSED) {
          continue;
        }
        underWay[n]++;
        // Of what gives way some waits in vain; what goes with the work of others does not.
        boolean ok = v == Fairness.Verdict.OVERDUE || random.nextDouble() < 0.3;
        if (fair) {
          all[n].ended(id, v, ok, now);
        }
        if (ok) {
          worst = Math.max(worst, s - answered.getOrDefault(job, 0L));
          answered.put(job, s);
        }
      }
    }
    for (int job = 0; job < JOBS; job++) {
      worst = Math.max(worst, 300 - answered.getOrDefault(job, 0L));
    }
    return worst;
  }

  /** As it was, first come first served: some job goes unanswered for longer than is allowed. */
  @Test
  void withoutItSomeJobIsForgotten() {
    assertTrue(longest(3, 40, false) > 75);
  }

  @Test
  void withItNoneIs() {
    long worst = longest(3, 40, true);
    assertTrue(worst <= 75, worst + " s");
  }

  @Test
  void whoWasRefusedGoesBeforeWhoWasJustAnswered() {
    Fairness f = new Fairness(new Fairness.Bounds(2, 4, 8));
    JobId first = new JobId("req-000001");
    JobId second = new JobId("req-000002");
    f.ended(first, f.asked(first, 0, new Time(0)), true, new Time(0));
    assertEquals(Fairness.Verdict.REFUSED, f.asked(first, 2, new Time(1000)), "just answered");
    assertEquals(Fairness.Verdict.GIVES_WAY, f.asked(second, 5, new Time(1000)));
    f.ended(second, Fairness.Verdict.GIVES_WAY, false, new Time(1600));
    assertEquals(Fairness.Verdict.OVERDUE, f.asked(second, 7, new Time(17_000)));
    assertEquals(Fairness.Verdict.REFUSED, f.asked(second, 8, new Time(17_000)), "bounded");
  }
}
