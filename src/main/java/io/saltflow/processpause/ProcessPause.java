package io.saltflow.processpause;

import io.saltflow.model.TimeSpan;
import java.util.Locale;

/**
 * An interval in which this process did not run, because it was frozen, its machine was suspended,
 * or it was not scheduled on a processor.
 *
 * @param monotonicElapsed length by the monotonic clock, which times leases
 * @param wallElapsed length by the wall clock
 * @param monotonicDeficit time by which the monotonic clock fell behind the wall clock, and thus
 *     underestimates elapsed times; 0 if it is within the permitted skew
 */
public record ProcessPause(
    TimeSpan monotonicElapsed, TimeSpan wallElapsed, TimeSpan monotonicDeficit) {
  /** Returns the length by the clock that advanced further. */
  public TimeSpan length() {
    return monotonicElapsed.longerThan(wallElapsed) ? monotonicElapsed : wallElapsed;
  }

  @Override
  public String toString() {
    String clocks =
        monotonicDeficit.ms() > 0
            ? "monotonic clock stopped for %.1f s"
            : "monotonic clock kept running, wall clock advanced %.1f s";
    return String.format(
        Locale.ROOT,
        "process paused for %.1f s (" + clocks + ")",
        length().toSeconds(),
        monotonicDeficit.ms() > 0 ? monotonicDeficit.toSeconds() : wallElapsed.toSeconds());
  }
}
