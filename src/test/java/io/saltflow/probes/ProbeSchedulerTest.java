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

/** Whom to probe, at which rate, by whom, and what counts. */
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

  private static List<Long> responses(ProbeBatch ask, long ms) {
    return Collections.nCopies(ask.targets().size(), ms);
  }

  /** Fifty services of forty replicas are asked at the rate of one, each as often as any other. */
  @Test
  void theRateIsSharedByAllServicesAndEachReplicaComesInItsTurn() {
    for (int s = 0; s < 50; s++) {
      scheduler.setTargets("s" + s, replicas("s" + s, 40));
    }
    Map<ReplicaProbe, Integer> asked = new HashMap<>();
    for (int quarter = 0; quarter < 4 * 600; quarter++) {
      for (ProbeBatch ask : scheduler.due(List.of("b", "c"), now())) {
        ask.targets().forEach(t -> asked.merge(t, 1, Integer::sum));
        assertTrue(ask.targets().size() <= ProbeFrame.MAX_TARGETS);
        scheduler.onResponse(ask.prober(), ask.batch(), responses(ask, 3), true);
      }
      nowMs += 250;
    }
    int sum = asked.values().stream().mapToInt(Integer::intValue).sum();
    assertTrue(sum <= 6010 && sum > 5900, "600 s at ten a second: " + sum);
    assertEquals(2000, asked.size());
    int most = Collections.max(asked.values());
    assertTrue(most - Collections.min(asked.values()) <= 1, "most " + most);
  }

  @Test
  void fewReplicasAreNotAskedMoreOftenThanIsUseful() {
    scheduler.setTargets("s", replicas("s", 2));
    int asked = 0;
    for (int quarter = 0; quarter < 4 * 20; quarter++) {
      for (ProbeBatch ask : scheduler.due(List.of(), now())) {
        asked += ask.targets().size();
        scheduler.onResponse("", ask.batch(), responses(ask, 3), false);
      }
      nowMs += 250;
    }
    assertEquals(2 * 4, asked, "every 5 s for 20 s");
  }

  /** A prober behind a cut reaches nothing: others are asked before a sound version is blamed. */
  @Test
  void whatOneProberCannotReachAnotherIsAskedAbout() {
    scheduler.setTargets("s", replicas("s", 1));
    ProbeBatch first = scheduler.due(List.of("b"), now()).get(0);
    assertEquals("b", first.prober());
    assertEquals(
        List.of(),
        scheduler.onResponse("b", first.batch(), responses(first, ProbeFrame.UNREACHABLE), true));
    ProbeBatch second = scheduler.due(List.of("b"), now()).get(0);
    assertEquals("", second.prober(), "not by the same again");
    assertEquals(
        12,
        scheduler.onResponse("", second.batch(), responses(second, 12), true).get(0).latencyMs(),
        "it is well");
    nowMs += 6000;
    ProbeBatch third = scheduler.due(List.of("b"), now()).get(0);
    scheduler.onResponse(
        third.prober(), third.batch(), responses(third, ProbeFrame.UNREACHABLE), true);
    ProbeBatch fourth = scheduler.due(List.of("b"), now()).get(0);
    List<ReplicaHealth> found =
        scheduler.onResponse(
            fourth.prober(), fourth.batch(), responses(fourth, ProbeFrame.UNREACHABLE), true);
    assertEquals(ProbeFrame.UNREACHABLE, found.get(0).latencyMs(), "two could not");
  }

  @Test
  void anAnswerThatIsBadNeedsNoSecondOpinion() {
    scheduler.setTargets("s", replicas("s", 1));
    ProbeBatch ask = scheduler.due(List.of("b"), now()).get(0);
    List<ReplicaHealth> found =
        scheduler.onResponse(ask.prober(), ask.batch(), responses(ask, ProbeFrame.UNHEALTHY), true);
    assertEquals(ProbeFrame.UNHEALTHY, found.get(0).latencyMs());
  }

  /** Half of the calls are lost: what is not answered is not known, and the rest goes on. */
  @Test
  void lostCallsSayNothingAndHoldNothingUp() {
    scheduler.setTargets("s", replicas("s", 10));
    SplittableRandom random = new SplittableRandom(3);
    int told = 0;
    for (int quarter = 0; quarter < 4 * 100; quarter++) {
      for (ProbeBatch ask : scheduler.due(List.of("b"), now())) {
        if (random.nextBoolean()) {
          List<ReplicaHealth> found =
              scheduler.onResponse(ask.prober(), ask.batch(), responses(ask, 5), true);
          found.forEach(f -> assertEquals(5, f.latencyMs()));
          told += found.size();
        }
      }
      nowMs += 250;
    }
    assertTrue(told > 60 && told < 140, "of 200 probes in 100 s: " + told);
    nowMs += 60_000;
    scheduler.due(List.of(), now());
    assertTrue(scheduler.counts()[1] > 60, "counted as lost: " + scheduler.counts()[1]);
  }

  @Test
  void lateForeignAndUnwantedAnswersAreDropped() {
    scheduler.setTargets("s", replicas("s", 2));
    ProbeBatch ask = scheduler.due(List.of("b"), now()).get(0);
    assertEquals(
        List.of(), scheduler.onResponse("c", ask.batch(), responses(ask, 1), true), "another's");
    assertEquals(
        List.of(), scheduler.onResponse(ask.prober(), 99, responses(ask, 1), true), "of no batch");
    assertEquals(
        List.of(), scheduler.onResponse(ask.prober(), ask.batch(), List.of(), true), "short");
    scheduler.setTargets("s", List.of());
    assertEquals(
        List.of(),
        scheduler.onResponse(ask.prober(), ask.batch(), responses(ask, 1), true),
        "gone since");
    assertEquals(
        List.of(),
        scheduler.onResponse(ask.prober(), ask.batch(), responses(ask, 1), true),
        "told before");
  }
}
