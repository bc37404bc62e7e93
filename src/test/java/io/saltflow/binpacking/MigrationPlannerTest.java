package io.saltflow.binpacking;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.MachineId;
import io.saltflow.model.Resources;
import io.saltflow.model.TaskId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.junit.jupiter.api.Test;

/** Compares the planner with an exhaustive search on small random clusters. */
class MigrationPlannerTest {
  private static final Resources MACHINE_SIZE = new Resources(32, 8, 128);

  /** Arbitrary but fixed constraints, derived from the task index and the machine ID. */
  private static final PlacementConstraints CONSTRAINTS =
      new PlacementConstraints() {
        @Override
        public boolean mayPlace(MovableReplica replica, MachineId to) {
          return (replica.task().index() + to.text().hashCode()) % 7 != 0;
        }

        @Override
        public double fetchS(MovableReplica replica, MachineId to) {
          return (replica.task().index() * 31 + to.text().hashCode()) % 3 == 0 ? 0 : 20;
        }
      };

  private static List<Bin> randomBins(UniformRandomProvider random, int machines) {
    List<Bin> bins = new ArrayList<>();
    int next = 0;
    for (int machine = 0; machine < machines; machine++) {
      Resources free = MACHINE_SIZE;
      List<MovableReplica> movable = new ArrayList<>();
      for (int i = random.nextInt(5); i > 0; i--) {
        int gpus = 1 + random.nextInt(3);
        Resources size = new Resources(gpus * (1 + random.nextInt(5)), gpus, gpus * 12);
        if (!size.fitsIn(free)) {
          continue;
        }
        free = free.minus(size);
        // Some tasks cannot be moved.
        if (random.nextInt(5) > 0) {
          TaskId task = TaskId.parse("req-00000" + random.nextInt(9) + "/" + next++);
          movable.add(new MovableReplica(task, size, 8 + 5 * random.nextInt(3)));
        }
      }
      bins.add(new Bin(new MachineId("vm-" + machine), free, random.nextInt(6) > 0, movable));
    }
    return bins;
  }

  /** Returns the lowest cost over all machines, subsets of replicas and destinations. */
  private static double lowestCost(Resources requested, List<Bin> bins) {
    double lowestCost = Double.MAX_VALUE;
    for (Bin bin : bins) {
      if (bin.eligible()) {
        Map<MachineId, Resources> freeByMachine = new HashMap<>();
        bins.forEach(each -> freeByMachine.put(each.id(), each.free()));
        lowestCost =
            Math.min(lowestCost, lowestCost(requested, bin, bins, freeByMachine, 0, bin.free(), 0));
      }
    }
    return lowestCost;
  }

  private static double lowestCost(
      Resources requested,
      Bin bin,
      List<Bin> bins,
      Map<MachineId, Resources> freeByMachine,
      int next,
      Resources free,
      double cost) {
    if (requested.fitsIn(free)) {
      return cost;
    }
    if (next == bin.movable().size()) {
      return Double.MAX_VALUE;
    }
    double lowestCost = lowestCost(requested, bin, bins, freeByMachine, next + 1, free, cost);
    MovableReplica replica = bin.movable().get(next);
    for (Bin to : bins) {
      Resources before = freeByMachine.get(to.id());
      if (to != bin && replica.size().fitsIn(before) && CONSTRAINTS.mayPlace(replica, to.id())) {
        freeByMachine.put(to.id(), before.minus(replica.size()));
        double costWithMove = cost + replica.costS() + CONSTRAINTS.fetchS(replica, to.id());
        lowestCost =
            Math.min(
                lowestCost,
                lowestCost(
                    requested,
                    bin,
                    bins,
                    freeByMachine,
                    next + 1,
                    free.plus(replica.size()),
                    costWithMove));
        freeByMachine.put(to.id(), before);
      }
    }
    return lowestCost;
  }

  private static void assertPlanIsValid(Resources requested, List<Bin> bins, MigrationPlan plan) {
    Map<MachineId, Resources> freeByMachine = new HashMap<>();
    Map<TaskId, Resources> sizes = new HashMap<>();
    bins.forEach(bin -> freeByMachine.put(bin.id(), bin.free()));
    bins.forEach(
        bin -> bin.movable().forEach(replica -> sizes.put(replica.task(), replica.size())));
    for (ReplicaMove move : plan.moves()) {
      assertEquals(plan.target(), move.from());
      freeByMachine.merge(move.from(), sizes.get(move.task()), Resources::plus);
      freeByMachine.merge(move.to(), sizes.get(move.task()), Resources::minus);
      assertTrue(
          Resources.ZERO.fitsIn(freeByMachine.get(move.to())),
          "machine " + move.to() + " is overcommitted");
    }
    assertTrue(
        requested.fitsIn(freeByMachine.get(plan.target())),
        "requested task does not fit on the target");
  }

  @Test
  void planIsFoundWhenOneExistsAndIsNearOptimal() {
    UniformRandomProvider random = new SplitMix64(7);
    int found = 0;
    double ratioSum = 0;
    for (int i = 0; i < 2000; i++) {
      List<Bin> bins = randomBins(random, 3 + random.nextInt(3));
      int gpus = 3 + random.nextInt(6);
      Resources requested = new Resources(gpus * 3, gpus, gpus * 14);
      double lowestCost = lowestCost(requested, bins);
      MigrationPlan plan = MigrationPlanner.plan(requested, bins, CONSTRAINTS, 1500);
      assertEquals(lowestCost == Double.MAX_VALUE, plan == null, "cluster " + i);
      if (plan != null) {
        assertPlanIsValid(requested, bins, plan);
        assertTrue(
            plan.costS() >= lowestCost - 1e-6,
            "plan is cheaper than the optimum of the exhaustive search");
        found++;
        ratioSum += lowestCost == 0 ? 1 : plan.costS() / lowestCost;
      }
    }
    assertTrue(found > 500, "too few clusters have a plan: " + found);
    assertTrue(ratioSum / found <= 1.2, "mean cost is " + ratioSum / found + " times the optimum");
  }

  /** Guards against a search whose work grows with the number of possible moves. */
  @Test
  void planIsFoundForLargeClusterWithinBudget() {
    List<Bin> bins = randomBins(new SplitMix64(9), 4000);
    MigrationPlan plan = MigrationPlanner.plan(new Resources(30, 8, 120), bins, CONSTRAINTS, 1500);
    assertNotNull(plan);
    assertPlanIsValid(new Resources(30, 8, 120), bins, plan);
  }

  /** Guards against small tasks placed on empty machines while they fit on partially used ones. */
  @Test
  void taskPlacementMinimizesFragmentation() {
    Fragmentation fragmentation = new Fragmentation();
    Resources oneGpuTask = new Resources(4, 1, 16);
    fragmentation.addWorkload(oneGpuTask, 20);
    fragmentation.addWorkload(new Resources(30, 8, 120), 1);
    double emptyIncrease = fragmentation.increase(MACHINE_SIZE, MACHINE_SIZE, oneGpuTask);
    double partialIncrease =
        fragmentation.increase(MACHINE_SIZE, new Resources(16, 3, 64), oneGpuTask);
    assertTrue(
        partialIncrease < emptyIncrease,
        "partially used: " + partialIncrease + ", empty: " + emptyIncrease);
    assertTrue(
        fragmentation.increase(MACHINE_SIZE, MACHINE_SIZE, new Resources(4, 0, 16))
            >= emptyIncrease,
        "task without accelerators must rank a machine with accelerators last");
    assertEquals(
        0, fragmentation.increase(new Resources(8, 0, 32), new Resources(8, 0, 32), oneGpuTask));
  }
}
