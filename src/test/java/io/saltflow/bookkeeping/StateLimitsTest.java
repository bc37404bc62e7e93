package io.saltflow.bookkeeping;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.deadlines.Morning;
import io.saltflow.lanes.Basis;
import io.saltflow.packing.Kept;
import io.saltflow.packing.Move;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.TaskId;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** What is believed of the state service's limits, and what fits into the least of them. */
class StateLimitsTest {
  private static final StateLimits SMALL = new StateLimits(4, 2, 18);
  private static final StateLimits FLOOR =
      new StateLimits(StateLimits.LEAST_OPERATIONS, StateLimits.LEAST_VALUE_BYTES / 1024.0, 18);

  private static Txn txn(int changes, int conditions, int valueBytes) {
    Txn txn = new Txn();
    for (int i = 0; i < changes; i++) {
      txn.put("k/" + i, Body.of().with("v", "x".repeat(Math.max(0, valueBytes - 8))));
    }
    for (int i = 0; i < conditions; i++) {
      txn.guard("g/" + i, Stamp.ABSENT);
    }
    return txn;
  }

  /** A service with these limits answers, until all that is tried is taken. */
  private static void learn(StateLimits limits, int operations, int valueBytes, Txn... tried) {
    for (int round = 0; round < 20; round++) {
      for (Txn t : tried) {
        if (t.operations() > operations || t.largestValue() > valueBytes) {
          limits.refused(t);
        } else {
          limits.taken(t);
        }
      }
    }
  }

  @Test
  void whatWasUsedUpFurtherIsLowered() {
    StateLimits limits = new StateLimits(8, 8, 25);
    learn(limits, 4, 2048, txn(8, 9, 500));
    assertEquals(4, limits.operations());
    assertEquals(16, limits.conditions());
    assertEquals(7168, limits.valueBytes(), "small values say nothing of size");
    learn(limits, 4, 2048, txn(1, 2, 7000), txn(1, 2, 3500));
    assertEquals(1792, limits.valueBytes());
    assertEquals(4, limits.operations());
  }

  /** It was sent before the limits were lowered, and its answer comes after that. */
  @Test
  void aLateRefusalLowersNothingFurther() {
    StateLimits limits = new StateLimits(8, 8, 25);
    limits.refused(txn(8, 1, 10));
    limits.refused(txn(8, 1, 10));
    limits.refused(txn(1, 1, 7000));
    limits.refused(txn(1, 1, 7000));
    assertEquals(4, limits.operations());
    assertEquals(3584, limits.valueBytes());
  }

  @Test
  void aComparisonThatIsRefusedHasTooManyConditions() {
    StateLimits limits = new StateLimits(8, 8, 25);
    learn(limits, 4, 2048, txn(0, 32, 0));
    assertEquals(16, limits.conditions());
  }

  /** What was taken since the last refusal is not what is refused. */
  @Test
  void whatWasTakenMeanwhileIsNotTheCause() {
    StateLimits limits = new StateLimits(24, 16, 80);
    learn(limits, 24, 2048, txn(1, 4, 14_000));
    limits.taken(txn(20, 30, 50));
    limits.refused(txn(20, 30, 1700));
    assertEquals(24, limits.operations());
    assertTrue(limits.valueBytes() < 1700);
  }

  /** Whatever is refused, and for whatever cause: what is written stays of some use. */
  @Test
  void nothingIsLoweredBelowTheFloor() {
    StateLimits limits = new StateLimits(8, 8, 25);
    int[] sizes = {8000, 4000, 3000, 1700, 1200, 900, 300};
    for (int size : sizes) {
      learn(limits, 0, 0, txn(1, 2, size), txn(8, 32, size), txn(4, 9, 10), txn(3, 7, 10));
    }
    assertEquals(StateLimits.LEAST_OPERATIONS, limits.operations());
    assertEquals(StateLimits.LEAST_VALUE_BYTES * 7 / 8, limits.valueBytes());
  }

  /** Halves on refusals, at most once a second, and comes back. */
  @Test
  void refusedChangesLowerTheirRateForAWhile() {
    StateLimits limits = new StateLimits(8, 8, 25);
    Time now = new Time(10_000);
    limits.tooManyChanges(now);
    limits.tooManyChanges(new Time(10_100));
    assertEquals(20, limits.changesPerS(), 0.2);
    for (int s = 12; s < 40; s += 2) {
      limits.tooManyChanges(new Time(s * 1000L));
    }
    double low = limits.changesPerS();
    assertTrue(low >= 25 * 0.25 && low < 12, "" + low);
    limits.part(new Time(80_000));
    assertEquals(25, limits.changesPerS());
  }

  private static Body sent(Body body) throws BadMessage {
    return MsgPack.decode(MsgPack.encode(body));
  }

