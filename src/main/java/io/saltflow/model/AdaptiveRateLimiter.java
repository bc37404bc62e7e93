package io.saltflow.model;

/**
 * A token bucket whose rate adapts: the rate is halved when the server rejects a request because of
 * its rate limit, and recovers linearly otherwise (additive increase, multiplicative decrease,
 * after Chiu and Jain, 1989). Clients that share one limit without coordination converge to even
 * shares.
 */
public final class AdaptiveRateLimiter {
  private static final double DECREASE_FACTOR = 0.5;

  /** Increase per second, as a fraction of the maximum rate. */
  private static final double INCREASE_PER_SECOND = 0.04;

  /** Time after a decrease in which rejections are attributed to requests sent before it. */
  private static final TimeSpan DECREASE_COOLDOWN = TimeSpan.seconds(1);

  private final double minPerSecond;
  private final double maxPerSecond;
  private double perSecond;
  private double tokens;
  private MonotonicTime lastRefill;
  private MonotonicTime decreasedAt = MonotonicTime.LONG_AGO;

  /**
   * Creates a limiter that starts at the maximum rate.
   *
   * @param minPerSecond lower bound of the rate, in requests per second
   * @param maxPerSecond upper bound of the rate, in requests per second
   */
  public AdaptiveRateLimiter(double minPerSecond, double maxPerSecond, MonotonicTime now) {
    this.minPerSecond = Math.max(0.1, Math.min(minPerSecond, maxPerSecond));
    this.maxPerSecond = Math.max(this.minPerSecond, maxPerSecond);
    this.perSecond = this.maxPerSecond;
    this.tokens = this.maxPerSecond;
    this.lastRefill = now;
  }

  /** Records that the server rejected a request; halves the rate at most once per cooldown. */
  public void onRejected(MonotonicTime now) {
    refill(now);
    if (now.since(decreasedAt).longerThan(DECREASE_COOLDOWN)) {
      decreasedAt = now;
      perSecond = Math.max(minPerSecond, perSecond * DECREASE_FACTOR);
      tokens = Math.min(tokens, perSecond);
    }
  }

  /** Takes one permit if available and returns whether it was taken. */
  public boolean tryAcquire(MonotonicTime now) {
    refill(now);
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  /** Returns the current rate, in requests per second. */
  public double rate() {
    return perSecond;
  }

  private void refill(MonotonicTime now) {
    double elapsedSeconds = now.since(lastRefill).toSeconds();
    lastRefill = now;
    perSecond =
        Math.min(maxPerSecond, perSecond + elapsedSeconds * INCREASE_PER_SECOND * maxPerSecond);
    tokens = Math.min(Math.max(1, perSecond), tokens + elapsedSeconds * perSecond);
  }
}
