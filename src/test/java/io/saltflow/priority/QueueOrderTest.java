package io.saltflow.priority;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.JobId;
import io.saltflow.model.Priority;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests of lane rules, and of the queue order as a function of recorded data. */
class QueueOrderTest {
  private static LaneRule rule(String name, Set<String> classes, Set<Priority> priorities) {
    return new LaneRule(name, classes, Set.of(), priorities);
  }

  @Test
  void invalidLaneRulesAreReported() {
    LaneRule urgentRule = rule("look-ups", Set.of("warrant"), Set.of(Priority.HIGH));
    LaneRule catchAll = rule("bulk", Set.of(), Set.of());
    assertEquals(List.of(), new LaneRules(List.of(urgentRule, catchAll)).validationErrors());
    assertEquals(
        List.of("lanes[1].name: 'look-ups' is there twice"),
        new LaneRules(List.of(urgentRule, rule("look-ups", Set.of("x"), Set.of()), catchAll))
            .validationErrors());
    assertEquals(
        List.of("lanes[1]: is never reached, 'w' takes all"),
        new LaneRules(List.of(rule("w", Set.of("warrant", "x"), Set.of()), urgentRule, catchAll))
            .validationErrors());
    assertTrue(
        new LaneRules(List.of(catchAll, urgentRule)).validationErrors().size() >= 2,
        "lane after one that matches all jobs");
    assertEquals(
        List.of("lane 'look-ups': no objective of this site names the class warrant"),
        new LaneRules(List.of(urgentRule, catchAll)).warnings(Set.of("purge"), Set.of()));
  }

  private static OrderKey key(
      int number, Lane lane, long revision, long arrivedMs, double remainingCoreS) {
    JobId id = new JobId(String.format("req-%06d", number));
    AdmissionPosition position = new AdmissionPosition(revision, 0);
    return new OrderKey(
        id,
        "c" + number % 2,
        lane,
        position,
        null,
        arrivedMs,
        remainingCoreS,
        Integer.MAX_VALUE,
        false,
        false,
        false,
        false);
  }

  private static List<Integer> order(
      List<OrderKey> jobs, QueueOrderInputs inputs, double lengthWeight) {
    List<Integer> numbers = new ArrayList<>();
    QueueOrder.of(jobs, inputs, lengthWeight)
        .forEach(id -> numbers.add(Integer.parseInt(id.text().substring(4))));
    return numbers;
  }

  /** Guards against an order that depends on the sequence in which jobs are read. */
  @Test
  void orderDependsOnlyOnRecordedInputs() {
    Lane lookUps = new Lane(0, "look-ups");
    Lane bulk = new Lane(1, "bulk");
    List<OrderKey> jobs = new ArrayList<>();
    jobs.add(key(1, bulk, 10, 1000, 10));
    jobs.add(key(2, bulk, 11, 400, 10));
    jobs.add(key(3, lookUps, 12, 2000, 9000));
    jobs.add(key(4, bulk, 13, 2000, 90_000));
    jobs.add(key(5, bulk, 14, 3000, 10));
    OrderKey movedToFront = key(6, bulk, 15, 4000, 10);
    jobs.add(
        new OrderKey(
            movedToFront.id(),
            "c0",
            bulk,
            movedToFront.position(),
            new OperatorOverride(null, 40),
            4000,
            10,
            Integer.MAX_VALUE,
            false,
            false,
            false,
            false));
    QueueOrderInputs inputs = new QueueOrderInputs(100, Map.of("c0", 2.0), Set.of());
    Random random = new Random(3);
    for (int i = 0; i < 200; i++) {
      Collections.shuffle(jobs, random);
      // Job 2 follows job 1 by admission, despite its earlier clock; job 5 passes the long job 4.
      assertEquals(List.of(3, 6, 1, 2, 5, 4), order(jobs, inputs, 4));
      assertEquals(List.of(3, 6, 1, 2, 4, 5), order(jobs, inputs, 0), "order of admission");
    }
    QueueOrderInputs shortestFirst = new QueueOrderInputs(100, Map.of(), Set.of("c1"));
    assertEquals(
        List.of(3, 6, 1, 2, 5, 4),
        order(jobs, shortestFirst, 4),
        "jobs of one class must not change places across lanes");
  }

  /** Guards against writes for changes of less than three quarters of a step. */
  @Test
  void inputsAreQuantized() {
    QueueOrderInputs recorded = QueueOrderInputs.NONE.updatedWith(1000, Map.of("c", 1.5), Set.of());
    assertEquals(recorded, recorded.updatedWith(1100, Map.of("c", 1.4), Set.of()));
    assertEquals(
        recorded,
        recorded.updatedWith(1000, Map.of(), Set.of()),
        "correction of an unobserved class must stay");
    QueueOrderInputs grown = recorded.updatedWith(2000, Map.of("d", 0.5), Set.of("c"));
    assertTrue(Math.abs(grown.fleetCores() / 2000 - 1) < 0.1, "" + grown);
    assertEquals(Set.of("c", "d"), grown.estimateCorrections().keySet());
  }
}
