package io.saltflow.coordination;

import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;

/**
 * What a node may do by its election, as far as its own clock can tell. All is counted from when
 * the confirming request was sent, never from when its answer came.
 *
 * <p>The one place that decides who may renew a worker's lease, and with it the bound on a
 * cancelled job's tasks: <em>no answer that renews a lease is given by anyone later than {@link
 * #keepBound} after the newest moment by which every confirmed cancellation is certainly known to
 * the one who answers</em>. Whoever was cancelled later than that moment is gone with the lease,
 * within {@code cancel_s} of the confirmation, whatever the state service does meanwhile.
 */
public final class Authority {
  private static final Span MARGIN = Span.millis(100);
  private static final Span SYNC_FOR_LAUNCH = Span.seconds(5);

  private final Span leaderLease;
  private final Span keepAfterSync;
  private Term term = Term.NONE;
  private Stamp stamp = Stamp.ABSENT;
  private boolean leading;
  private Time renewed = Time.LONG_AGO;

  /**
   * Every cancellation confirmed before this is known here; long ago as long as none is known, as
   * is the case from an election until the jobs have been read.
   */
  private Time synced = Time.LONG_AGO;

  /** What was confirmed before this is not acted on: the process has stood still since. */
  private Time awakeSince = Time.LONG_AGO;

  public Authority(Span leaderLease, Span keepAfterSync) {
    this.leaderLease = leaderLease;
    this.keepAfterSync = keepAfterSync;
  }

  /** The bound that operators' settings and the protocol leave for keeping workers' leases. */
  public static Span keepBound(Span lease, Span cancel) {
    long ms = cancel.ms() - lease.certainlyElsewhere().ms() - 5000;
    return new Span(Math.max(0, ms));
  }

  /**
   * Elected. It knows of no cancellation before it has read the jobs. Counted from the claim, the
   * bounds of a leader and its successor added up where the state service went away between its
   * election and its reading, and a task outlived its cancellation by both; so did those of one
   * controller that was elected twice.
   */
  public void won(Term newTerm, Stamp leaderKey, Time leaseSent) {
    term = newTerm;
    stamp = leaderKey;
    leading = true;
    renewed = leaseSent;
    synced = Time.LONG_AGO;
  }

  public void renewed(Time sent) {
    renewed = Time.later(renewed, sent);
  }

  /** Every change made before this time has been seen, or was in what was read. */
  public void synced(Time sent) {
    synced = Time.later(synced, sent);
  }

  /**
   * This process stood still until now. Whatever it held to be true may be over, so nothing is
   * started, rented or returned until the state service has confirmed the lease once more; and
   * where the steady clock stood still as well, what was counted by it is older than it looks.
   */
  public void stoodStill(Span steadyStopped, Time now) {
    awakeSince = now;
    renewed = new Time(renewed.ms() - steadyStopped.ms());
    synced = new Time(synced.ms() - steadyStopped.ms());
  }

  /** When the last renewal was sent that was confirmed: nobody else was elected before. */
  public Time renewed() {
    return renewed;
  }

  public void lost() {
    leading = false;
  }

  public boolean leading() {
    return leading;
  }

  public Term term() {
    return term;
  }

  /** The version of the leader key that guards all of this leader's writes. */
  public Stamp stamp() {
    return stamp;
  }

  /** Nobody else can have been elected yet, and no cancel is older than the bound allows. */
  public boolean mayLaunch(Time now) {
    return leading
        && !renewed.before(awakeSince)
        && now.plus(MARGIN).before(renewed.plus(leaderLease.atLeastElsewhere()))
        && now.before(synced.plus(SYNC_FOR_LAUNCH));
  }

  /**
   * Workers may be answered with a 200, which renews their leases. In an outage that goes on to the
   * bound, so that their tasks live through it.
   */
  public boolean mayKeep(Time now) {
    return leading
        && (mayLaunch(now) || now.before(Time.earlier(renewed, synced).plus(keepAfterSync)));
  }

  /**
   * A rental of a leader that is none any more is found by its successor, and paid until then. In
   * an outage for all nobody else can be elected, and machines that are rented meanwhile are up
   * when it ends.
   */
  public boolean mayRent(boolean outageForAll, Time now) {
    return mayLaunch(now) || (outageForAll && mayKeep(now));
  }

  /**
   * A leader that is cut off sees only silence. Its deletes would be held back and carried out
   * minutes later, on machines that a successor is using.
   */
  public boolean mayReturn(Time now) {
    return mayLaunch(now);
  }
}
