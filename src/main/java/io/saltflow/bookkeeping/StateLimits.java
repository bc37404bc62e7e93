package io.saltflow.bookkeeping;

import io.saltflow.protocol.Body;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The limits of the state service as they are believed to be, in one place for all that writes. It
 * may lower them without notice; writers that kept copies of the settings were refused for ever.
 * What is refused although it is within these limits lowers them: by halves, and whichever of size
 * and number of changes was used up further. They are not raised again before the next start.
 *
 * <p>The rate of changes gives way when changes are refused for it, and comes back (additive
 * increase, multiplicative decrease).
 */
public final class StateLimits {
  private static final Logger LOG = LoggerFactory.getLogger(StateLimits.class);

  /** With fewer changes at once a job can't be moved from the live to the finished ones. */
  public static final int LEAST_OPERATIONS = 2;

  /** Smaller values do not hold a job's description. */
  public static final int LEAST_VALUE_BYTES = 1024;

  static final int CONDITIONS_PER_OPERATION = 4;

  /** Of a value's limit, what writers use: others may write numbers and texts a little longer. */
  private static final double USED_PART = 0.875;

  private static final int MOST_TOLD = 50;
  private static final double LESS = 0.8;
  private static final double LEAST_PART = 0.25;
  private static final double MORE_EACH_SECOND = 0.04;

  /** What is refused within this was sent before the rate was lowered. */
  private static final Span SETTLES = Span.seconds(1);

  private final double changesPerS;
  private final Set<String> told = new HashSet<>();
  private int operations;
  private double valueLimit;

  /** The service has refused something: what it takes from then on tells what was the cause. */
  private boolean learning;

  private int takenOperations;
  private int takenValue;
  private double part = 1;
  private Time partAt = Time.LONG_AGO;
  private Time lessened = Time.LONG_AGO;

  /**
   * @param operations changes in one transaction
   * @param valueKb the largest value in KiB of JSON
   * @param changesPerS changes a second for all nodes together
   */
  public StateLimits(int operations, double valueKb, double changesPerS) {
    this.operations = Math.max(1, operations);
    this.valueLimit = valueKb * 1024;
    this.changesPerS = changesPerS;
  }

  /** The most changes of one transaction. */
  public int operations() {
    return operations;
  }

  /** The most conditions of one transaction. */
  public int conditions() {
    return CONDITIONS_PER_OPERATION * operations;
  }

  /** The most bytes of a value, in the JSON form, less a margin. */
  public int valueBytes() {
    return (int) (valueLimit * USED_PART);
  }

  /** Whether a value may be written, as far as is known. */
  public boolean fits(Body value) {
    return JsonSize.of(value) <= valueBytes();
  }

  /** Changes a second, for all nodes together. */
  public double changesPerS() {
    return changesPerS * part;
  }

  /** The part of its usual rate of changes that a node may use now. */
  double part(Time now) {
    if (part < 1) {
      part = Math.min(1, part + now.since(partAt).toSeconds() * MORE_EACH_SECOND);
    }
    partAt = now;
    return part;
  }

  /** Changes were refused for their rate. */
  void tooManyChanges(Time now) {
    part(now);
    if (now.since(lessened).longerThan(SETTLES)) {
      lessened = now;
      part = Math.max(LEAST_PART, part * LESS);
    }
  }

  /** A transaction was refused as one that will never be taken. */
  void refused(Txn txn) {
    int value = txn.largestValue();
    double ofOperations = txn.operations() / (double) operations;
    double ofValue = value / valueLimit;
    if (ofOperations > 1 || ofValue > 1) {
      // It was sent before the limits were lowered.
      return;
    }
    boolean operationsToo = txn.operations() > LEAST_OPERATIONS;
    boolean valueToo = value > LEAST_VALUE_BYTES;
    if (operationsToo && valueToo) {
      // What was taken since the last refusal is not the cause of this one.
      boolean operationsTaken = txn.operations() <= takenOperations;
      boolean valueTaken = value <= takenValue;
      boolean byShare = operationsTaken == valueTaken;
      operationsToo = byShare ? ofOperations >= ofValue : valueTaken;
    }
    learning = true;
    takenOperations = 0;
    takenValue = 0;
    if (operationsToo) {
      lowerOperations(txn.operations());
      tellLowered(txn, value);
    } else if (valueToo) {
      lowerValue(value);
      tellLowered(txn, value);
    } else {
      tellOnce(
          txn.mainKey(),
          "{} ({} changes, {} conditions, largest value {} bytes) is refused by the state service"
              + " and can't be made smaller; other writes go on, and it is tried again",
          txn.mainKey(),
          txn.writeCount(),
          txn.conditionCount(),
          value);
    }
  }

  /** A transaction was carried out; it only counts once one has been refused. */
  void taken(Txn txn) {
    if (learning) {
      takenOperations = Math.max(takenOperations, txn.operations());
      takenValue = Math.max(takenValue, txn.largestValue());
    }
  }

  private void lowerOperations(int refused) {
    while (operations > LEAST_OPERATIONS && refused <= operations) {
      operations = Math.max(LEAST_OPERATIONS, operations / 2);
    }
  }

  private void lowerValue(int refused) {
    while (valueLimit > LEAST_VALUE_BYTES && refused <= valueLimit) {
      valueLimit = Math.max(LEAST_VALUE_BYTES, valueLimit / 2);
    }
  }

  private void tellLowered(Txn txn, int value) {
    LOG.warn(
        "the state service refuses {} ({} changes, {} conditions, largest value {} bytes): from now"
            + " on values of up to {} bytes and {} changes a transaction are written",
        txn.mainKey(),
        txn.writeCount(),
        txn.conditionCount(),
        value,
        valueBytes(),
        operations);
  }

  /** The same value with as little left out of the beginning of a list as makes it fit. */
  public Body shortenedFromStart(Body value, String list) {
    Body out = new Body(new LinkedHashMap<>(value.fields()));
    List<Object> left =
        value.get(list) instanceof List<?> all ? new ArrayList<>(all) : new ArrayList<>();
    while (!left.isEmpty() && !fits(out)) {
      left.remove(0);
      out.with(list, left);
    }
    return out;
  }

  /** The same value with as little left out of the ends of these lists as makes it fit. */
  Body shortened(Body value, String... lists) {
    Body out = new Body(new LinkedHashMap<>(value.fields()));
    for (String name : lists) {
      List<Object> left =
          value.get(name) instanceof List<?> all ? new ArrayList<>(all) : new ArrayList<>();
      while (!left.isEmpty() && !fits(out)) {
        left.remove(left.size() - 1);
        out.with(name, left);
      }
    }
    return out;
  }

  /** A record is larger than may be written: said once. */
  void tooLarge(String key, int bytes, String done) {
    tellOnce(
        key, "{} takes {} bytes, of which {} may be written: {}", key, bytes, valueBytes(), done);
  }

  /** One line for each key, and not without bound. */
  private void tellOnce(String key, String line, Object... with) {
    if (told.size() < MOST_TOLD && told.add(key)) {
      LOG.warn(line, with);
    }
  }
}
