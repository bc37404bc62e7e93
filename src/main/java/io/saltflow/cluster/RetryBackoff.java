package io.saltflow.cluster;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;

/**
 * Exponential backoff between the retries of a defective job, which fails wherever it is started.
 * Retries run one at a time, and the delay doubles after each failed retry up to a maximum.
 */
final class RetryBackoff {
  private static final TimeSpan INITIAL_DELAY = TimeSpan.seconds(4);
  private static final TimeSpan MAX_DELAY = TimeSpan.seconds(60);

  private boolean active;
  private TimeSpan delay = INITIAL_DELAY;
  private MonotonicTime nextRetryAt = MonotonicTime.LONG_AGO;

  /** Starts the backoff, or ends it once the job is no longer considered defective. */
  void setActive(boolean isActive, MonotonicTime now) {
    active = isActive;
    delay = INITIAL_DELAY;
    nextRetryAt = now.plus(delay);
  }

  /** Returns whether the job is considered defective. */
  boolean isActive() {
    return active;
  }

  /**
   * Doubles the delay after a failed retry. Failures before the next retry is due are ignored,
   * because those tasks started earlier.
   */
  void onFailure(MonotonicTime now) {
    if (active && !now.before(nextRetryAt)) {
      delay = TimeSpan.millis(Math.min(MAX_DELAY.ms(), delay.times(2).ms()));
      nextRetryAt = now.plus(delay);
    }
  }

  /** Returns whether the next retry is due. */
  boolean isDue(MonotonicTime now) {
    return !now.before(nextRetryAt);
  }
}
