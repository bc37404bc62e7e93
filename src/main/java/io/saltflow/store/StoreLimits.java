package io.saltflow.store;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MessageBody;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The known limits of the key-value store, shared by all writers. The store may lower its limits
 * without notice, so writers must not keep copies. A permanent rejection of a transaction within
 * these limits lowers, by halving, either the value size or the number of operations, whichever is
 * nearer to its limit. They are not raised again before the next start.
 *
 * <p>The write rate decreases when writes are rejected for it, and recovers over time (additive
 * increase, multiplicative decrease). Used on the event loop only.
 */
public final class StoreLimits {
  private static final Logger LOG = LoggerFactory.getLogger(StoreLimits.class);

  /** Moving a job from the live to the finished jobs takes this many operations. */
  public static final int MIN_OPERATIONS = 2;

  /** Smallest value size that holds a job's description. */
  public static final int MIN_VALUE_BYTES = 1024;

  /** Number of guards that count as one operation. */
  static final int GUARDS_PER_OPERATION = 4;

  /** Fraction of the value limit that is used, as the store may encode values slightly longer. */
  private static final double USABLE_VALUE_FRACTION = 0.875;

  private static final int MAX_LOGGED_KEYS = 50;
  private static final double RATE_DECREASE_FACTOR = 0.8;
  private static final double MIN_RATE_FRACTION = 0.25;
  private static final double RATE_INCREASE_PER_SECOND = 0.04;

  /** Rejections within this time are of requests that were sent before the rate was lowered. */
  private static final TimeSpan RATE_DECREASE_INTERVAL = TimeSpan.seconds(1);

  private final double writesPerSecond;
  private final Set<String> loggedKeys = new HashSet<>();
  private int maxOperations;
  private double valueLimitBytes;

  /** Whether a transaction was rejected, so that accepted sizes are tracked to find the cause. */
  private boolean learning;

  private int acceptedOperations;
  private int acceptedValueBytes;
  private double rateFraction = 1;
  private MonotonicTime rateUpdatedAt = MonotonicTime.LONG_AGO;
  private MonotonicTime rateDecreasedAt = MonotonicTime.LONG_AGO;

  /**
   * Creates limits from the settings.
   *
   * @param maxOperations maximum number of operations in one transaction
   * @param valueKb maximum size of a value in KiB of JSON
   * @param writesPerSecond write rate of all nodes together
   */
  public StoreLimits(int maxOperations, double valueKb, double writesPerSecond) {
    this.maxOperations = Math.max(1, maxOperations);
    this.valueLimitBytes = valueKb * 1024;
    this.writesPerSecond = writesPerSecond;
  }

  /** Returns the maximum number of operations in one transaction. */
  public int maxOperations() {
    return maxOperations;
  }

  /** Returns the maximum number of guards in one transaction. */
  public int maxGuards() {
    return GUARDS_PER_OPERATION * maxOperations;
  }

  /** Returns the maximum size of a value in bytes of JSON, less a margin. */
  public int maxValueBytes() {
    return (int) (valueLimitBytes * USABLE_VALUE_FRACTION);
  }

  /** Returns whether a value is within the known size limit. */
  public boolean fits(MessageBody value) {
    return JsonSize.of(value) <= maxValueBytes();
  }

  /** Returns the write rate of all nodes together. */
  public double writesPerSecond() {
    return writesPerSecond * rateFraction;
  }

  /** Returns the fraction of its normal write rate that a node may use now. */
  double rateFraction(MonotonicTime now) {
    if (rateFraction < 1) {
      rateFraction =
          Math.min(
              1, rateFraction + now.since(rateUpdatedAt).toSeconds() * RATE_INCREASE_PER_SECOND);
    }
    rateUpdatedAt = now;
    return rateFraction;
  }

  /** Lowers the write rate after a rejection for the rate. */
  void onRateLimited(MonotonicTime now) {
    rateFraction(now);
    if (now.since(rateDecreasedAt).longerThan(RATE_DECREASE_INTERVAL)) {
      rateDecreasedAt = now;
      rateFraction = Math.max(MIN_RATE_FRACTION, rateFraction * RATE_DECREASE_FACTOR);
    }
  }

