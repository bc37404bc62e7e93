package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Jobs and queues' messages share their team's limit, in one order. */
class SharedLimitTest {
  private static final Size TWO = new Size(2, 0, 0);

  private final Floor floor =
      new Floor(
          Policies.of(
              Span.seconds(26),
              Span.seconds(15),
              1800,
              new Policy.Team("red", 0, 8, 0, 0),
              new Policy.Team("blue", 0, 0, 0, 0)),
          List.of());

  private static Leader.Demand demand(Priority p, int held, int wanted, long arrived) {
    return new Leader.Demand("red", p, new Size(held, 0, 0), new Size(wanted, 0, 0), arrived);
  }

  private boolean mayDeliver(Priority p, long arrived) {
    return floor.leader.mayDeliver("red", TWO, p, arrived);
  }

  private int launched() {
    floor.checkIn("vm-1");
    floor.pass(1);
    floor.checkIn("vm-1");
    return floor.on.get("vm-1").size();
  }

  @Test
  void whatConsumersHoldIsNotGivenToJobs() {
    floor.leader.demands(List.of(demand(Priority.NORMAL, 6, 0, Long.MAX_VALUE)));
    floor.arrive(Jobs.job(1).team("red").cores(1).tasks(5).build());
    assertEquals(2, launched(), "of 8 cores messages hold 6");
    floor.leader.demands(List.of());
    assertEquals(5, launched());
  }

  @Test
  void messagesThatComeFirstKeepTheirRoom() {
    long before = floor.now - 1000;
    floor.leader.demands(List.of(demand(Priority.NORMAL, 0, 6, before)));
    floor.arrive(Jobs.job(1).team("red").cores(1).tasks(8).build());
    assertEquals(2, launched(), "they arrived before the job");
    floor.leader.demands(List.of(demand(Priority.LOW, 0, 6, before)));
    assertEquals(8, launched(), "lower ones wait");
  }

  @Test
  void jobsThatComeFirstKeepTheirs() {
    floor.arrive(Jobs.job(1).team("red").cores(1).tasks(7).build());
    assertFalse(mayDeliver(Priority.NORMAL, floor.now + 1), "seven cores of eight are waited for");
    assertTrue(mayDeliver(Priority.NORMAL, floor.now - 1));
    assertTrue(mayDeliver(Priority.HIGH, floor.now + 1));
    assertEquals(7, launched());
    assertFalse(mayDeliver(Priority.HIGH, 0), "what runs is not taken away");
    assertTrue(floor.leader.mayDeliver("blue", TWO, Priority.LOW, 0), "no limit, no wait");
  }
}
