package io.saltflow.controller;

import io.saltflow.deadlines.ClockAgreement;
import io.saltflow.model.TimeSpan;
import io.saltflow.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Wall clock of this node in milliseconds since the epoch, moved forward if the other controllers
 * agree that it is behind. Not thread-safe: used on the event loop's thread.
 */
final class CorrectedWallClock {
  private static final Logger LOG = LoggerFactory.getLogger(CorrectedWallClock.class);

  /**
   * Tolerance in addition to twice the clock skew, since a delayed heartbeat makes its sender's
   * clock look slow.
   */
  private static final TimeSpan DIVERGENCE_MARGIN = TimeSpan.seconds(30);

  private final EventLoop loop;
  private final PeerTable peers;
  private final long toleranceMs;
  private long correctionMs;

  /**
   * @param skew the largest deviation of a wall clock from true time, in either direction
   */
  CorrectedWallClock(EventLoop loop, PeerTable peers, TimeSpan skew) {
    this.loop = loop;
    this.peers = peers;
    this.toleranceMs = 2 * skew.ms() + DIVERGENCE_MARGIN.ms();
  }

  /** Returns the current time with the correction of the last {@link #update}. */
  long nowMs() {
    return System.currentTimeMillis() + correctionMs;
  }

  /** Recomputes the correction from the peers' clocks and returns the corrected time. */
  long update() {
    long correction = ClockAgreement.correction(peers.clockLeadsMs(), toleranceMs);
    if ((correction == 0) != (correctionMs == 0)) {
      LOG.warn(
          correction == 0
              ? "wall clock agrees with the other controllers again"
              : "wall clock is {} ms behind the other controllers, using their time",
          correction);
    }
    correctionMs = correction;
    return loop.wallClockMs() + correction;
  }
}
