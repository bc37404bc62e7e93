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
}
