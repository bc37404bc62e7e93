package io.saltflow.processpause;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;

/**
 * Detects process pauses by sampling two clocks at least every {@link #SAMPLE_INTERVAL}.
 *
 * <p>The monotonic clock alone is not sufficient: it may stop while a virtual machine is suspended,
 * so that leases appear valid after they have expired. The wall clock is corrected on resumption
 * and reveals such a pause. Since it may also be adjusted for other reasons, its result is only
 * used conservatively: it must not cause an expiry or a start.
 */
public final class PauseDetector {
  /** Maximum interval between two samples of a running process. */
  public static final TimeSpan SAMPLE_INTERVAL = TimeSpan.seconds(1);

  /**
   * Minimum length of a reported pause. Shorter ones are normal under load on a shared core, and do
   * not exceed the time that users wait for the answer to a poll.
   */
  static final TimeSpan MIN_PAUSE = TimeSpan.seconds(2);

  private final TimeSpan wallClockSkew;
  private boolean sampled;
  private MonotonicTime lastMonotonic = MonotonicTime.LONG_AGO;
  private long lastWallMs;

  /**
   * Creates a detector without samples.
   *
   * @param wallClockSkew maximum deviation of the wall clock from the true time, in either
   *     direction
   */
  public PauseDetector(TimeSpan wallClockSkew) {
    this.wallClockSkew = wallClockSkew;
  }

  /**
   * Samples both clocks.
   *
   * @param wallMs the wall clock in milliseconds since the epoch
   * @return the pause that has just ended, or {@code null} if there was none
   */
  public ProcessPause sample(MonotonicTime monotonicNow, long wallMs) {
    TimeSpan monotonicElapsed = sampled ? monotonicNow.since(lastMonotonic) : new TimeSpan(0);
    TimeSpan wallElapsed = sampled ? TimeSpan.millis(wallMs - lastWallMs) : new TimeSpan(0);
    sampled = true;
    lastMonotonic = monotonicNow;
    lastWallMs = wallMs;
    // The wall clock may have moved from one end of its skew to the other.
    TimeSpan unexplained = wallElapsed.minus(monotonicElapsed).minus(wallClockSkew.times(2));
    boolean monotonicStopped = !MIN_PAUSE.longerThan(unexplained);
    if (!monotonicStopped && MIN_PAUSE.longerThan(monotonicElapsed)) {
      return null;
    }
    return new ProcessPause(
        monotonicElapsed,
        wallElapsed,
        monotonicStopped ? wallElapsed.minus(monotonicElapsed) : new TimeSpan(0));
  }
}
