package io.saltflow.election;

import io.saltflow.leader.LeaderLease;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.Wire;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.LeaseClient;
import io.saltflow.store.Transaction;
import io.saltflow.transport.EventLoop;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the leader key of the elected leader: renews its lease, verifies the key with each renewal,
 * and watches the key for replacement. Reports the loss of leadership once, with the reason to step
 * down. Runs on the event loop.
 */
final class LeaseKeeper {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseKeeper.class);
  private static final String KEY_REPLACED = "leader key was replaced";
  private static final String LEASE_EXPIRED = "lease expired";

  /**
   * Divisor of the lease time-to-live that bounds how long a renewal may take before it is
   * abandoned.
   */
  private static final int RENEWAL_TIMEOUT_DIVISOR = 4;

  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_GONE = 410;

  private final EventLoop loop;
  private final KeyValueClient client;
  private final LeaseClient leases;
  private final TimeSpan leaseTtl;
  private final LeaderLease leaderLease;
  private final Consumer<Runnable> retryLater;
  private final Consumer<String> onLost;
  private long leaseId;
  private boolean renewalInFlight;

  /**
   * Creates a keeper that holds no lease.
   *
   * @param retryLater schedules the next watch after a failed one
   * @param onLost called once with the reason when leadership is lost
   */
  LeaseKeeper(
      EventLoop loop,
      KeyValueClient client,
      LeaseClient leases,
      TimeSpan leaseTtl,
      LeaderLease leaderLease,
      Consumer<Runnable> retryLater,
      Consumer<String> onLost) {
    this.loop = loop;
    this.client = client;
    this.leases = leases;
    this.leaseTtl = leaseTtl;
    this.leaderLease = leaderLease;
    this.retryLater = retryLater;
    this.onLost = onLost;
  }

  /** Starts to keep an acquired key. The leader lease must already record the acquisition. */
  void start(Campaign.Acquisition acquisition) {
    leaseId = acquisition.leaseId();
    renewalInFlight = false;
    watchKey(acquisition.keyRevision(), acquisition.keyRevision().number());
  }

  /** Releases the lease. */
  void release() {
    leases.release(leaseId, LeaderElection.REQUEST_TIMEOUT);
    leaseId = 0;
  }

  /** Renews the lease if this process leads and no renewal is in flight. */
  void renew() {
    if (!leaderLease.isLeader() || renewalInFlight) {
      return;
    }
    renewalInFlight = true;
    MonotonicTime sentAt = loop.now();
    long renewedLeaseId = leaseId;
    leases.renew(
        renewedLeaseId,
        leaseTtl,
        renewalTimeout(),
        response -> {
          if (!stillHolds(renewedLeaseId)) {
            renewalInFlight = false;
          } else if (response.isSuccess()) {
            verifyKey(renewedLeaseId, sentAt);
          } else {
            renewalInFlight = false;
            if (response.status() == STATUS_NOT_FOUND) {
              onLost.accept(LEASE_EXPIRED);
            }
          }
        });
  }

  /**
   * Verifies that the leader key was not replaced. Only then does the renewal of the lease count,
   * so that everything that depends on the last renewal ends as soon after a successor's
   * acquisition as it would after lease expiry.
   */
  private void verifyKey(long renewedLeaseId, MonotonicTime sentAt) {
    client.commit(
        KeyValueClient.RequestPriority.LEADERSHIP,
        new Transaction().guard(Keys.LEADER, leaderLease.leaderKeyRevision()),
        renewalTimeout(),
        response -> {
          renewalInFlight = false;
          if (!stillHolds(renewedLeaseId)) {
            return;
          }
          if (response.isSuccess()) {
            leaderLease.onRenewed(sentAt);
          } else if (response.status() == STATUS_CONFLICT) {
            onLost.accept(KEY_REPLACED);
          }
        });
  }

  private boolean stillHolds(long heldLeaseId) {
    return heldLeaseId == leaseId && leaderLease.isLeader();
  }

  private TimeSpan renewalTimeout() {
    return new TimeSpan(
        Math.min(LeaderElection.REQUEST_TIMEOUT.ms(), leaseTtl.ms() / RENEWAL_TIMEOUT_DIVISOR));
  }

  /** Ends the leadership as soon as the key is replaced or deleted. */
  private void watchKey(Revision ownRevision, long afterRevision) {
    client.watch(
        Keys.LEADER,
        afterRevision,
        LeaderElection.WATCH_TIMEOUT,
        response -> {
          if (!leaderLease.isLeader() || !leaderLease.leaderKeyRevision().equals(ownRevision)) {
            return;
          }
          if (response.isSuccess() && !hasEvents(response)) {
            watchKey(ownRevision, Math.max(afterRevision, response.revision()));
          } else if (response.isSuccess() || response.status() == STATUS_GONE) {
            onLost.accept(KEY_REPLACED);
          } else {
            retryLater.accept(() -> watchKey(ownRevision, afterRevision));
          }
        });
  }

  private static boolean hasEvents(KeyValueClient.StoreResponse response) {
    try {
      return !response.body().maps(Wire.EVENTS).isEmpty();
    } catch (InvalidMessageException exception) {
      LOG.error("cannot read watch response for leader key: {}", exception.getMessage());
      return false;
    }
  }
}
