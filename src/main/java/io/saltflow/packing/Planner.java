package io.saltflow.packing;

import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Size;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the cheapest moves that make room for one task: which machine, which of its replicas, and
 * where each goes. Depth first with bounds: cheap replicas first, a branch is left when it costs as
 * much as the best plan so far. Each replica moves once, straight to its new place; nothing is
 * moved out of the way of a replica that moves. Within its budget of steps the plan is the cheapest
 * of that kind; beyond it, the best that was found.
 */
public final class Planner {
  /** Machines that are looked at: those from which least has to go. */
  private static final int MOST_CLEARED = 48;

  /** Places that are tried for one replica: those where it costs least, the tightest first. */
  private static final int MOST_TARGETS = 12;

  private static final int MOST_MOVES = 16;

  private final Size wish;
  private final List<Box> boxes;
  private final Fit fit;
  private final Map<MachineId, Size> room = new HashMap<>();
  private int steps;
  private Plan best;

  /** One machine's search. */
  private Box clearing;

  private List<Piece> pieces;
  private final List<Move> moves = new ArrayList<>();

  private Planner(Size wish, List<Box> boxes, Fit fit, int budget) {
    this.wish = wish;
    this.boxes = boxes;
    this.fit = fit;
    this.steps = budget;
    boxes.forEach(b -> room.put(b.id(), b.free()));
  }

  /**
   * The plan, or null: there is none, or none was found within so many steps.
   *
   * @param budget steps of the search, each of which looks at one replica and its few best places
   */
  public static Plan plan(Size wish, List<Box> boxes, Fit fit, int budget) {
    Planner p = new Planner(wish, boxes, fit, budget);
    p.search();
    return p.best;
  }

  private void search() {
    List<Box> open = new ArrayList<>();
    Size sum = Size.ZERO;
    for (Box b : boxes) {
      sum = sum.plus(positive(b.free()));
      Size all = b.free();
      for (Piece p : b.pieces()) {
        all = all.plus(p.size());
      }
      if (b.wanted() && wish.fitsIn(all)) {
        open.add(b);
      }
    }
    if (!wish.fitsIn(sum)) {
      return;
    }
    open.sort(Comparator.comparingDouble(this::leastCost).thenComparing(b -> b.id().text()));
    for (Box b : open.subList(0, Math.min(MOST_CLEARED, open.size()))) {
      clearing = b;
      pieces = new ArrayList<>(b.pieces());
      pieces.sort(Comparator.comparingDouble(Piece::cost).thenComparing(p -> p.task().toString()));
      if (b.free().cores() >= 0) {
        clear(0, b.free(), 0);
      }
    }
  }

  private static Size positive(Size s) {
    return new Size(Math.max(0, s.cores()), Math.max(0, s.gpus()), Math.max(0, s.memoryGb()));
  }

  /** No plan for the machine costs less: by the cheapest pieces, as many as must go at least. */
  private double leastCost(Box b) {
    if (b.pieces().isEmpty()) {
      return 0;
    }
    Size largest = Size.ZERO;
    double cheapest = Double.MAX_VALUE;
    for (Piece p : b.pieces()) {
      Size s = p.size();
      largest =
          new Size(
              Math.max(largest.cores(), s.cores()),
              Math.max(largest.gpus(), s.gpus()),
              Math.max(largest.memoryGb(), s.memoryGb()));
      cheapest = Math.min(cheapest, p.cost());
    }
    Size missing = positive(wish.minus(b.free()));
    double count =
        Math.max(
            parts(missing.cores(), largest.cores()),
            Math.max(
                parts(missing.gpus(), largest.gpus()),
                parts(missing.memoryGb(), largest.memoryGb())));
    return count * cheapest;
  }

  private static double parts(double of, double each) {
    return of <= 1e-6 ? 0 : each <= 0 ? 1e6 : Math.ceil(of / each - 1e-6);
  }

  /** Pieces from the given one on: which of them go as well. */
  private void clear(int from, Size free, double cost) {
    if (best != null && cost >= best.cost()) {
      return;
    }
    if (wish.fitsIn(free)) {
      best = new Plan(clearing.id(), List.copyOf(moves), cost);
      return;
    }
    if (moves.size() >= MOST_MOVES) {
      return;
    }
    for (int i = from; i < pieces.size() && steps > 0; i++) {
      Piece p = pieces.get(i);
      if (alikeBefore(i, from) || !helps(p.size(), free)) {
        continue;
      }
      steps--;
      for (Target t : targets(p)) {
        Size before = room.get(t.id);
        room.put(t.id, before.minus(p.size()));
        moves.add(new Move(p.task(), clearing.id(), t.id));
        clear(i + 1, free.plus(p.size()), cost + p.cost() + t.fetchS);
        moves.remove(moves.size() - 1);
        room.put(t.id, before);
        if (steps <= 0) {
          return;
        }
      }
    }
  }

  /** Of several that are alike, the first that was left out stands for the others. */
  private boolean alikeBefore(int i, int from) {
    Piece p = pieces.get(i);
    Piece q = i > from ? pieces.get(i - 1) : null;
    return q != null
        && q.size().equals(p.size())
        && q.cost() == p.cost()
        && q.task().job().equals(p.task().job());
  }

  private boolean helps(Size size, Size free) {
    Size missing = wish.minus(free);
    return (missing.cores() > 1e-6 && size.cores() > 0)
        || (missing.gpus() > 1e-6 && size.gpus() > 0)
        || (missing.memoryGb() > 1e-6 && size.memoryGb() > 0);
  }

  private record Target(MachineId id, Size room, double fetchS) {}

  private List<Target> targets(Piece p) {
    List<Target> out = new ArrayList<>();
    for (Box b : boxes) {
      Size free = room.get(b.id());
      if (b != clearing && p.size().fitsIn(free) && fit.may(p, b.id())) {
        out.add(new Target(b.id(), free, fit.fetchS(p, b.id())));
      }
    }
    out.sort(
        Comparator.comparingDouble(Target::fetchS)
            .thenComparingDouble(t -> t.room.gpus())
            .thenComparingDouble(t -> t.room.cores())
            .thenComparing(t -> t.id.text()));
    // Places that are alike are one.
    List<Target> some = new ArrayList<>();
    for (Target t : out) {
      boolean alike = some.stream().anyMatch(s -> s.room.equals(t.room) && s.fetchS == t.fetchS);
      if (!alike && some.size() < MOST_TARGETS) {
        some.add(t);
      }
    }
    return some;
  }
}