  /** Lowers the limits after a permanent rejection of a transaction within them. */
  void onPermanentRejection(Transaction transaction) {
    int valueBytes = transaction.largestValueBytes();
    double operationsRatio = transaction.operationCost() / (double) maxOperations;
    double valueRatio = valueBytes / valueLimitBytes;
    if (operationsRatio > 1 || valueRatio > 1) {
      // The transaction was sent before the limits were lowered.
      return;
    }
    boolean reduceOperations = transaction.operationCost() > MIN_OPERATIONS;
    boolean reduceValue = valueBytes > MIN_VALUE_BYTES;
    if (reduceOperations && reduceValue) {
      // A size that was accepted since the last rejection is not the cause of this rejection.
      boolean operationsAccepted = transaction.operationCost() <= acceptedOperations;
      boolean valueAccepted = valueBytes <= acceptedValueBytes;
      boolean byRatio = operationsAccepted == valueAccepted;
      reduceOperations = byRatio ? operationsRatio >= valueRatio : valueAccepted;
    }
    learning = true;
    acceptedOperations = 0;
    acceptedValueBytes = 0;
    if (reduceOperations) {
      lowerOperations(transaction.operationCost());
      logLowered(transaction, valueBytes);
    } else if (reduceValue) {
      lowerValueLimit(valueBytes);
      logLowered(transaction, valueBytes);
    } else {
      logOnce(
          transaction.mainKey(),
          "key-value store rejected transaction on {} ({} writes, {} guards, largest value {} bytes)"
              + " although it is of minimum size, retrying",
          transaction.mainKey(),
          transaction.writeCount(),
          transaction.guardCount(),
          valueBytes);
    }
  }

  /** Records the size of an accepted transaction, once a transaction has been rejected. */
  void onAccepted(Transaction transaction) {
    if (learning) {
      acceptedOperations = Math.max(acceptedOperations, transaction.operationCost());
      acceptedValueBytes = Math.max(acceptedValueBytes, transaction.largestValueBytes());
    }
  }

  private void lowerOperations(int rejected) {
    while (maxOperations > MIN_OPERATIONS && rejected <= maxOperations) {
      maxOperations = Math.max(MIN_OPERATIONS, maxOperations / 2);
    }
  }

  private void lowerValueLimit(int rejectedBytes) {
    while (valueLimitBytes > MIN_VALUE_BYTES && rejectedBytes <= valueLimitBytes) {
      valueLimitBytes = Math.max(MIN_VALUE_BYTES, valueLimitBytes / 2);
    }
  }

  private void logLowered(Transaction transaction, int valueBytes) {
    LOG.warn(
        "key-value store rejected transaction on {} ({} writes, {} guards, largest value {} bytes):"
            + " limits lowered to {} bytes per value and {} operations per transaction",
        transaction.mainKey(),
        transaction.writeCount(),
        transaction.guardCount(),
        valueBytes,
        maxValueBytes(),
        maxOperations);
  }

  /** Returns the value with the fewest items removed from the start of a list to make it fit. */
  public MessageBody truncatedFromStart(MessageBody value, String list) {
    MessageBody truncated = new MessageBody(new LinkedHashMap<>(value.fields()));
    removeUntilFits(truncated, list, remaining -> 0);
    return truncated;
  }

  /**
   * Returns the value with the fewest items removed from the ends of these lists, in the given
   * order, to make it fit.
   */
  public MessageBody truncated(MessageBody value, String... lists) {
    MessageBody truncated = new MessageBody(new LinkedHashMap<>(value.fields()));
    for (String name : lists) {
      removeUntilFits(truncated, name, remaining -> remaining.size() - 1);
    }
    return truncated;
  }

  private void removeUntilFits(
      MessageBody body, String list, ToIntFunction<List<Object>> nextToRemove) {
    List<Object> remaining =
        body.get(list) instanceof List<?> all ? new ArrayList<>(all) : new ArrayList<>();
    while (!remaining.isEmpty() && !fits(body)) {
      remaining.remove(nextToRemove.applyAsInt(remaining));
      body.with(list, remaining);
    }
  }

  /**
   * Logs a warning, once per key, that a record is larger than the limit.
   *
   * @param consequence how the record is handled, as a clause in the log line
   */
  public void warnTooLarge(String key, int bytes, String consequence) {
    logOnce(
        key,
        "record {} of {} bytes exceeds limit of {} bytes: {}",
        key,
        bytes,
        maxValueBytes(),
        consequence);
  }

  /** Logs one line per key, for a bounded number of keys. */
  private void logOnce(String key, String format, Object... arguments) {
    if (loggedKeys.size() < MAX_LOGGED_KEYS && loggedKeys.add(key)) {
      LOG.warn(format, arguments);
    }
  }
}
