package io.saltflow.records;

import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.store.KeyValueClient.RequestPriority;
import io.saltflow.store.KeyValueClient.StoreResponse;
import io.saltflow.store.Keys;
import io.saltflow.store.Transaction;
import io.saltflow.transport.Routine;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits a leader's transactions, and repeats each until its outcome is conclusive.
 *
 * <p>An attempt without an answer may have been executed, or may yet be. A later attempt that the
 * store did not execute says nothing about it, so the same transaction is repeated until one
 * attempt is executed or a guard fails. Only the leader writes the guarded keys: if one has changed
 * after an unanswered attempt while this node leads, that attempt was executed.
 *
 * <p>Runs on the event loop. Gives up only with the leadership: the next leader reads what is
 * recorded, and no attempt of this one can be executed any more.
 */
final class ConclusiveWriter extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(ConclusiveWriter.class);
  private static final TimeSpan REQUEST_TIMEOUT = TimeSpan.millis(1500);
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(200);
  private static final int STATUS_CONFLICT = 409;

  /** The conclusive outcome of a write. */
  sealed interface Outcome {
    /**
     * One attempt was executed.
     *
     * @param revision revision of the written keys
     */
    record Executed(Revision revision) implements Outcome {}

    /**
     * No attempt was executed, and none will be.
     *
     * @param response the store's response to the last attempt
     */
    record NotExecuted(StoreResponse response) implements Outcome {}

    /** This node no longer leads. The callback of the context has run. */
    record LeadershipLost() implements Outcome {}
  }

  /**
   * A key that a transaction writes, and the revision that it replaces. Any written key will do,
   * since all of them change together.
   */
  record GuardedKey(String name, Revision replaced) {}

  private final LeaderContext context;

  /** Creates the writer of one leader's term. */
  ConclusiveWriter(Routine parent, LeaderContext context) {
    super(parent);
    this.context = context;
  }

  /**
   * Commits a transaction. At most one write of a key may be in flight.
   *
   * @param transaction must guard the leader key and the given key, which it writes
   * @param callback receives the outcome once, unless this writer is cancelled before
   */
  void write(
      RequestPriority priority,
      GuardedKey key,
      Transaction transaction,
      Consumer<Outcome> callback) {
    new Write(priority, key, transaction, callback).attempt();
  }

  private final class Write {
    private final RequestPriority priority;
    private final GuardedKey key;
    private final Transaction transaction;
    private final Consumer<Outcome> callback;

    /** Whether an attempt had no answer, so that it may have been executed or may yet be. */
    private boolean unanswered;

    Write(
        RequestPriority priority,
        GuardedKey key,
        Transaction transaction,
        Consumer<Outcome> callback) {
      this.priority = priority;
      this.key = key;
      this.transaction = transaction;
      this.callback = callback;
    }

    void attempt() {
      context.store().commit(priority, transaction, REQUEST_TIMEOUT, this::onResponse);
    }

    private void onResponse(StoreResponse response) {
      if (cancelled()) {
        return;
      }
      if (response.isSuccess()) {
        callback.accept(new Outcome.Executed(new Revision(response.revision())));
      } else if (response.status() == STATUS_CONFLICT) {
        onGuardFailed(response);
      } else if (!response.isNotExecuted()) {
        unanswered = true;
        retry(this::attempt);
      } else if (!unanswered) {
        callback.accept(new Outcome.NotExecuted(response));
      } else if (response.isPermanentlyRejected()) {
        stepDown("the store rejects the repeat of an unanswered write");
      } else {
        retry(this::attempt);
      }
    }

    private void onGuardFailed(StoreResponse response) {
      if (response.failedGuardOn(Keys.LEADER)) {
        loseLeadership();
      } else if (unanswered) {
        readRevision();
      } else {
        stepDown("another process wrote the key");
      }
    }

    private void readRevision() {
      context
          .store()
          .get(
              priority,
              key.name,
              REQUEST_TIMEOUT,
              entry -> {
                if (cancelled()) {
                  return;
                }
                if (entry == null) {
                  retry(this::readRevision);
                } else if (entry.revision().equals(key.replaced)) {
                  stepDown("another process wrote a key of the same write");
                } else {
                  verifyLeadership(entry.revision());
                }
              });
    }

    /**
     * Verifies that this node led when the key was read, because the store need not report each
     * failed guard and a successor may have written the key.
     */
    private void verifyLeadership(Revision read) {
      context
          .store()
          .commit(
              priority,
              context.guardedTransaction(),
              REQUEST_TIMEOUT,
              response -> {
                if (cancelled()) {
                  return;
                }
                if (response.isSuccess()) {
                  callback.accept(new Outcome.Executed(read));
                } else if (response.status() == STATUS_CONFLICT) {
                  loseLeadership();
                } else {
                  retry(() -> verifyLeadership(read));
                }
              });
    }

    private void retry(Runnable action) {
      context.loop().schedule(RETRY_DELAY, ConclusiveWriter.this, action);
    }

    /** Lets the next leader find out what is recorded. */
    private void stepDown(String reason) {
      LOG.error("stepping down, the outcome of a write of key {} is unknown: {}", key.name, reason);
      loseLeadership();
    }

    private void loseLeadership() {
      context.onLeadershipLost().run();
      callback.accept(new Outcome.LeadershipLost());
    }
  }
}
