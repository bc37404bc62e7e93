package io.saltflow.reachability;

import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;

/**
 * Detects whether the answers to one worker's reports reach it. One answer may always be lost; what
 * counts is several in a row without a sign of one that came. A sign is a token that was taken, an
 * order that was carried out, or the next report, by its number, at the same node in time: a worker
 * without an answer turns to the next node, and its reports there are counted too.
 *
 * <p>Nothing is proven by it: it says where not to place work and whom to give back, never that a
 * task is gone.
 */
public final class Hearing {
  /** How long a worker waits for an answer (PROTOCOL, "Workers -> controller nodes"). */
  private static final Span PATIENCE = Span.seconds(4);

  /** So many answers in vain, in a row, and the worker is given nothing more. */
  private static final int DEAF_AFTER = 2;

  /** So many, and it is not answered while that keeps alive what nobody knows of. */
  private static final int SURELY_AFTER = 3;

  /** A lease that ran out although reports were answered within it says more than one answer. */
  private static final int LEASE_IN_VAIN = 2;

  private final Span lease;
  private final Span longestPause;
  private long session;
  private long sequence;
  private boolean knewToken;
  private Time answeredAt = Time.LONG_AGO;
  private int inVain;
  private Time deafSince = Time.NEVER;

  /**
   * @param report how often workers report
   * @param lease how long a worker lives by an answer
   */
  public Hearing(Span report, Span lease) {
    this.lease = lease;
    Span late = report.times(1.25).plus(Span.millis(500));
    this.longestPause = late.longerThan(PATIENCE) ? late : PATIENCE;
  }

  /** Its report of that number is answered now. */
  public void answered(long ofSession, long ofSequence, boolean tokenSeen, Time now) {
    session = ofSession;
    sequence = ofSequence;
    knewToken = tokenSeen;
    answeredAt = now;
  }

  /**
   * A newer report has come.
   *
   * @param ownFault whether answers may have been late on our side: then nothing is held against it
   */
  public void reported(Next next, boolean ownFault, Time now) {
    if (answeredAt.equals(Time.LONG_AGO)) {
      return;
    }
    Span pause = now.since(answeredAt);
    boolean sameSession = next.session() == session;
    boolean atOnce = sameSession && next.sequence() == sequence + 1;
    if (next.launches() == Next.Launches.CARRIED_OUT || (next.tokenSeen() && !knewToken)) {
      heard();
    } else if (next.launches() == Next.Launches.NOT_LISTED
        || !next.tokenSeen()
        || !sameSession
        || !atOnce) {
      // Copies of old reports come in a burst, or one after the other in less than a worker waits:
      // nobody has waited in vain for an answer to them.
      if (!ownFault && pause.compareTo(PATIENCE) >= 0) {
        vain(!sameSession && pause.compareTo(lease) < 0 ? LEASE_IN_VAIN : 1, now);
      }
    } else if (pause.compareTo(longestPause) < 0) {
      heard();
    }
  }

  private void vain(int weight, Time now) {
    inVain += weight;
    if (inVain >= DEAF_AFTER && deafSince.equals(Time.NEVER)) {
      deafSince = now;
    }
  }

  private void heard() {
    inVain = 0;
    deafSince = Time.NEVER;
  }

  /** Whether it does not hear, by all that can be seen. */
  public boolean deaf() {
    return inVain >= DEAF_AFTER;
  }

  /** The same with one more answer in vain: its lease is let run out where that is a proof. */
  public boolean surelyDeaf() {
    return inVain >= SURELY_AFTER;
  }

  /** Since when; {@link Time#NEVER}: it hears. */
  public Time deafSince() {
    return deafSince;
  }
}
