package io.saltflow.lanes;

import io.saltflow.protocol.JobId;

/**
 * What decides on a job's place in the order.
 *
 * @param moved by an operator; null: not
 * @param arrivedMs the time of day that was recorded when it was accepted
 * @param leftCoreS what of it is left to do by its owner's estimate and the recorded progress, in
 *     core-seconds
 * @param pushed its number among those that are pushed for a morning, as it is recorded; as large
 *     as can be: it is not
 * @param pressed its time is running out
 * @param guaranteed it lies within its team's guarantee
 * @param failing it fails wherever it is started
 * @param stays its place in its class is not given to one that can end sooner, nor does it take one
 */
public record Standing(
    JobId id,
    String jobClass,
    Lane lane,
    Place place,
    Moved moved,
    long arrivedMs,
    double leftCoreS,
    int pushed,
    boolean pressed,
    boolean guaranteed,
    boolean failing,
    boolean stays) {
  Lane queuesIn() {
    return moved == null || moved.lane() == null ? lane : moved.lane();
  }

  long front() {
    return moved == null ? 0 : moved.front();
  }
}