  private static Kept plan(int steps) {
    List<Move> moves = new ArrayList<>();
    for (int i = 0; i < steps; i++) {
      moves.add(
          new Move(
              new TaskId(new JobId("req-123456"), 100 + i),
              new MachineId("vm-0001234"),
              new MachineId("vm-0004321")));
    }
    return new Kept("12-3", new JobId("req-654321"), new MachineId("vm-1"), moves, 1L << 41, null);
  }

  /** A plan is whole or not at all: at the floor the longest ones are left out. */
  @Test
  void plansOfMoves() {
    assertTrue(SMALL.fits(MoveBooks.encode(plan(16))));
    assertFalse(FLOOR.fits(MoveBooks.encode(plan(16))));
    assertTrue(FLOOR.fits(MoveBooks.encode(plan(8))));
  }

  /** What can be found out again is cut short: what says least first. */
  @Test
  void whatTheOrderRestsOnIsCutShort() throws BadMessage {
    Map<String, Double> corrections = new TreeMap<>();
    for (int i = 0; i < 64; i++) {
      corrections.put(String.format("some-class-%04d", i), Math.exp((i - 20) * 0.1));
    }
    Basis basis = new Basis(900, corrections, Set.of("some-class-0001"));
    for (StateLimits limits : List.of(SMALL, FLOOR)) {
      Body written = OrderBooks.encode(basis, limits);
      assertTrue(limits.fits(written));
      Basis read = OrderBooks.decode(sent(written));
      assertTrue(read.corrections().size() >= 20, "" + read.corrections().size());
      assertTrue(read.corrections().containsKey("some-class-0063"), "the largest says most");
      assertFalse(read.corrections().containsKey("some-class-0020"), "1 says nothing");
    }
    StateLimits large = new StateLimits(8, 8, 25);
    assertEquals(
        basis, OrderBooks.decode(sent(OrderBooks.encode(basis, large))), "whole where it fits");
  }

  @Test
  void morningsAreCutShort() throws BadMessage {
    List<JobId> push = new ArrayList<>();
    List<Morning.Late> late = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      push.add(new JobId(String.format("req-%06d", i)));
    }
    for (int i = 0; i < 20; i++) {
      late.add(new Morning.Late(push.get(i), 1L << 41, "the work before it takes too long"));
    }
    Morning m = new Morning("q", "2026-12-02", 1, 2, 0.9, 3, 4, 5, 6, 7, push, late, null);
    for (StateLimits limits : List.of(SMALL, FLOOR)) {
      Body written = limits.shortened(ReadyBooks.encode(m), ReadyBooks.DETAILS);
      assertTrue(limits.fits(written));
      Morning read = ReadyBooks.decode(Keys.READY + "q/2026-12-02", sent(written));
      assertTrue(read.push().size() >= 40, "" + read.push().size());
      assertEquals(push.subList(0, read.push().size()), read.push(), "what goes first stays");
    }
  }

  /** Batches of queues fit however badly they pack. */
  @Test
  void batchesOfQueues() throws BadMessage {
    assertEquals(4832, new Chunks(SMALL).certainBytes());
    assertEquals(1040, new Chunks(FLOOR).certainBytes());
    for (StateLimits limits : List.of(SMALL, FLOOR)) {
      Chunks chunks = new Chunks(limits);
      byte[] bytes = new byte[chunks.certainBytes()];
      new Random(1).nextBytes(bytes);
      List<String> parts = chunks.split(bytes);
      assertTrue(parts.size() <= limits.operations());
      for (String part : parts) {
        Body value =
            Body.of()
                .with("b", Long.MAX_VALUE)
                .with("t", Long.MAX_VALUE)
                .with("f", Long.MAX_VALUE)
                .with("i", 99)
                .with("n", 99)
                .with("d", part);
        assertTrue(limits.fits(value), "" + JsonSize.of(value));
      }
      assertEquals(bytes.length, chunks.join(parts).length);
    }
  }

  /** A record that is too large for itself lets all others pass. */
  @Test
  void oneRecordOfABundleThatIsTooLargeHoldsUpNoOther() throws BadMessage {
    Map<JobId, Body> records = new LinkedHashMap<>();
    for (int i = 0; i < 6; i++) {
      Body record = Body.of().with("at", 5L).with("x", "x".repeat(i == 2 ? 3000 : 300));
      records.put(new JobId(String.format("req-%06d", i)), record);
    }
    Unpacking unpacking = new Unpacking();
    unpacking.found(Bundles.key("former"), sent(Bundles.encode(records)), new Stamp(7));
    int unpacked = 0;
    for (int i = 0; i < 10; i++) {
      Unpacking.Step step = unpacking.next(FLOOR);
      assertTrue(step.into(new Txn()).operations() <= FLOOR.operations());
      unpacked += step.items().size();
      unpacking.done(step);
    }
    assertEquals(5, unpacked);
    assertFalse(unpacking.isEmpty(), "it stays until larger values are taken");
    assertEquals(1, unpacking.next(new StateLimits(8, 8, 25)).items().size());
  }
}
