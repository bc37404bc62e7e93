package io.saltflow.election;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.MessageBody;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.LeaseClient;
import io.saltflow.store.Transaction;
import io.saltflow.transport.EventLoop;
import java.util.OptionalLong;

/**
 * Runs a candidate's attempts to become leader. An attempt obtains a lease, reads the last term,
 * and writes the leader key under the lease and the next term in one transaction that is guarded by
 * the revisions of both keys. At most one attempt is in progress at a time. Runs on the event loop.
 */
final class Campaign {
  /** Receives the outcome of each attempt. */
  interface Outcome {
    /** Called when this candidate has written the leader key. */
    void onAcquired(Acquisition acquisition);

    /**
     * Called when the attempt has failed.
     *
     * @param pause minimum time before the next attempt
     */
    void onAbandoned(TimeSpan pause);
  }

  /**
   * A leader key written by this candidate.
   *
   * @param sentAt time at which the lease was requested, from which its time to live is counted
   */
  record Acquisition(long leaseId, Term term, Revision keyRevision, MonotonicTime sentAt) {}

  private static final TimeSpan PAUSE_AFTER_FAILED_REQUEST = TimeSpan.millis(300);
  private static final TimeSpan PAUSE_AFTER_CONFLICT = TimeSpan.millis(50);
  private static final TimeSpan PAUSE_AFTER_UNCONFIRMED_WRITE = TimeSpan.millis(200);

  /** An attempt that has been granted a lease. */
  private record Attempt(
      Revision keyRevision, long reacquisitions, long leaseId, MonotonicTime sentAt) {}

  private final EventLoop loop;
  private final KeyValueClient client;
  private final LeaseClient leases;
  private final LeaderElection.Candidate candidate;
  private final String nonce;
  private final Outcome outcome;
  private boolean inProgress;

  Campaign(
      EventLoop loop,
      KeyValueClient client,
      LeaseClient leases,
      LeaderElection.Candidate candidate,
      String nonce,
      Outcome outcome) {
    this.loop = loop;
    this.client = client;
    this.leases = leases;
    this.candidate = candidate;
    this.nonce = nonce;
    this.outcome = outcome;
  }

  /** Returns whether an attempt is in progress whose outcome is not yet known. */
  boolean inProgress() {
    return inProgress;
  }

  /**
   * Starts an attempt.
   *
   * @param keyRevision revision that the leader key must still have, or {@link Revision#ABSENT} if
   *     there must be no key
   * @param reacquisitions count recorded in the key, see {@link LeaderKey}
   */
  void start(Revision keyRevision, long reacquisitions) {
    inProgress = true;
    MonotonicTime sentAt = loop.now();
    leases.grant(
        candidate.leaseTtl(),
        LeaderElection.REQUEST_TIMEOUT,
        granted -> onLeaseGranted(granted, keyRevision, reacquisitions, sentAt));
  }

  private void onLeaseGranted(
      OptionalLong leaseId, Revision keyRevision, long reacquisitions, MonotonicTime sentAt) {
    if (leaseId.isPresent()) {
      readTerm(new Attempt(keyRevision, reacquisitions, leaseId.getAsLong(), sentAt));
    } else {
      abandon(PAUSE_AFTER_FAILED_REQUEST);
    }
  }

  private void readTerm(Attempt attempt) {
    client.get(
        KeyValueClient.RequestPriority.LEADERSHIP,
        Keys.TERM,
        LeaderElection.REQUEST_TIMEOUT,
        entry -> {
          if (entry == null) {
            abandon(PAUSE_AFTER_FAILED_REQUEST);
          } else {
            acquire(attempt, new Term(lastTerm(entry) + 1), entry.revision());
          }
        });
  }

  private static long lastTerm(KeyValueClient.KeyValue entry) {
    return entry.value() != null && entry.value().get(LeaderKey.TERM_FIELD) instanceof Long term
        ? term
        : 0;
  }

  private void acquire(Attempt attempt, Term term, Revision termRevision) {
    LeaderKey key =
        new LeaderKey(
            candidate.host(),
            term.number(),
            nonceOf(term),
            attempt.reacquisitions(),
            loop.wallClockMs(),
            true);
    Transaction transaction =
        new Transaction()
            .guard(Keys.LEADER, attempt.keyRevision())
            .guard(Keys.TERM, termRevision)
            .put(Keys.LEADER, key.encode(), attempt.leaseId())
            .put(Keys.TERM, MessageBody.of().with(LeaderKey.TERM_FIELD, term.number()));
    client.commit(
        KeyValueClient.RequestPriority.LEADERSHIP,
        transaction,
        LeaderElection.REQUEST_TIMEOUT,
        response -> {
          if (response.isSuccess()) {
            acquired(attempt, term, new Revision(response.revision()));
          } else if (response.status() == 0) {
            verifyAcquisition(attempt, term);
          } else {
            leases.release(attempt.leaseId(), LeaderElection.REQUEST_TIMEOUT);
            abandon(PAUSE_AFTER_CONFLICT);
          }
        });
  }

  /** Reads the leader key to find out whether an unanswered write was carried out. */
  private void verifyAcquisition(Attempt attempt, Term term) {
    client.get(
        KeyValueClient.RequestPriority.LEADERSHIP,
        Keys.LEADER,
        LeaderElection.REQUEST_TIMEOUT,
        entry -> {
          if (entry != null
              && entry.value() != null
              && nonceOf(term).equals(LeaderKey.decode(entry.value()).nonce())) {
            acquired(attempt, term, entry.revision());
          } else {
            leases.release(attempt.leaseId(), LeaderElection.REQUEST_TIMEOUT);
            abandon(PAUSE_AFTER_UNCONFIRMED_WRITE);
          }
        });
  }

  private String nonceOf(Term term) {
    return nonce + "/" + term;
  }

  private void acquired(Attempt attempt, Term term, Revision keyRevision) {
    inProgress = false;
    outcome.onAcquired(new Acquisition(attempt.leaseId(), term, keyRevision, attempt.sentAt()));
  }

  private void abandon(TimeSpan pause) {
    inProgress = false;
    outcome.onAbandoned(pause);
  }
}
