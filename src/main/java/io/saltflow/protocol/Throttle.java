package io.saltflow.protocol;

/**
 * A rate that gives way: it is halved when the other side says that too much is asked of it, and
 * grows back while it does not (additive increase, multiplicative decrease, after Chiu and Jain).
 * Several that share one limit without knowing of each other come to share it evenly.
 */
public final class Throttle {
  private static final double DOWN = 0.5;

  /** In parts of the most, each second. */
  private static final double UP = 0.04;

  /** What is refused within this was asked for before the rate was brought down. */
  private static final Span SETTLES = Span.seconds(1);

  private final double least;
  private final double most;
  private double perSecond;
  private double tokens;
  private Time last;
  private Time brought = Time.LONG_AGO;

  /**
   * @param least requests a second that are always allowed
   * @param most requests a second, and where it begins
   */
  public Throttle(double least, double most, Time now) {
    this.least = Math.max(0.1, Math.min(least, most));
    this.most = Math.max(this.least, most);
    this.perSecond = this.most;
    this.tokens = this.most;
    this.last = now;
  }

  /** Too much was asked for. */
  public void refused(Time now) {
    refill(now);
    if (now.since(brought).longerThan(SETTLES)) {
      brought = now;
      perSecond = Math.max(least, perSecond * DOWN);
      tokens = Math.min(tokens, perSecond);
    }
  }

  public boolean take(Time now) {
    refill(now);
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  /** Requests a second. */
  public double rate() {
    return perSecond;
  }

  private void refill(Time now) {
    double s = now.since(last).toSeconds();
    last = now;
    perSecond = Math.min(most, perSecond + s * UP * most);
    tokens = Math.min(Math.max(1, perSecond), tokens + s * perSecond);
  }
}
