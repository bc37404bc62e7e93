package io.saltflow.cluster;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.WorkerHeartbeat;
import io.saltflow.reachability.AnswerLossDetector;

/**
 * The state of one machine's worker according to its heartbeats: its agent epoch, the newest
 * sequence number, the times of the last heartbeat and the last answer, and whether answers reach
 * it.
 */
public final class HeartbeatState {
  private String address = "";
  private long agentEpoch;
  private long sequence;
  private MonotonicTime lastHeartbeatAt = MonotonicTime.LONG_AGO;
  private MonotonicTime lastAnsweredAt = MonotonicTime.LONG_AGO;
  private AnswerLossDetector answerLossDetector;

  /** Updates the state from a newer heartbeat. */
  public void onHeartbeat(WorkerHeartbeat heartbeat, MonotonicTime now) {
    agentEpoch = heartbeat.agentEpoch();
    sequence = heartbeat.sequence();
    lastHeartbeatAt = now;
    address = heartbeat.address();
  }

  /** Returns the address that the worker reported, or an empty string if it reported none. */
  public String address() {
    return address;
  }

  /** Returns the agent epoch of the newest heartbeat, or 0 if there was none. */
  public long agentEpoch() {
    return agentEpoch;
  }

  /** Returns the sequence number of the newest heartbeat within its agent epoch. */
  public long sequence() {
    return sequence;
  }

  /** Returns the arrival time of the last heartbeat. */
  public MonotonicTime lastHeartbeatAt() {
    return lastHeartbeatAt;
  }

  /**
   * Returns the arrival time of the last answered heartbeat, from which the worker's lease is
   * counted.
   */
  public MonotonicTime lastAnsweredAt() {
    return lastAnsweredAt;
  }

  /** Sets the arrival time of the last answered heartbeat. */
  public void setLastAnsweredAt(MonotonicTime time) {
    lastAnsweredAt = time;
  }

  /** Returns the detector of lost answers, or {@code null} before the first heartbeat. */
  public AnswerLossDetector answerLossDetector() {
    return answerLossDetector;
  }

  /** Sets the detector of lost answers. */
  public void setAnswerLossDetector(AnswerLossDetector detector) {
    answerLossDetector = detector;
  }

  /** Returns whether heartbeats arrive while the answers to them are lost. */
  public boolean answersLost() {
    return answerLossDetector != null && answerLossDetector.answersLost();
  }

  /** Returns the time at which the worker was last known to be reachable in both directions. */
  public MonotonicTime lastHealthyAt() {
    return answersLost()
        ? MonotonicTime.earlier(lastHeartbeatAt, answerLossDetector.lossSince())
        : lastHeartbeatAt;
  }
}
