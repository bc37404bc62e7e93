package io.saltflow.reachability;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;

/**
 * Detects whether the answers to one worker's heartbeats reach it. A single lost answer is normal;
 * the detector counts consecutive answers without evidence of arrival. Evidence is an adopted
 * fencing token, an executed command, or the next heartbeat in sequence at the same node in time: a
 * worker that receives no answer sends its next heartbeat, with the next number, to another node.
 *
 * <p>The result is a hint for placement and scale-in. It does not prove that a task has ended.
 */
public final class AnswerLossDetector {
  /** How long a worker waits for an answer (PROTOCOL, "Workers -> controller nodes"). */
  private static final TimeSpan ANSWER_TIMEOUT = TimeSpan.seconds(4);

  /** Number of consecutive lost answers after which the worker receives no more tasks. */
  private static final int LOSS_THRESHOLD = 2;

  /** Number after which the worker is not answered if that could renew a lease of unknown tasks. */
  private static final int CERTAIN_LOSS_THRESHOLD = 3;

  /**
   * Number of lost answers for which a lease expiry counts if heartbeats were answered within it.
   */
  private static final int LEASE_EXPIRY_WEIGHT = 2;

  private final TimeSpan lease;
  private final TimeSpan maxHeartbeatGap;
  private long answeredEpoch;
  private long answeredSequence;
  private boolean tokenWasSeen;
  private MonotonicTime answeredAt = MonotonicTime.LONG_AGO;
  private int lostAnswers;
  private MonotonicTime lossSince = MonotonicTime.NEVER;

  /**
   * Creates a detector that has seen no heartbeat.
   *
   * @param heartbeatInterval interval at which workers send heartbeats
   * @param lease time for which an answer lets a worker keep its tasks
   */
  public AnswerLossDetector(TimeSpan heartbeatInterval, TimeSpan lease) {
    this.lease = lease;
    TimeSpan tolerated = heartbeatInterval.times(1.25).plus(TimeSpan.millis(500));
    this.maxHeartbeatGap = tolerated.longerThan(ANSWER_TIMEOUT) ? tolerated : ANSWER_TIMEOUT;
  }

  /** Records that the heartbeat with this epoch and sequence number is being answered. */
  public void onAnswered(
      long agentEpoch, long heartbeatSequence, boolean tokenSeen, MonotonicTime now) {
    answeredEpoch = agentEpoch;
    answeredSequence = heartbeatSequence;
    tokenWasSeen = tokenSeen;
    answeredAt = now;
  }

  /**
   * Evaluates a newer heartbeat.
   *
   * @param answersMayBeLate whether this controller may have answered too late, in which case no
   *     loss is counted
   */
  public void onHeartbeat(AnswerEvidence evidence, boolean answersMayBeLate, MonotonicTime now) {
    if (answeredAt.equals(MonotonicTime.LONG_AGO)) {
      return;
    }
    TimeSpan gap = now.since(answeredAt);
    boolean sameEpoch = evidence.agentEpoch() == answeredEpoch;
    boolean consecutive = sameEpoch && evidence.heartbeatSequence() == answeredSequence + 1;
    if (evidence.launches() == AnswerEvidence.LaunchOutcome.CARRIED_OUT
        || (evidence.tokenSeen() && !tokenWasSeen)) {
      reset();
    } else if (evidence.launches() == AnswerEvidence.LaunchOutcome.NOT_LISTED
        || !evidence.tokenSeen()
        || !sameEpoch
        || !consecutive) {
      // Delayed copies of old heartbeats arrive within less than the worker's answer timeout, and
      // are no evidence of a lost answer.
      if (!answersMayBeLate && gap.compareTo(ANSWER_TIMEOUT) >= 0) {
        countLost(!sameEpoch && gap.compareTo(lease) < 0 ? LEASE_EXPIRY_WEIGHT : 1, now);
      }
    } else if (gap.compareTo(maxHeartbeatGap) < 0) {
      reset();
    }
  }

  private void countLost(int weight, MonotonicTime now) {
    lostAnswers += weight;
    if (lostAnswers >= LOSS_THRESHOLD && lossSince.equals(MonotonicTime.NEVER)) {
      lossSince = now;
    }
  }

  private void reset() {
    lostAnswers = 0;
    lossSince = MonotonicTime.NEVER;
  }

  /** Returns whether enough consecutive answers were lost to stop placing tasks on the worker. */
  public boolean answersLost() {
    return lostAnswers >= LOSS_THRESHOLD;
  }

  /**
   * Returns whether enough answers were lost to stop answering and let the worker's lease expire.
   */
  public boolean answersCertainlyLost() {
    return lostAnswers >= CERTAIN_LOSS_THRESHOLD;
  }

  /** Returns when loss was detected, or {@link MonotonicTime#NEVER} if answers are not lost. */
  public MonotonicTime lossSince() {
    return lossSince;
  }
}
