package io.saltflow.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MessageBody;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests how rejections change the known limits, and that compressed batches fit within them. */
class StoreLimitsTest {
  private static final StoreLimits SMALL = new StoreLimits(4, 2, 18);
  private static final StoreLimits MINIMAL =
      new StoreLimits(StoreLimits.MIN_OPERATIONS, StoreLimits.MIN_VALUE_BYTES / 1024.0, 18);

  private static Transaction transaction(int writes, int guards, int valueBytes) {
    Transaction transaction = new Transaction();
    for (int i = 0; i < writes; i++) {
      transaction.put(
          "k/" + i, MessageBody.of().with("v", "x".repeat(Math.max(0, valueBytes - 8))));
    }
    for (int i = 0; i < guards; i++) {
      transaction.guard("g/" + i, Revision.ABSENT);
    }
    return transaction;
  }

  /** Reports the responses of a store with these limits to repeated attempts. */
  private static void learn(
      StoreLimits limits, int operations, int valueBytes, Transaction... attempts) {
    for (int round = 0; round < 20; round++) {
      for (Transaction transaction : attempts) {
        if (transaction.operationCost() > operations
            || transaction.largestValueBytes() > valueBytes) {
          limits.onPermanentRejection(transaction);
        } else {
          limits.onAccepted(transaction);
        }
      }
    }
  }

  @Test
  void limitWithHigherUseIsLowered() {
    StoreLimits limits = new StoreLimits(8, 8, 25);
    learn(limits, 4, 2048, transaction(8, 9, 500));
    assertEquals(4, limits.maxOperations());
    assertEquals(16, limits.maxGuards());
    assertEquals(7168, limits.maxValueBytes(), "small values do not lower the value limit");
    learn(limits, 4, 2048, transaction(1, 2, 7000), transaction(1, 2, 3500));
    assertEquals(1792, limits.maxValueBytes());
    assertEquals(4, limits.maxOperations());
  }

  /** Guards against lowering limits twice for requests sent before they were lowered. */
  @Test
  void delayedRejectionDoesNotLowerLimits() {
    StoreLimits limits = new StoreLimits(8, 8, 25);
    limits.onPermanentRejection(transaction(8, 1, 10));
    limits.onPermanentRejection(transaction(8, 1, 10));
    limits.onPermanentRejection(transaction(1, 1, 7000));
    limits.onPermanentRejection(transaction(1, 1, 7000));
    assertEquals(4, limits.maxOperations());
    assertEquals(3584, limits.maxValueBytes());
  }

  @Test
  void rejectionOfGuardsLowersGuardLimit() {
    StoreLimits limits = new StoreLimits(8, 8, 25);
    learn(limits, 4, 2048, transaction(0, 32, 0));
    assertEquals(16, limits.maxGuards());
  }

  @Test
  void rejectionLowersLimitOfSizeNotRecentlyAccepted() {
    StoreLimits limits = new StoreLimits(24, 16, 80);
    learn(limits, 24, 2048, transaction(1, 4, 14_000));
    limits.onAccepted(transaction(20, 30, 50));
    limits.onPermanentRejection(transaction(20, 30, 1700));
    assertEquals(24, limits.maxOperations());
    assertTrue(limits.maxValueBytes() < 1700);
  }

  /** Guards against limits too small for a job's description. */
  @Test
  void limitsStayAboveMinimum() {
    StoreLimits limits = new StoreLimits(8, 8, 25);
    int[] sizes = {8000, 4000, 3000, 1700, 1200, 900, 300};
    for (int size : sizes) {
      learn(
          limits,
          0,
          0,
          transaction(1, 2, size),
          transaction(8, 32, size),
          transaction(4, 9, 10),
          transaction(3, 7, 10));
    }
    assertEquals(StoreLimits.MIN_OPERATIONS, limits.maxOperations());
    assertEquals(StoreLimits.MIN_VALUE_BYTES * 7 / 8, limits.maxValueBytes());
  }

  /** The rate decreases at most once per second. */
  @Test
  void rateDecreasesOnRejectionsAndRecovers() {
    StoreLimits limits = new StoreLimits(8, 8, 25);
    MonotonicTime now = new MonotonicTime(10_000);
    limits.onRateLimited(now);
    limits.onRateLimited(new MonotonicTime(10_100));
    assertEquals(20, limits.writesPerSecond(), 0.2);
    for (int second = 12; second < 40; second += 2) {
      limits.onRateLimited(new MonotonicTime(second * 1000L));
    }
    double lowestRate = limits.writesPerSecond();
    assertTrue(lowestRate >= 25 * 0.25 && lowestRate < 12, "" + lowestRate);
    limits.rateFraction(new MonotonicTime(80_000));
    assertEquals(25, limits.writesPerSecond());
  }

  /** Guards against queue batches that exceed the limits because they do not compress. */
  @Test
  void incompressibleBatchesFitWithinLimits() throws InvalidMessageException {
    assertEquals(4832, new CompressedValues(SMALL).guaranteedBytes());
    assertEquals(1040, new CompressedValues(MINIMAL).guaranteedBytes());
    for (StoreLimits limits : List.of(SMALL, MINIMAL)) {
      CompressedValues compressedValues = new CompressedValues(limits);
      byte[] bytes = new byte[compressedValues.guaranteedBytes()];
      new Random(1).nextBytes(bytes);
      List<String> texts = compressedValues.compress(bytes);
      assertTrue(texts.size() <= limits.maxOperations());
      for (String text : texts) {
        MessageBody value =
            MessageBody.of()
                .with("b", Long.MAX_VALUE)
                .with("t", Long.MAX_VALUE)
                .with("f", Long.MAX_VALUE)
                .with("i", 99)
                .with("n", 99)
                .with("d", text);
        assertTrue(limits.fits(value), "" + JsonSize.of(value));
      }
      assertEquals(bytes.length, compressedValues.decompress(texts).length);
    }
  }
}
