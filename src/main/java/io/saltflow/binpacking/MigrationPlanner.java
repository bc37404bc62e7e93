package io.saltflow.binpacking;

import io.saltflow.model.MachineId;
import io.saltflow.model.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the cheapest replica moves that make room for one task: the machine, the replicas to move
 * and their destinations. The search is a depth-first branch and bound over replicas in order of
 * cost. Each replica moves once, directly to its destination, and no other replica is moved to make
 * room there. The plan is the cheapest among the candidates searched, or the best found when the
 * step budget is used up.
 */
public final class MigrationPlanner {
  /** Maximum number of machines searched, in order of the lower bound of their cost. */
  private static final int MAX_TARGET_MACHINES = 48;

  /** Maximum number of destinations per replica: the cheapest, then those with the least room. */
  private static final int MAX_DESTINATIONS = 12;

  private static final int MAX_MOVES = 16;

  private final Resources requested;
  private final List<Bin> bins;
  private final PlacementConstraints constraints;
  private final Map<MachineId, Resources> freeByMachine = new HashMap<>();
  private int stepsLeft;
  private MigrationPlan best;

  /** Machine that is being searched. */
  private Bin target;

  private List<MovableReplica> movable;
  private final List<ReplicaMove> moves = new ArrayList<>();

  private MigrationPlanner(
      Resources requested, List<Bin> bins, PlacementConstraints constraints, int budget) {
    this.requested = requested;
    this.bins = bins;
    this.constraints = constraints;
    this.stepsLeft = budget;
    bins.forEach(bin -> freeByMachine.put(bin.id(), bin.free()));
  }

  /**
   * Returns a plan, or {@code null} if none was found within the budget.
   *
   * @param budget the maximum number of search steps; each tries one replica with its best
   *     destinations
   */
  public static MigrationPlan plan(
      Resources requested, List<Bin> bins, PlacementConstraints constraints, int budget) {
    MigrationPlanner planner = new MigrationPlanner(requested, bins, constraints, budget);
    planner.search();
    return planner.best;
  }

  private void search() {
    List<Bin> eligible = new ArrayList<>();
    Resources totalFree = Resources.ZERO;
    for (Bin bin : bins) {
      totalFree = totalFree.plus(clampToZero(bin.free()));
      Resources withMovable = bin.free();
      for (MovableReplica replica : bin.movable()) {
        withMovable = withMovable.plus(replica.size());
      }
      if (bin.eligible() && requested.fitsIn(withMovable)) {
        eligible.add(bin);
      }
    }
    if (!requested.fitsIn(totalFree)) {
      return;
    }
    eligible.sort(
        Comparator.comparingDouble(this::costLowerBound).thenComparing(bin -> bin.id().text()));
    for (Bin bin : eligible.subList(0, Math.min(MAX_TARGET_MACHINES, eligible.size()))) {
      target = bin;
      movable = new ArrayList<>(bin.movable());
      movable.sort(
          Comparator.comparingDouble(MovableReplica::costS)
              .thenComparing(replica -> replica.task().toString()));
      if (bin.free().cores() >= 0) {
        searchMoves(0, bin.free(), 0);
      }
    }
  }

  private static Resources clampToZero(Resources size) {
    return new Resources(
        Math.max(0, size.cores()), Math.max(0, size.gpus()), Math.max(0, size.memoryGb()));
  }

  /**
   * Returns a lower bound of the cost to make room on the machine: the minimum number of replicas
   * to move, times the lowest cost of a replica.
   */
  private double costLowerBound(Bin bin) {
    if (bin.movable().isEmpty()) {
      return 0;
    }
    Resources largest = Resources.ZERO;
    double cheapest = Double.MAX_VALUE;
    for (MovableReplica replica : bin.movable()) {
      Resources size = replica.size();
      largest =
          new Resources(
              Math.max(largest.cores(), size.cores()),
              Math.max(largest.gpus(), size.gpus()),
              Math.max(largest.memoryGb(), size.memoryGb()));
      cheapest = Math.min(cheapest, replica.costS());
    }
    Resources missing = clampToZero(requested.minus(bin.free()));
    double count =
        Math.max(
            unitsNeeded(missing.cores(), largest.cores()),
            Math.max(
                unitsNeeded(missing.gpus(), largest.gpus()),
                unitsNeeded(missing.memoryGb(), largest.memoryGb())));
    return count * cheapest;
  }

  private static double unitsNeeded(double amount, double unit) {
    return amount <= 1e-6 ? 0 : unit <= 0 ? 1e6 : Math.ceil(amount / unit - 1e-6);
  }

  /** Extends the current moves by replicas from the given index on. */
  private void searchMoves(int from, Resources free, double costS) {
    if (best != null && costS >= best.costS()) {
      return;
    }
    if (requested.fitsIn(free)) {
      best = new MigrationPlan(target.id(), List.copyOf(moves), costS);
      return;
    }
    if (moves.size() >= MAX_MOVES) {
      return;
    }
    for (int i = from; i < movable.size() && stepsLeft > 0; i++) {
      MovableReplica replica = movable.get(i);
      if (equivalentToSkipped(i, from) || !reducesShortage(replica.size(), free)) {
        continue;
      }
      stepsLeft--;
      for (Destination destination : destinations(replica)) {
        Resources before = freeByMachine.get(destination.id);
        freeByMachine.put(destination.id, before.minus(replica.size()));
        moves.add(new ReplicaMove(replica.task(), target.id(), destination.id));
        searchMoves(i + 1, free.plus(replica.size()), costS + replica.costS() + destination.fetchS);
        moves.remove(moves.size() - 1);
        freeByMachine.put(destination.id, before);
        if (stepsLeft <= 0) {
          return;
        }
      }
    }
  }

  /** Returns whether the replica is equivalent to its predecessor, which was already skipped. */
  private boolean equivalentToSkipped(int index, int from) {
    MovableReplica replica = movable.get(index);
    MovableReplica previous = index > from ? movable.get(index - 1) : null;
    return previous != null
        && previous.size().equals(replica.size())
        && previous.costS() == replica.costS()
        && previous.task().job().equals(replica.task().job());
  }

  private boolean reducesShortage(Resources size, Resources free) {
    Resources missing = requested.minus(free);
    return (missing.cores() > 1e-6 && size.cores() > 0)
        || (missing.gpus() > 1e-6 && size.gpus() > 0)
        || (missing.memoryGb() > 1e-6 && size.memoryGb() > 0);
  }

  private record Destination(MachineId id, Resources free, double fetchS) {}

  private List<Destination> destinations(MovableReplica replica) {
    List<Destination> all = new ArrayList<>();
    for (Bin bin : bins) {
      Resources free = freeByMachine.get(bin.id());
      if (bin != target && replica.size().fitsIn(free) && constraints.mayPlace(replica, bin.id())) {
        all.add(new Destination(bin.id(), free, constraints.fetchS(replica, bin.id())));
      }
    }
    all.sort(
        Comparator.comparingDouble(Destination::fetchS)
            .thenComparingDouble(destination -> destination.free.gpus())
            .thenComparingDouble(destination -> destination.free.cores())
            .thenComparing(destination -> destination.id.text()));
    // Equivalent destinations lead to equivalent plans, so only one of them is kept.
    List<Destination> distinct = new ArrayList<>();
    for (Destination destination : all) {
      boolean equivalent =
          distinct.stream()
              .anyMatch(
                  known ->
                      known.free.equals(destination.free) && known.fetchS == destination.fetchS);
      if (!equivalent && distinct.size() < MAX_DESTINATIONS) {
        distinct.add(destination);
      }
    }
    return distinct;
  }
}
