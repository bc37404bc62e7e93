package io.saltflow.records;

import io.saltflow.model.Revision;
import io.saltflow.priority.Lane;
import io.saltflow.priority.OperatorOverride;
import io.saltflow.priority.QueueOrderInputs;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.store.StoreLimits;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Encodes and decodes the records that determine the queue order in addition to the job records:
 * operators' overrides and the inputs of the queue order. Earlier builds never read them; a later
 * leader restores the order from them.
 */
public final class QueueOrderCodec {
  private static final String LANE = "lane";
  private static final String CORES = "cores";
  private static final String CORRECTIONS = "corrections";
  private static final String SHORTEST_FIRST = "soonest";

  private QueueOrderCodec() {}

  /**
   * Encodes an operator's override.
   *
   * @param lane lane to which the job moves, or {@code null} for the front of its present lane
   */
  public static MessageBody encode(Lane lane) {
    return MessageBody.of().with(LANE, lane == null ? null : List.of(lane.rank(), lane.name()));
  }

  /**
   * Decodes an operator's override.
   *
   * @param revision revision of the override's key, which orders the jobs moved to the front
   */
  public static OperatorOverride decode(MessageBody body, Revision revision) {
    Lane lane = JobRecordCodec.decodeLane(body.get(LANE), null);
    return new OperatorOverride(lane, lane == null ? revision.number() : 0);
  }

  /** Encodes the inputs of the queue order, without regard to limits. */
  public static MessageBody encode(QueueOrderInputs inputs) {
    return MessageBody.of()
        .with(CORES, inputs.fleetCores())
        .with(CORRECTIONS, new TreeMap<String, Object>(inputs.estimateCorrections()))
        .with(SHORTEST_FIRST, new ArrayList<>(inputs.shortestFirstClasses()));
  }

  /**
   * Encodes the inputs of the queue order within the limits. If needed, drops the least significant
   * corrections, which are learned again.
   */
  public static MessageBody encode(QueueOrderInputs inputs, StoreLimits limits) {
    Map<String, Double> corrections = new TreeMap<>(inputs.estimateCorrections());
    List<String> leastSignificantFirst = new ArrayList<>(corrections.keySet());
    leastSignificantFirst.sort(
        Comparator.comparingDouble(
            jobClass -> Math.abs(Math.log(inputs.estimateCorrection(jobClass)))));
    MessageBody value = limits.truncated(encode(inputs), SHORTEST_FIRST);
    for (String jobClass : leastSignificantFirst) {
      if (limits.fits(value)) {
        break;
      }
      corrections.remove(jobClass);
      value.with(CORRECTIONS, new TreeMap<String, Object>(corrections));
    }
    return value;
  }

  /** Decodes the inputs of the queue order. */
  public static QueueOrderInputs decode(MessageBody body) throws InvalidMessageException {
    Map<String, Double> corrections = new TreeMap<>();
    MessageBody classes = body.map(CORRECTIONS);
    for (String jobClass : classes.fields().keySet()) {
      corrections.put(jobClass, classes.nonNegativeNumber(jobClass));
    }
    return new QueueOrderInputs(
        body.nonNegativeNumber(CORES), corrections, new TreeSet<>(body.texts(SHORTEST_FIRST)));
  }
}
