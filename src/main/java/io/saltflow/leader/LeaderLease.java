package io.saltflow.leader;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;

/**
 * Leader lease: decides from this controller's monotonic clock which actions its election permits.
 * All durations count from when the confirming request was sent, never from when its response
 * arrived.
 *
 * <p>Only this class decides who may renew a worker's lease, which bounds how long tasks of a
 * cancelled job may run: <em>no controller sends a response that renews a lease later than {@link
 * #workerRenewalBound} after the latest moment by which it certainly knows every confirmed
 * cancellation</em>. The tasks of a job that is cancelled after that moment end with the lease,
 * within {@code cancel_s} of the confirmation, regardless of the key-value store.
 */
public final class LeaderLease {
  /** Time allowed between the check of the lease and the action that it permits. */
  private static final TimeSpan SAFETY_MARGIN = TimeSpan.millis(100);

  private static final TimeSpan MAX_SYNC_AGE_FOR_LAUNCH = TimeSpan.seconds(5);

  /**
   * Part of the cancellation time that is reserved for delivery to the leader and to the worker.
   */
  private static final TimeSpan CANCELLATION_DELIVERY_TIME = TimeSpan.seconds(5);

  private final TimeSpan leaderLease;
  private final TimeSpan renewalAfterSync;
  private Term term = Term.NONE;
  private Revision leaderKeyRevision = Revision.ABSENT;
  private boolean isLeader;
  private MonotonicTime renewedAt = MonotonicTime.LONG_AGO;

  /**
   * Time before which every confirmed cancellation is known to this controller. Its value is {@link
   * MonotonicTime#LONG_AGO} from an election until the jobs have been read.
   */
  private MonotonicTime syncedAt = MonotonicTime.LONG_AGO;

  /** End of the last process pause. Launches require a lease renewal sent at or after this time. */
  private MonotonicTime resumedAt = MonotonicTime.LONG_AGO;

  /**
   * Creates a lease that is not held yet.
   *
   * @param leaderLease how long the leader key exists without a renewal
   * @param renewalAfterSync how long worker leases are renewed after the last synchronization of
   *     the jobs ({@link #workerRenewalBound})
   */
  public LeaderLease(TimeSpan leaderLease, TimeSpan renewalAfterSync) {
    this.leaderLease = leaderLease;
    this.renewalAfterSync = renewalAfterSync;
  }

  /**
   * Returns how long a leader may renew worker leases after the last synchronization of the jobs,
   * or zero if the settings leave no time for that.
   *
   * @param lease the duration of a worker's lease
   * @param cancel the time within which the tasks of a cancelled job must end
   */
  public static TimeSpan workerRenewalBound(TimeSpan lease, TimeSpan cancel) {
    long ms = cancel.ms() - lease.maximumOnRemoteClock().ms() - CANCELLATION_DELIVERY_TIME.ms();
    return new TimeSpan(Math.max(0, ms));
  }

  /**
   * Starts a term. No cancellation counts as known until the jobs have been read. If the time
   * counted from the election, the renewal bounds of a leader and its successor would add up when
   * the key-value store becomes unavailable between election and reading, and a task could outlive
   * its cancellation by both. The same holds for one controller that is elected twice.
   *
   * @param leaseRequestedAt when the request that won the election was sent
   */
  public void onElected(Term newTerm, Revision keyRevision, MonotonicTime leaseRequestedAt) {
    term = newTerm;
    leaderKeyRevision = keyRevision;
    isLeader = true;
    renewedAt = leaseRequestedAt;
    syncedAt = MonotonicTime.LONG_AGO;
  }

  /**
   * Handles a confirmed renewal of the lease.
   *
   * @param requestedAt when the renewal request was sent
   */
  public void onRenewed(MonotonicTime requestedAt) {
    renewedAt = MonotonicTime.later(renewedAt, requestedAt);
  }

  /** Records that every change of the jobs made before this time has been read. */
  public void onSynced(MonotonicTime requestedAt) {
    syncedAt = MonotonicTime.later(syncedAt, requestedAt);
  }

  /**
   * Handles the end of a process pause. The controller's knowledge may be outdated, so no task is
   * launched and no machine is created or deleted until the key-value store confirms the lease
   * again.
   *
   * @param monotonicClockStopped time during which the monotonic clock did not advance, by which
   *     earlier timestamps are older than they appear
   */
  public void onProcessPause(TimeSpan monotonicClockStopped, MonotonicTime now) {
    resumedAt = now;
    renewedAt = new MonotonicTime(renewedAt.ms() - monotonicClockStopped.ms());
    syncedAt = new MonotonicTime(syncedAt.ms() - monotonicClockStopped.ms());
  }

  /**
   * Returns when the last confirmed renewal was sent. No other controller was elected before this
   * time.
   */
  public MonotonicTime renewedAt() {
    return renewedAt;
  }

  /** Handles the loss of leadership. */
  public void onLost() {
    isLeader = false;
  }

  /** Returns whether this controller was elected and has not stepped down. */
  public boolean isLeader() {
    return isLeader;
  }

  /** Returns the term of the last election won, or {@link Term#NONE} if there was none. */
  public Term term() {
    return term;
  }

  /** Returns the revision of the leader key, which guards every write of this leader. */
  public Revision leaderKeyRevision() {
    return leaderKeyRevision;
  }

  /**
   * Returns whether tasks may be launched: no other controller can have been elected yet, and every
   * cancellation that is older than the bound allows is known.
   */
  public boolean mayLaunch(MonotonicTime now) {
    return isLeader
        && !renewedAt.before(resumedAt)
        && now.plus(SAFETY_MARGIN).before(renewedAt.plus(leaderLease.minimumOnRemoteClock()))
        && now.before(syncedAt.plus(MAX_SYNC_AGE_FOR_LAUNCH));
  }

  /**
   * Returns whether heartbeats may be answered with status 200, which renews the workers' leases.
   * During an outage of the key-value store, this continues up to the bound so that running tasks
   * survive the outage.
   */
  public boolean mayRenewWorkerLeases(MonotonicTime now) {
    return isLeader
        && (mayLaunch(now)
            || now.before(MonotonicTime.earlier(renewedAt, syncedAt).plus(renewalAfterSync)));
  }

  /**
   * Returns whether machines may be created. Machines created by a superseded leader incur cost
   * until its successor finds them. In an outage that affects all controllers, no other controller
   * can be elected, and machines created meanwhile are up when the outage ends.
   *
   * @param outageForAll whether the key-value store is unavailable to every controller
   */
  public boolean mayScaleOut(boolean outageForAll, MonotonicTime now) {
    return mayLaunch(now) || (outageForAll && mayRenewWorkerLeases(now));
  }

  /**
   * Returns whether machines may be deleted. To a partitioned leader all machines appear silent,
   * and its delete requests could be delayed by minutes and then remove machines that a successor
   * is using.
   */
  public boolean mayScaleIn(MonotonicTime now) {
    return mayLaunch(now);
  }
}
