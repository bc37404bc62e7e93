package io.saltflow.protocol;

/** A rate that is kept by waiting: so many a second, with a burst of so many at once. */
public final class Budget {
  private double perSecond;
  private double burst;
  private double tokens;
  private Time last;

  public Budget(double perSecond, double burst, Time now) {
    this.perSecond = Math.max(0.1, perSecond);
    this.burst = Math.max(this.perSecond, burst);
    this.tokens = this.burst;
    this.last = now;
  }

  /** Another rate holds from now on, with a burst of one second. */
  public void rate(double newPerSecond, Time now) {
    refill(now);
    perSecond = Math.max(0.1, newPerSecond);
    burst = perSecond;
    tokens = Math.min(tokens, burst);
  }

  /** Takes n if they are there. A debt is allowed for what must not wait. */
  public boolean take(int n, Time now) {
    refill(now);
    if (tokens < Math.min(n, perSecond)) {
      return false;
    }
    tokens -= n;
    return true;
  }

  public boolean has(int n, Time now) {
    refill(now);
    return tokens >= Math.min(n, perSecond);
  }

  /** How many could be taken now. */
  public int whole(Time now) {
    refill(now);
    return (int) Math.floor(tokens);
  }

  public void takeAnyway(int n, Time now) {
    refill(now);
    tokens = Math.max(-perSecond, tokens - n);
  }

  private void refill(Time now) {
    tokens = Math.min(burst, tokens + now.since(last).toSeconds() * perSecond);
    last = now;
  }
}
