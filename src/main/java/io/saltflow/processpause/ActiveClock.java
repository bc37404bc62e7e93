package io.saltflow.processpause;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;

/**
 * Measures the time in which a process ran, by the monotonic clock less the gaps between samples in
 * which the process did not run. A timeout by this clock does not count time in which the process
 * could not have seen the event that it waits for.
 */
public final class ActiveClock {
  /** Minimum length of a gap. Shorter ones occur under load and are counted as active time. */
  static final TimeSpan MIN_GAP = TimeSpan.millis(500);

  private MonotonicTime lastSample;
  private TimeSpan plannedWait = TimeSpan.millis(0);
  private TimeSpan paused = TimeSpan.millis(0);

  /** Creates a clock that starts at the given time. */
  public ActiveClock(MonotonicTime now) {
    lastSample = now;
  }

  /** Announces that the process will wait for up to this long before the next sample. */
  public void planWait(TimeSpan wait) {
    plannedWait = wait;
  }

  /** Samples the monotonic clock and returns the active time, which never goes back. */
  public MonotonicTime sample(MonotonicTime now) {
    TimeSpan gap = now.since(lastSample).minus(plannedWait);
    if (!MIN_GAP.longerThan(gap)) {
      paused = paused.plus(gap);
    }
    lastSample = now;
    plannedWait = TimeSpan.millis(0);
    return new MonotonicTime(now.ms() - paused.ms());
  }

  /** Returns the total length of the gaps so far. */
  public TimeSpan pausedTime() {
    return paused;
  }
}
