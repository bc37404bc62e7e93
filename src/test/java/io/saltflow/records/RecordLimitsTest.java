package io.saltflow.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.binpacking.RecordedPlan;
import io.saltflow.binpacking.ReplicaMove;
import io.saltflow.deadlines.DailyDeadline;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineId;
import io.saltflow.model.Revision;
import io.saltflow.model.TaskId;
import io.saltflow.priority.QueueOrderInputs;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.store.Keys;
import io.saltflow.store.StoreLimits;
import io.saltflow.store.Transaction;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests how large records are truncated or left out under small limits of the key-value store. */
class RecordLimitsTest {
  private static final StoreLimits SMALL = new StoreLimits(4, 2, 18);
  private static final StoreLimits MINIMUM =
      new StoreLimits(StoreLimits.MIN_OPERATIONS, StoreLimits.MIN_VALUE_BYTES / 1024.0, 18);

  private static MessageBody roundTrip(MessageBody body) throws InvalidMessageException {
    return MessagePackCodec.decode(MessagePackCodec.encode(body));
  }

  private static RecordedPlan plan(int steps) {
    List<ReplicaMove> moves = new ArrayList<>();
    for (int i = 0; i < steps; i++) {
      moves.add(
          new ReplicaMove(
              new TaskId(new JobId("req-123456"), 100 + i),
              new MachineId("vm-0001234"),
              new MachineId("vm-0004321")));
    }
    return new RecordedPlan(
        "12-3", new JobId("req-654321"), new MachineId("vm-1"), moves, 1L << 41, null);
  }

  /**
   * A migration plan must never be truncated; at the smallest limits the longest plans do not fit.
   */
  @Test
  void migrationPlansFitOrAreLeftOut() {
    assertTrue(SMALL.fits(MigrationPlanCodec.encode(plan(16))));
    assertFalse(MINIMUM.fits(MigrationPlanCodec.encode(plan(16))));
    assertTrue(MINIMUM.fits(MigrationPlanCodec.encode(plan(8))));
  }

  /** The least significant corrections, which can be learned again, must be dropped first. */
  @Test
  void queueOrderInputsAreTruncated() throws InvalidMessageException {
    Map<String, Double> corrections = new TreeMap<>();
    for (int i = 0; i < 64; i++) {
      corrections.put(String.format("some-class-%04d", i), Math.exp((i - 20) * 0.1));
    }
    QueueOrderInputs inputs = new QueueOrderInputs(900, corrections, Set.of("some-class-0001"));
    for (StoreLimits limits : List.of(SMALL, MINIMUM)) {
      MessageBody encoded = QueueOrderCodec.encode(inputs, limits);
      assertTrue(limits.fits(encoded));
      QueueOrderInputs decoded = QueueOrderCodec.decode(roundTrip(encoded));
      assertTrue(
          decoded.estimateCorrections().size() >= 20, "" + decoded.estimateCorrections().size());
      assertTrue(
          decoded.estimateCorrections().containsKey("some-class-0063"),
          "the largest correction is kept");
      assertFalse(
          decoded.estimateCorrections().containsKey("some-class-0020"),
          "a correction of 1 is dropped");
    }
    StoreLimits large = new StoreLimits(8, 8, 25);
    assertEquals(
        inputs,
        QueueOrderCodec.decode(roundTrip(QueueOrderCodec.encode(inputs, large))),
        "not truncated within larger limits");
  }

  @Test
  void dailyDeadlinesAreTruncated() throws InvalidMessageException {
    List<JobId> boosted = new ArrayList<>();
    List<DailyDeadline.LateJob> late = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      boosted.add(new JobId(String.format("req-%06d", i)));
    }
    for (int i = 0; i < 20; i++) {
      late.add(
          new DailyDeadline.LateJob(boosted.get(i), 1L << 41, "the work before it takes too long"));
    }
    DailyDeadline dailyDeadline =
        new DailyDeadline("q", "2026-12-02", 1, 2, 0.9, 3, 4, 5, 6, 7, boosted, late, null);
    for (StoreLimits limits : List.of(SMALL, MINIMUM)) {
      MessageBody encoded =
          limits.truncated(
              DailyDeadlineCodec.encode(dailyDeadline), DailyDeadlineCodec.truncatable());
      assertTrue(limits.fits(encoded));
      DailyDeadline decoded =
          DailyDeadlineCodec.decode(Keys.DAILY_DEADLINES + "q/2026-12-02", roundTrip(encoded));
      assertTrue(decoded.boosted().size() >= 40, "" + decoded.boosted().size());
      assertEquals(
          boosted.subList(0, decoded.boosted().size()),
          decoded.boosted(),
          "the first boosted jobs are kept");
    }
  }

  /** A single record that is too large must not block the other jobs of its batch. */
  @Test
  void oversizedRecordDoesNotBlockItsBatch() throws InvalidMessageException {
    Map<JobId, MessageBody> records = new LinkedHashMap<>();
    for (int i = 0; i < 6; i++) {
      MessageBody record =
          MessageBody.of().with("at", 5L).with("x", "x".repeat(i == 2 ? 3000 : 300));
      records.put(new JobId(String.format("req-%06d", i)), record);
    }
    BatchUnpacker unpacker = new BatchUnpacker();
    unpacker.addBatch(
        SubmissionBatch.key("former"), roundTrip(SubmissionBatch.encode(records)), new Revision(7));
    int unpacked = 0;
    for (int i = 0; i < 10; i++) {
      BatchUnpacker.UnpackStep step = unpacker.next(MINIMUM);
      assertTrue(step.addTo(new Transaction()).operationCost() <= MINIMUM.maxOperations());
      unpacked += step.jobs().size();
      unpacker.onCommitted(step);
    }
    assertEquals(5, unpacked);
    assertFalse(unpacker.isEmpty(), "the oversized record remains until the limits are raised");
    assertEquals(1, unpacker.next(new StoreLimits(8, 8, 25)).jobs().size());
  }
}
