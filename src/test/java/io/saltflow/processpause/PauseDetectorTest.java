package io.saltflow.processpause;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import org.junit.jupiter.api.Test;

/** Tests the detection of pauses from differences between the two clocks. */
class PauseDetectorTest {
  private final PauseDetector detector = new PauseDetector(TimeSpan.millis(250));
  private long monotonicMs = 1_000_000;
  private long wallMs = 1_700_000_000_000L;

  private ProcessPause sampleAfter(double monotonicSeconds, double wallSeconds) {
    monotonicMs += Math.round(monotonicSeconds * 1000);
    wallMs += Math.round(wallSeconds * 1000);
    return detector.sample(new MonotonicTime(monotonicMs), wallMs);
  }

  @Test
  void runningProcessReportsNoPause() {
    assertNull(sampleAfter(0, 0), "first sample");
    assertNull(sampleAfter(1, 1));
    assertNull(sampleAfter(1.9, 1.9), "sample interval plus processing time");
    assertNull(sampleAfter(1, 3.4), "wall clock moved within its skew");
    assertNull(sampleAfter(1, -3600), "wall clock set back");
  }

  @Test
  void pauseReportsWhetherMonotonicClockStopped() {
    sampleAfter(0, 0);
    ProcessPause frozen = sampleAfter(13, 13.1);
    assertEquals(
        "process paused for 13.1 s (monotonic clock kept running, wall clock advanced 13.1 s)",
        frozen.toString());
    assertEquals(new TimeSpan(0), frozen.monotonicDeficit());
    ProcessPause suspended = sampleAfter(0.4, 90.4);
    assertEquals(
        "process paused for 90.4 s (monotonic clock stopped for 90.0 s)", suspended.toString());
    assertEquals(TimeSpan.seconds(90), suspended.monotonicDeficit());
    assertNull(sampleAfter(1, 1), "no further pause");
  }
}
