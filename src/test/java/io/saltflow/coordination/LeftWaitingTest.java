package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.saltflow.protocol.Span;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What could keep a job waiting although a machine that fits has room: each lets go in time. */
class LeftWaitingTest {
  private static final Policy POLICY = World.policy(Span.millis(World.LEASE));

  /**
   * A dear machine is let go, as cheap ones can do the other work in time; meanwhile it takes what
   * may run on no cheap one.
   */
  @Test
  void aRetiringMachineTakesWhatOnlyItMayTake() {
    Floor f = new Floor(POLICY, List.of());
    f.checkIn("vm-000001s");
    f.checkIn("vm-000002");
    f.work("vm-000001s", 2);
    f.work("vm-000002", 2);
    f.arrive(Jobs.job(1).spot(false).build());
    f.arrive(Jobs.job(2).cores(9).build());
    f.pass(2);
    f.checkIn("vm-000001s");
    f.checkIn("vm-000002");
    assertEquals(List.of(Floor.task(1, 0)), List.copyOf(f.on.get("vm-000002").keySet()));
    assertEquals(List.of(Floor.task(2, 0)), List.copyOf(f.on.get("vm-000001s").keySet()));
  }

  /**
   * A wide job's first task waits for its team's limit. Room within the limit is kept for it from
   * when it should be able to begin: what fits beside it then starts at once.
   */
  @Test
  void aNarrowJobStartsBesideAWideOneThatItDoesNotDelay() {
    Floor f = new Floor(POLICY, List.of());
    for (int i = 1; i <= 9; i++) {
      f.checkIn("vm-00000" + i + "s");
    }
    f.pass(1);
    everyMachine(f, 2);
    // 42 of the team's 48 cores; the wide one needs 8, the narrow one 1.
    f.arrive(Jobs.job(1).team("red").tasks(6).cores(7).estimateS(900).build());
    everyMachine(f, 4);
    f.arrive(Jobs.job(2).team("red").cores(8).estimateS(900).build());
    everyMachine(f, 120);
    assertEquals(0, running(f, 2), "its team's limit has no room for it");
    f.arrive(Jobs.job(3).team("red").cores(1).estimateS(900).build());
    everyMachine(f, 10);
    assertEquals(1, running(f, 3));
  }

  /** One that would delay the wide one leaves the limit to it. */
  @Test
  void whatWouldDelayTheWideOneWaits() {
    Floor f = new Floor(POLICY, List.of());
    for (int i = 1; i <= 9; i++) {
      f.checkIn("vm-00000" + i + "s");
    }
    f.pass(1);
    everyMachine(f, 2);
    f.arrive(Jobs.job(1).team("red").tasks(6).cores(7).estimateS(900).build());
    everyMachine(f, 4);
    f.arrive(Jobs.job(2).team("red").cores(8).estimateS(900).build());
    everyMachine(f, 120);
    f.arrive(Jobs.job(3).team("red").cores(6).estimateS(900).build());
    f.arrive(Jobs.job(4).team("red").cores(6).estimateS(60).build());
    everyMachine(f, 10);
    assertEquals(0, running(f, 3), "with it the wide one does not fit when a task has ended");
    assertEquals(1, running(f, 4), "it has ended by then");
  }

  private static void everyMachine(Floor f, int seconds) {
    for (int i = 0; i < seconds; i += 2) {
      f.pass(2);
      List.copyOf(f.on.keySet()).forEach(f::checkIn);
    }
  }

  private static long running(Floor f, int job) {
    return f.on.values().stream().filter(tasks -> tasks.containsKey(Floor.task(job, 0))).count();
  }
}
