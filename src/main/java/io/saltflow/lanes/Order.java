package io.saltflow.lanes;

import io.saltflow.protocol.JobId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Puts waiting jobs in order: guarantee, lane, what an operator put in front, what is pushed for a
 * morning, then by when they were accepted, a long job letting shorter ones pass that came a little
 * later. It depends on its arguments alone, never on the order in which they come.
 */
public final class Order {
  private Order() {}

  private record Placed(Standing job, int rank, double at) {}

  private static final Comparator<Placed> IN_LINE =
      Comparator.comparing((Placed p) -> p.job.failing())
          .thenComparing(p -> !p.job.guaranteed())
          .thenComparingInt(p -> p.rank)
          .thenComparing(p -> -p.job.front())
          .thenComparingInt(p -> p.job.pushed())
          .thenComparing(p -> !(p.job.pressed() && p.job.queuesIn().named()))
          .thenComparingDouble(p -> p.at)
          .thenComparing(p -> p.job.place())
          .thenComparing(p -> p.job.id());

  /**
   * The jobs in order.
   *
   * @param lengthWeight how much a long job lets shorter ones pass; 0: order of acceptance
   */
  public static List<JobId> of(Collection<Standing> jobs, Basis basis, double lengthWeight) {
    List<Standing> byPlace = new ArrayList<>(jobs);
    byPlace.sort(
        Comparator.comparing(Standing::place)
            .thenComparingLong(Standing::arrivedMs)
            .thenComparing(Standing::id));
    List<Placed> placed = new ArrayList<>();
    long time = Long.MIN_VALUE;
    for (Standing s : byPlace) {
      // Clocks of nodes differ: who was accepted later did not arrive earlier.
      time = Math.max(time, s.arrivedMs());
      double lengthMs = 1000 * leftS(s, basis) / Math.max(1, basis.fleetCores());
      placed.add(new Placed(s, rank(s), time + lengthWeight * lengthMs));
    }
    placed.sort(IN_LINE);
    return soonestFirst(placed, basis);
  }

  /** Work of the last urgency queues with the one before it when its time runs out. */
  private static int rank(Standing s) {
    Lane lane = s.queuesIn();
    boolean rises = s.pressed() && !lane.named() && lane.rank() == 3;
    return rises ? lane.rank() - 1 : lane.rank();
  }

  private static double leftS(Standing s, Basis basis) {
    return s.leftCoreS() * basis.correction(s.jobClass());
  }

  /** Jobs of classes that are short change places among themselves: who can end soonest first. */
  private static List<JobId> soonestFirst(List<Placed> order, Basis basis) {
    Map<String, PriorityQueue<Standing>> soonest = new HashMap<>();
    Comparator<Standing> bySoonest =
        Comparator.comparingDouble((Standing s) -> leftS(s, basis)).thenComparing(Standing::id);
    for (Placed p : order) {
      if (moves(p.job, basis)) {
        soonest.computeIfAbsent(line(p), c -> new PriorityQueue<>(bySoonest)).add(p.job);
      }
    }
    List<JobId> out = new ArrayList<>(order.size());
    for (Placed p : order) {
      out.add(moves(p.job, basis) ? soonest.get(line(p)).poll().id() : p.job.id());
    }
    return out;
  }

  private static boolean moves(Standing s, Basis basis) {
    return !s.stays()
        && !s.guaranteed()
        && s.front() == 0
        && s.pushed() == Integer.MAX_VALUE
        && !s.failing()
        && basis.soonest().contains(s.jobClass());
  }

  /** Only within one lane, whatever the class. */
  private static String line(Placed p) {
    return p.rank + " " + p.job.jobClass();
  }
}
