package io.saltflow.admission;

import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.Set;

/**
 * Decides whether a job may be reported as live although it may depend on a cancelled job. A
 * dependent job must be reported as cancelled within {@code cancel_s} after the cancellation was
 * confirmed. The leader normally records that within seconds. It may be late after an outage,
 * without a leader, or with a leader whose version does not support dependencies. In these cases
 * the records are checked, and no job is reported as live until the check has finished.
 *
 * <p>Pure: time is passed in. The invariant concerns {@link #cascadedUntil}: for each cancellation
 * that was confirmed before that time, all dependent jobs are either recorded as cancelled or among
 * the orphans, which are not reported as live.
 */
public final class CascadeBarrier {
  /** Time after which an active leader has recorded the cancellation of all dependents. */
  private static final TimeSpan LEADER_SETTLING_TIME = TimeSpan.seconds(5);

  /** After a longer gap without such a leader, the records must be checked. */
  private static final TimeSpan MAX_LEADER_GAP = TimeSpan.seconds(10);

  /** Upper bound of the time from reading a record until the user receives the answer. */
  private static final TimeSpan ANSWER_MARGIN = TimeSpan.seconds(5);

  /** Interval between two ticks that indicates a process pause. */
  private static final TimeSpan PAUSE_THRESHOLD = TimeSpan.seconds(5);

  private static final TimeSpan CHECK_INTERVAL = TimeSpan.seconds(2);

  /** Keeps status polls unanswered for less than the 90 s after which a job counts as lost. */
  private static final TimeSpan MAX_WITHHOLDING_TIME = TimeSpan.seconds(60);

  private final TimeSpan maxLag;
  private MonotonicTime cascadedUntil = MonotonicTime.LONG_AGO;
  private MonotonicTime leaderCancelsSince = MonotonicTime.NEVER;
  private MonotonicTime withheldSince = MonotonicTime.NEVER;
  private MonotonicTime lastTick = MonotonicTime.LONG_AGO;
  private MonotonicTime lastCheck = MonotonicTime.LONG_AGO;
  private boolean checking;
  private Set<JobId> orphans = Set.of();

  /**
   * Creates a barrier that reports no job as live before the first check.
   *
   * @param cancelTimeout time within which a dependent of a cancelled job must be reported as
   *     cancelled
   */
  public CascadeBarrier(TimeSpan cancelTimeout) {
    maxLag =
        ANSWER_MARGIN.longerThan(cancelTimeout)
            ? new TimeSpan(0)
            : cancelTimeout.minus(ANSWER_MARGIN);
  }

  /**
   * Updates the state from what is reachable now. Must be called several times a second.
   *
   * @param storeAvailable whether the key-value store answers this node
   * @param leaderCancels whether the store is available and a reachable leader cascades
   *     cancellations to dependent jobs
   */
  public void tick(boolean storeAvailable, boolean leaderCancels, MonotonicTime now) {
    if (!leaderCancels) {
      leaderCancelsSince = MonotonicTime.NEVER;
    } else if (leaderCancelsSince == MonotonicTime.NEVER) {
      leaderCancelsSince = now;
    }
    boolean settled =
        leaderCancels && !LEADER_SETTLING_TIME.longerThan(now.since(leaderCancelsSince));
    if (settled && !isBehind(MAX_LEADER_GAP, now)) {
      cascadedUntil = new MonotonicTime(now.ms() - LEADER_SETTLING_TIME.ms());
    }
    // No query was refused during a process pause, so that time does not count as withheld.
    boolean paused = now.since(lastTick).longerThan(PAUSE_THRESHOLD);
    lastTick = now;
    if (!storeAvailable || !isBehind(maxLag, now)) {
      withheldSince = MonotonicTime.NEVER;
    } else if (withheldSince == MonotonicTime.NEVER || paused) {
      withheldSince = now;
    }
  }

  private boolean isBehind(TimeSpan maximum, MonotonicTime now) {
    return now.since(cascadedUntil).longerThan(maximum);
  }

  /** Returns whether the records should be checked now. */
  public boolean checkDue(MonotonicTime now) {
    boolean due = !CHECK_INTERVAL.longerThan(now.since(lastCheck));
    return !checking && due && (isBehind(MAX_LEADER_GAP, now) || !orphans.isEmpty());
  }

  /** Records that a check of the records has started. */
  public void onCheckStarted(MonotonicTime now) {
    checking = true;
    lastCheck = now;
  }

  /**
   * Records the result of a check, which is valid for the time at which the check started.
   *
   * @param foundOrphans live jobs that depend on cancelled ones, or {@code null} if the check
   *     failed
   */
  public void onCheckFinished(Set<JobId> foundOrphans) {
    checking = false;
    if (foundOrphans != null) {
      orphans = Set.copyOf(foundOrphans);
      if (cascadedUntil.before(lastCheck)) {
        cascadedUntil = lastCheck;
      }
      withheldSince = MonotonicTime.NEVER;
    }
  }

  /** Returns whether a job whose record is live may be reported as live. */
  public boolean mayReportLive(JobId id, MonotonicTime now) {
    if (orphans.contains(id)) {
      return false;
    }
    boolean tooLong =
        withheldSince != MonotonicTime.NEVER
            && now.since(withheldSince).longerThan(MAX_WITHHOLDING_TIME);
    return tooLong || !isBehind(maxLag, now);
  }
}
