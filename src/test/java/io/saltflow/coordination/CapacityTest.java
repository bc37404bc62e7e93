package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Order;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.TaskId;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a leader does when it is as large as it can be. */
class CapacityTest {
  private static final Policy POLICY =
      Policies.of(Span.seconds(26), Span.seconds(15), 1800, new Policy.Team("blue", 0, 0, 0, 0));

  private long now = 1_000;

  private void looks(Capacity c, int times, double busy, double heap, int machines) {
    for (int i = 0; i < times; i++) {
      now += 1000;
      c.look(new Capacity.Load(busy, heap, 0), machines, new Time(now));
    }
  }

  /** A rush of a takeover is no reason, a minute of work without pause is; and it passes. */
  @Test
  void noMoreMachinesThanCanBeServed() {
    Capacity c = new Capacity();
    looks(c, 15, 1, 0.2, 4000);
    assertFalse(c.full(), "a rush");
    looks(c, 30, 1, 0.2, 4000);
    assertEquals(4000, c.most());
    looks(c, 5, 1, 0.2, 4200);
    assertEquals(4000, c.most(), "those that were on their way do not raise it");
    looks(c, 30, 0.6, 0.2, 3900);
    assertFalse(c.full());
    looks(c, 60, 0.3, 0.95, 5000);
    assertEquals(5000, c.most());
    assertEquals("95% of its memory is held", c.what());
  }

  /** A process that has just begun is busy before it has any machines at all. */
  @Test
  void fewMachinesAreNeverTooMany() {
    Capacity c = new Capacity();
    looks(c, 60, 1, 0.2, 0);
    assertTrue(c.most() >= 100);
  }

  @Test
  void nothingIsRentedBeyondIt() {
    Floor f = new Floor(POLICY, List.of());
    f.arrive(Jobs.job(1).cores(5).tasks(400).priority(Priority.HIGH).build());
    for (int i = 0; i < 60; i++) {
      f.pass(1);
      f.leader.load(1, 0.1, 0, f.time());
    }
    int rented = 0;
    for (int i = 0; i < 10; i++) {
      f.pass(1);
      for (Rental r : f.leader.toRent(f.time())) {
        List<MachineId> hosts = new ArrayList<>();
        for (int n = 0; n < r.count(); n++) {
          hosts.add(new MachineId("vm-" + rented++));
        }
        f.leader.hired(r, hosts, f.time());
      }
    }
    assertEquals(100, rented, "200 would be wanted");
  }

  /**
   * Workers that were turned away for want of sockets had no chance to be heard: they were returned
   * with all that ran on them, and others rented, which were not heard either. But none is waited
   * for when its lease is over.
   */
  @Test
  void machinesThatCouldNotBeHeardAreNotSilent() {
    Floor f = new Floor(POLICY, List.of());
    f.checkIn("vm-1");
    f.checkIn("vm-2");
    f.checkIn("vm-3");
    for (int i = 0; i < 20; i++) {
      f.pass(1);
      f.checkIn("vm-2");
      f.checkIn("vm-3");
      f.leader.load(0.5, 0.1, i < 15 ? 1 : 0, f.time());
      assertEquals(List.of(), f.leader.toDelete(f.time()), "after " + (i + 1) + " s");
    }
    int later = 0;
    for (boolean returned = false; !returned; later++) {
      f.pass(1);
      f.checkIn("vm-2");
      f.checkIn("vm-3");
      f.leader.load(0.5, 0.1, 1, f.time());
      returned = f.leader.toDelete(f.time()).contains(new MachineId("vm-1"));
    }
    assertEquals(17, later, "its lease is over 26 s after its report, and silence is 10 s");
  }

  /**
   * What is launched makes its worker report more often. Before all machines of a former leader are
   * heard, a leader that can't keep up starts urgent work and leaves the rest until then.
   */
  @Test
  void accountingGoesBeforeWorkThatIsNotUrgent() {
    Floor f = new Floor(POLICY, List.of(Floor.job(Jobs.job(1).build(), true)), "vm-1", "vm-2");
    f.checkIn("vm-1");
    f.arrive(Jobs.job(2).cores(2).build());
    f.arrive(Jobs.job(3).cores(2).priority(Priority.HIGH).build());
    for (int i = 0; i < 3; i++) {
      f.pass(1);
      f.leader.load(1, 0.1, 0, f.time());
    }
    assertEquals(List.of(Floor.task(3, 0)), launched(f.checkIn("vm-1")));
    f.checkIn("vm-2");
    List<TaskId> rest = launched(f.checkIn("vm-2"));
    f.pass(1);
    rest.addAll(launched(f.checkIn("vm-1")));
    assertEquals(
        List.of(Floor.task(1, 0), Floor.task(2, 0)), rest.stream().sorted(BY_NAME).toList());
  }

  private static final Comparator<TaskId> BY_NAME = Comparator.comparing(TaskId::toString);

  private static List<TaskId> launched(List<Order> orders) {
    List<TaskId> out = new ArrayList<>();
    for (Order o : orders) {
      if (o instanceof Order.Launch) {
        out.add(o.task());
      }
    }
    return out;
  }
}
