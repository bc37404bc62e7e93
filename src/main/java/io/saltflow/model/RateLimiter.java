package io.saltflow.model;

/** A token bucket: permits accrue at a fixed rate up to a maximum burst. */
public final class RateLimiter {
  private double perSecond;
  private double burst;
  private double tokens;
  private MonotonicTime lastRefill;

  /** Creates a limiter that starts with a full bucket. */
  public RateLimiter(double perSecond, double burst, MonotonicTime now) {
    this.perSecond = Math.max(0.1, perSecond);
    this.burst = Math.max(this.perSecond, burst);
    this.tokens = this.burst;
    this.lastRefill = now;
  }

  /** Changes the rate and sets the burst to the permits of one second. */
  public void setRate(double newPerSecond, MonotonicTime now) {
    refill(now);
    perSecond = Math.max(0.1, newPerSecond);
    burst = perSecond;
    tokens = Math.min(tokens, burst);
  }

  /**
   * Takes the permits if available and returns whether they were taken. A request for more than one
   * second's permits succeeds once one second's permits are available.
   */
  public boolean tryAcquire(int permits, MonotonicTime now) {
    refill(now);
    if (tokens < Math.min(permits, perSecond)) {
      return false;
    }
    tokens -= permits;
    return true;
  }

  /** Returns whether {@link #tryAcquire} would succeed, without taking permits. */
  public boolean canAcquire(int permits, MonotonicTime now) {
    refill(now);
    return tokens >= Math.min(permits, perSecond);
  }

  /** Returns the number of whole permits that are available. */
  public int available(MonotonicTime now) {
    refill(now);
    return (int) Math.floor(tokens);
  }

  /** Takes permits unconditionally; the balance may drop to minus one second of permits. */
  public void forceAcquire(int permits, MonotonicTime now) {
    refill(now);
    tokens = Math.max(-perSecond, tokens - permits);
  }

  private void refill(MonotonicTime now) {
    tokens = Math.min(burst, tokens + now.since(lastRefill).toSeconds() * perSecond);
    lastRefill = now;
  }
}
