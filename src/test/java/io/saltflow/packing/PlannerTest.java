package io.saltflow.packing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.TaskId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.junit.jupiter.api.Test;

/** The planner against the best plan there is, over small fleets drawn from a seed. */
class PlannerTest {
  private static final Size WHOLE = new Size(32, 8, 128);

  /** Where a replica fetches nothing, by its number and the machine's. */
  private static final Fit FIT =
      new Fit() {
        @Override
        public boolean may(Piece piece, MachineId to) {
          return (piece.task().index() + to.text().hashCode()) % 7 != 0;
        }

        @Override
        public double fetchS(Piece piece, MachineId to) {
          return (piece.task().index() * 31 + to.text().hashCode()) % 3 == 0 ? 0 : 20;
        }
      };

  private static List<Box> fleet(UniformRandomProvider random, int machines) {
    List<Box> boxes = new ArrayList<>();
    int next = 0;
    for (int m = 0; m < machines; m++) {
      Size free = WHOLE;
      List<Piece> pieces = new ArrayList<>();
      for (int i = random.nextInt(5); i > 0; i--) {
        int gpus = 1 + random.nextInt(3);
        Size size = new Size(gpus * (1 + random.nextInt(5)), gpus, gpus * 12);
        if (!size.fitsIn(free)) {
          continue;
        }
        free = free.minus(size);
        // Some of what is there can't be moved.
        if (random.nextInt(5) > 0) {
          TaskId task = TaskId.parse("req-00000" + random.nextInt(9) + "/" + next++);
          pieces.add(new Piece(task, size, 8 + 5 * random.nextInt(3)));
        }
      }
      boxes.add(new Box(new MachineId("vm-" + m), free, random.nextInt(6) > 0, pieces));
    }
    return boxes;
  }

  /** Every machine, every subset of its pieces, every place for each. */
  private static double best(Size wish, List<Box> boxes) {
    double best = Double.MAX_VALUE;
    for (Box b : boxes) {
      if (b.wanted()) {
        Map<MachineId, Size> room = new HashMap<>();
        boxes.forEach(o -> room.put(o.id(), o.free()));
        best = Math.min(best, best(wish, b, boxes, room, 0, b.free(), 0));
      }
    }
    return best;
  }

  private static double best(
      Size wish, Box b, List<Box> boxes, Map<MachineId, Size> room, int i, Size free, double cost) {
    if (wish.fitsIn(free)) {
      return cost;
    }
    if (i == b.pieces().size()) {
      return Double.MAX_VALUE;
    }
    double best = best(wish, b, boxes, room, i + 1, free, cost);
    Piece p = b.pieces().get(i);
    for (Box to : boxes) {
      Size before = room.get(to.id());
      if (to != b && p.size().fitsIn(before) && FIT.may(p, to.id())) {
        room.put(to.id(), before.minus(p.size()));
        double with = cost + p.cost() + FIT.fetchS(p, to.id());
        best = Math.min(best, best(wish, b, boxes, room, i + 1, free.plus(p.size()), with));
        room.put(to.id(), before);
      }
    }
    return best;
  }

  private static void check(Size wish, List<Box> boxes, Plan plan) {
    Map<MachineId, Size> room = new HashMap<>();
    Map<TaskId, Size> sizes = new HashMap<>();
    boxes.forEach(b -> room.put(b.id(), b.free()));
    boxes.forEach(b -> b.pieces().forEach(p -> sizes.put(p.task(), p.size())));
    for (Move m : plan.moves()) {
      assertEquals(plan.clear(), m.from());
      room.merge(m.from(), sizes.get(m.task()), Size::plus);
      room.merge(m.to(), sizes.get(m.task()), Size::minus);
      assertTrue(Size.ZERO.fitsIn(room.get(m.to())), "no room at " + m.to());
    }
    assertTrue(wish.fitsIn(room.get(plan.clear())), "it does not fit");
  }

  @Test
  void aPlanIsFoundWhereverThereIsOneAndCostsLittleMore() {
    UniformRandomProvider random = new SplitMix64(7);
    int found = 0;
    double ratios = 0;
    for (int i = 0; i < 2000; i++) {
      List<Box> boxes = fleet(random, 3 + random.nextInt(3));
      int gpus = 3 + random.nextInt(6);
      Size wish = new Size(gpus * 3, gpus, gpus * 14);
      double best = best(wish, boxes);
      Plan plan = Planner.plan(wish, boxes, FIT, 1500);
      assertEquals(best == Double.MAX_VALUE, plan == null, "fleet " + i);
      if (plan != null) {
        check(wish, boxes, plan);
        assertTrue(plan.cost() >= best - 1e-6, "cheaper than the best: the check is wrong");
        found++;
        ratios += best == 0 ? 1 : plan.cost() / best;
      }
    }
    assertTrue(found > 500, "too few have a plan: " + found);
    assertTrue(ratios / found <= 1.2, "on the average " + ratios / found + " times the best");
  }

  /** Its work is bounded by its budget and the machines looked at, not by what could be tried. */
  @Test
  void fourThousandMachinesInABoundedNumberOfSteps() {
    List<Box> boxes = fleet(new SplitMix64(9), 4000);
    Plan plan = Planner.plan(new Size(30, 8, 120), boxes, FIT, 1500);
    assertNotNull(plan);
    check(new Size(30, 8, 120), boxes, plan);
  }

  /** A small task fills a piece; it opens a whole machine only where there is none. */
  @Test
  void aTaskGoesWhereItLeavesMostOfUse() {
    Fragments f = new Fragments();
    Size one = new Size(4, 1, 16);
    f.usual(one, 20);
    f.usual(new Size(30, 8, 120), 1);
    double whole = f.more(WHOLE, WHOLE, one);
    double piece = f.more(WHOLE, new Size(16, 3, 64), one);
    assertTrue(piece < whole, piece + " and " + whole);
    assertTrue(f.more(WHOLE, WHOLE, new Size(4, 0, 16)) >= whole, "no accelerators: last of all");
    assertEquals(0, f.more(new Size(8, 0, 32), new Size(8, 0, 32), one));
  }
}
