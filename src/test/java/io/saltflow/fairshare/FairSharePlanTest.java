package io.saltflow.fairshare;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.JobId;
import io.saltflow.model.Priority;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.junit.jupiter.api.Test;

/** Tests that minimum shares are max-min fair and that no job starves. */
class FairSharePlanTest {
  private static final FairShareRules RULES = new FairShareRules(0.5, TimeSpan.seconds(120), 0.25);

  private static ShareRequest request(
      int id, String jobClass, int pending, int assigned, double remainingS, int waitS) {
    return new ShareRequest(
        new JobId(String.format("req-%06d", id)),
        ShareGroup.ofClass(jobClass),
        ShareGroup.ofTeam("one"),
        Priority.NORMAL,
        0.01,
        pending,
        assigned,
        1,
        remainingS,
        -waitS * 1000L,
        TimeSpan.seconds(waitS));
  }

  /** Guards against small demands not served in full, or an uneven division of the rest. */
  @Test
  void fairSharesAreMaxMinFair() {
    FairSharePlan plan =
        FairSharePlan.of(
            List.of(
                request(1, "small", 10, 0, 1, 200),
                request(2, "large", 500, 0, 9, 10),
                request(3, "huge", 5000, 80, 50, 300)),
            RULES);
    ShareStatus small = plan.statuses().get(ShareGroup.ofClass("small"));
    ShareStatus large = plan.statuses().get(ShareGroup.ofClass("large"));
    ShareStatus huge = plan.statuses().get(ShareGroup.ofClass("huge"));
    assertEquals(0.10, small.fairShare(), 1e-9);
    assertEquals(0.05, small.minimumShare(), 1e-9);
    assertEquals(0.45, large.fairShare(), 1e-9);
    assertEquals(0.45, huge.fairShare(), 1e-9);
    assertTrue(plan.isOwedMinimumShare(ShareGroup.ofClass("small"), 0.04));
    assertFalse(
        plan.isOwedMinimumShare(ShareGroup.ofClass("small"), 0.05),
        "group holds its minimum share");
    assertFalse(
        plan.isOwedMinimumShare(ShareGroup.ofClass("large"), 0),
        "waiting time is below the threshold");
    assertEquals(
        ShareGroup.ofClass("small"),
        plan.grants().get(0).group(),
        "group with the smallest part of its minimum share comes first");
  }

  /** Guards against the oldest job not getting its part, or the rest not going to the shortest. */
  @Test
  void oldestJobIsGrantedBeforeShortest() {
    FairSharePlan plan =
        FairSharePlan.of(
            List.of(
                request(1, "c", 60, 2, 40, 500),
                request(2, "c", 60, 0, 20, 60),
                request(3, "c", 60, 0, 30, 90)),
            RULES);
    List<String> grants = new ArrayList<>();
    for (ShareGrant grant : plan.grants()) {
      if (grant.group().equals(ShareGroup.ofClass("c"))) {
        grants.add(grant.job() + " " + grant.maxTasks());
      }
    }
    // The minimum share is 50 tasks; a quarter is 13, of which the oldest job holds two.
    assertEquals(List.of("req-000001 11", "req-000002 60"), grants);
  }

  /**
   * Guards against starvation: on a cluster of 100 tasks that each last one step, every job starts
   * within the bound while new jobs keep arriving.
   */
  @Test
  void everyJobStartsWithinBound() {
    for (long seed = 1; seed <= 40; seed++) {
      assertTrue(worstWaitSteps(seed, RULES) <= maxWaitSteps(), "seed " + seed);
    }
    boolean starved = false;
    for (long seed = 1; seed <= 40; seed++) {
      starved |=
          worstWaitSteps(seed, new FairShareRules(0.5, TimeSpan.seconds(120), 0)) > maxWaitSteps();
    }
    assertTrue(starved, "some job must starve without a share for the oldest job");
  }

  /**
   * Returns the bound in steps of ten seconds: 12 until the waiting threshold, then 10 jobs of up
   * to 60 tasks, of which at least 6 per step (a quarter of half of an even share of two) are
   * started.
   */
  private static int maxWaitSteps() {
    return 12 + 10 * 60 / 6;
  }

  /** Returns the step at which the last of the first ten jobs starts, or 200 if it never does. */
  private static int worstWaitSteps(long seed, FairShareRules rules) {
    UniformRandomProvider random = new SplitMix64(seed);
    Map<Integer, Integer> pending = new LinkedHashMap<>();
    Map<Integer, Integer> arrivalSteps = new HashMap<>();
    Set<Integer> notStarted = new HashSet<>();
    for (int id = 0; id < 10; id++) {
      pending.put(id, 1 + random.nextInt(60));
      arrivalSteps.put(id, 0);
      notStarted.add(id);
    }
    for (int step = 0; step < 200; step++) {
      // Short jobs of the same class keep arriving, and another class demands the whole cluster.
      for (int i = 0; i < 6; i++) {
        int id = 10 + 6 * step + i;
        pending.put(id, 1 + random.nextInt(10));
        arrivalSteps.put(id, step);
      }
      List<ShareRequest> requests = new ArrayList<>();
      for (Map.Entry<Integer, Integer> entry : pending.entrySet()) {
        int waitS = 10 * (step - arrivalSteps.get(entry.getKey()));
        requests.add(request(entry.getKey(), "c", entry.getValue(), 0, entry.getValue(), waitS));
      }
      requests.add(request(999_999, "other", 1000, 0, 1000, 1000));
      FairSharePlan plan = FairSharePlan.of(requests, rules);
      double heldShare = 0;
      for (ShareGrant grant : plan.grants()) {
        if (!grant.group().equals(ShareGroup.ofClass("c"))) {
          continue;
        }
        int id = Integer.parseInt(grant.job().text().substring(4));
        for (int started = 0;
            started < grant.maxTasks() && plan.isOwedMinimumShare(grant.group(), heldShare);
            started++) {
          heldShare += 0.01;
          notStarted.remove(id);
          pending.computeIfPresent(id, (i, left) -> left > 1 ? left - 1 : null);
        }
      }
      if (notStarted.isEmpty()) {
        return step;
      }
    }
    return 200;
  }
}
