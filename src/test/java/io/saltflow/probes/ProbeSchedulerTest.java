package io.saltflow.probes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.ProbeFrame;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the rate and order of probes, the choice of probers and the evaluation of responses. */
class ProbeSchedulerTest {
  private static final ProbeScheduler.Limits LIMITS =
      new ProbeScheduler.Limits(10, TimeSpan.seconds(5), TimeSpan.seconds(2));

  private long nowMs = 50_000;
  private final ProbeScheduler scheduler = new ProbeScheduler(LIMITS, now());

  private MonotonicTime now() {
    return new MonotonicTime(nowMs);
  }

  private static List<ReplicaProbe> replicas(String service, int count) {
    List<ReplicaProbe> out = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      out.add(new ReplicaProbe(service, new ProbeFrame.ProbeTarget("10.0.0.1", 9000 + i, "/")));
    }
    return out;
  }

  private static List<Long> responses(ProbeBatch batch, long ms) {
    return Collections.nCopies(batch.probes().size(), ms);
  }

  /** Guards against many services exceeding the rate, or starving some replicas. */
  @Test
  void rateIsSharedFairlyByServicesAndReplicas() {
    for (int s = 0; s < 50; s++) {
      scheduler.setTargets("s" + s, replicas("s" + s, 40));
    }
    Map<ReplicaProbe, Integer> asked = new HashMap<>();
    for (int quarter = 0; quarter < 4 * 600; quarter++) {
      for (ProbeBatch batch : scheduler.due(List.of("b", "c"), now())) {
        batch.probes().forEach(t -> asked.merge(t, 1, Integer::sum));
        assertTrue(batch.probes().size() <= ProbeFrame.MAX_TARGETS);
        scheduler.onResponse(batch.prober(), batch.batch(), responses(batch, 3), true);
      }
      nowMs += 250;
    }
    int sum = asked.values().stream().mapToInt(Integer::intValue).sum();
    assertTrue(sum <= 6010 && sum > 5900, "probes in 600 s at 10 per second: " + sum);
    assertEquals(2000, asked.size());
    int most = Collections.max(asked.values());
    assertTrue(most - Collections.min(asked.values()) <= 1, "most probes of a replica: " + most);
  }

  @Test
  void replicaIsNotProbedMoreOftenThanInterval() {
    scheduler.setTargets("s", replicas("s", 2));
    int asked = 0;
    for (int quarter = 0; quarter < 4 * 20; quarter++) {
      for (ProbeBatch batch : scheduler.due(List.of(), now())) {
        asked += batch.probes().size();
        scheduler.onResponse("", batch.batch(), responses(batch, 3), false);
      }
      nowMs += 250;
    }
    assertEquals(2 * 4, asked, "every 5 s for 20 s");
  }

  /** Guards against a partitioned prober that makes healthy replicas count as failing. */
  @Test
  void unreachableReplicaIsProbedByAnotherProber() {
    scheduler.setTargets("s", replicas("s", 1));
    ProbeBatch first = scheduler.due(List.of("b"), now()).get(0);
    assertEquals("b", first.prober());
    assertEquals(
        List.of(),
        scheduler.onResponse("b", first.batch(), responses(first, ProbeFrame.UNREACHABLE), true));
    ProbeBatch second = scheduler.due(List.of("b"), now()).get(0);
    assertEquals("", second.prober(), "the retry uses another prober");
    assertEquals(
        12,
        scheduler.onResponse("", second.batch(), responses(second, 12), true).get(0).latencyMs(),
        "the retry succeeded");
    nowMs += 6000;
    ProbeBatch third = scheduler.due(List.of("b"), now()).get(0);
    scheduler.onResponse(
        third.prober(), third.batch(), responses(third, ProbeFrame.UNREACHABLE), true);
    ProbeBatch fourth = scheduler.due(List.of("b"), now()).get(0);
    List<ReplicaHealth> found =
        scheduler.onResponse(
            fourth.prober(), fourth.batch(), responses(fourth, ProbeFrame.UNREACHABLE), true);
    assertEquals(
        ProbeFrame.UNREACHABLE, found.get(0).latencyMs(), "two probers could not reach it");
  }

  @Test
  void unhealthyResponseIsNotRetried() {
    scheduler.setTargets("s", replicas("s", 1));
    ProbeBatch batch = scheduler.due(List.of("b"), now()).get(0);
    List<ReplicaHealth> found =
        scheduler.onResponse(
            batch.prober(), batch.batch(), responses(batch, ProbeFrame.UNHEALTHY), true);
    assertEquals(ProbeFrame.UNHEALTHY, found.get(0).latencyMs());
  }

  /** Guards against lost requests that count as failures or block further probes. */
  @Test
  void lostRequestsAreIgnoredAndDoNotBlock() {
    scheduler.setTargets("s", replicas("s", 10));
    SplittableRandom random = new SplittableRandom(3);
    int results = 0;
    for (int quarter = 0; quarter < 4 * 100; quarter++) {
      for (ProbeBatch batch : scheduler.due(List.of("b"), now())) {
        if (random.nextBoolean()) {
          List<ReplicaHealth> found =
              scheduler.onResponse(batch.prober(), batch.batch(), responses(batch, 5), true);
          found.forEach(f -> assertEquals(5, f.latencyMs()));
          results += found.size();
        }
      }
      nowMs += 250;
    }
    assertTrue(results > 60 && results < 140, "results of 200 probes in 100 s: " + results);
    nowMs += 60_000;
    scheduler.due(List.of(), now());
    assertTrue(scheduler.counts()[1] > 60, "lost probes: " + scheduler.counts()[1]);
  }

  @Test
  void invalidOrLateResponsesAreDropped() {
    scheduler.setTargets("s", replicas("s", 2));
    ProbeBatch batch = scheduler.due(List.of("b"), now()).get(0);
    assertEquals(
        List.of(),
        scheduler.onResponse("c", batch.batch(), responses(batch, 1), true),
        "from another prober");
    assertEquals(
        List.of(),
        scheduler.onResponse(batch.prober(), 99, responses(batch, 1), true),
        "unknown batch");
    assertEquals(
        List.of(),
        scheduler.onResponse(batch.prober(), batch.batch(), List.of(), true),
        "too few results");
    scheduler.setTargets("s", List.of());
    assertEquals(
        List.of(),
        scheduler.onResponse(batch.prober(), batch.batch(), responses(batch, 1), true),
        "no longer a target");
    assertEquals(
        List.of(),
        scheduler.onResponse(batch.prober(), batch.batch(), responses(batch, 1), true),
        "duplicate response");
  }
}
