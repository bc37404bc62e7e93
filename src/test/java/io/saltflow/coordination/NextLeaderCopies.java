package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Order;
import io.saltflow.protocol.Report;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Copies of workers' reports that arrive at the next leader in its first moment, before anything
 * else does. They may be of an earlier session, attempt or life of their machine. Each is checked
 * by itself: nothing is accounted for, launched, freed or blamed by it.
 */
final class NextLeaderCopies {
  private static final int REMEMBERED_PER_MACHINE = 40;

  private final World world;
  private final Map<MachineId, List<Report>> sent = new LinkedHashMap<>();

  /** Of how many machines, of all that reported, a copy comes. */
  double share;

  /** How many copies were delivered, and how many of them from an earlier session or life. */
  int delivered;

  int ofEarlierSessions;

  NextLeaderCopies(World world) {
    this.world = world;
  }

  void sent(Report report) {
    if (share > 0) {
      List<Report> all = sent.computeIfAbsent(report.machine(), m -> new ArrayList<>());
      all.add(report);
      if (all.size() > REMEMBERED_PER_MACHINE) {
        all.remove(0);
      }
    }
  }

  /** The leader has just read what is recorded. */
  void deliver(World.Lead to) {
    for (List<Report> all : sent.values()) {
      if (world.chance(share)) {
        deliver(to, all.get(world.random.nextInt(all.size())));
      }
    }
  }

  private void deliver(World.Lead to, Report copy) {
    if (!to.authority.mayKeep(world.time()) || copy.token().compareTo(to.term) >= 0) {
      return;
    }
    Leader core = to.core;
    Map<MachineId, Boolean> before = accounted(core);
    String presences = presences(core);
    List<Order> orders = core.onReport(copy, true, world.time());
    delivered++;
    World.Worker worker = world.workers.get(copy.machine());
    ofEarlierSessions += worker != null && worker.session != copy.session() ? 1 : 0;
    assertEquals(presences, presences(core), "no presence comes or goes by a copy");
    accounted(core)
        .forEach(
            (id, is) -> assertEquals(before.getOrDefault(id, is), is, id + " is accounted for"));
    for (Machine m : core.machines()) {
      assertFalse(m.accounted && !before.containsKey(m.id()), m.id() + " is new and accounted for");
      assertFalse(m.faulty || m.deaf(), m.id() + " is blamed");
    }
    if (orders != null) {
      assertEquals(
          0, orders.stream().filter(o -> o instanceof Order.Launch).count(), "nothing is launched");
    }
  }

  private static Map<MachineId, Boolean> accounted(Leader core) {
    Map<MachineId, Boolean> out = new LinkedHashMap<>();
    for (Machine m : core.machines()) {
      out.put(m.id(), m.accounted || !m.mightHoldOldTasks);
    }
    return out;
  }

  private static String presences(Leader core) {
    StringBuilder out = new StringBuilder();
    for (Job job : core.jobs()) {
      job.present.values().forEach(p -> out.append(p.task()).append('@').append(p.machine.id));
    }
    return out.toString();
  }
}
