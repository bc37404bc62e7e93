package io.saltflow.records;

import io.saltflow.binpacking.RecordedPlan;
import io.saltflow.deadlines.DailyDeadline;
import io.saltflow.leader.RecordedDecisions;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.priority.QueueOrderInputs;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.Wire;
import io.saltflow.store.GuardedKeyWriter;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.Transaction;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records the decisions of a leader other than launches, under {@code plan/}: migration plans, the
 * inputs of the queue order, daily deadlines and operators' overrides. The next leader reads them
 * when it is elected; earlier builds ignore them. A record that cannot be read is logged and
 * skipped, which may change the order of jobs or delay them but never loses one.
 */
public final class PlanRepository extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(PlanRepository.class);
  private static final TimeSpan REQUEST_TIMEOUT = TimeSpan.millis(1500);

  /**
   * Plans that earlier leaders recorded.
   *
   * @param orderInputs inputs of the queue order, or {@code null} if none were recorded
   * @param overrides operators' overrides of the queue order
   * @param revisions revisions of the recorded keys, by key
   * @param revision revision of the listing, after which changes have to be watched
   */
  public record InheritedPlans(
      List<RecordedPlan> migrations,
      QueueOrderInputs orderInputs,
      List<DailyDeadline> deadlines,
      List<KeyValueClient.KeyValue> overrides,
      Map<String, Revision> revisions,
      long revision) {}

  private final KeyValueClient store;
  private final Supplier<Transaction> guardedTransaction;
  private final Supplier<MonotonicTime> now;
  private final GuardedKeyWriter writes;
  private RecordedDecisions decisions;

  PlanRepository(
      Routine parent,
      KeyValueClient store,
      Supplier<Transaction> guardedTransaction,
      Supplier<MonotonicTime> now) {
    super(parent);
    this.store = store;
    this.guardedTransaction = guardedTransaction;
    this.now = now;
    this.writes = new GuardedKeyWriter(this, store, guardedTransaction);
  }

  /** Decodes the records under {@link Keys#PLANS}; skips those that cannot be read. */
  static InheritedPlans read(KeyValueClient.PrefixListing listing) {
    List<RecordedPlan> migrations = new ArrayList<>();
    List<DailyDeadline> deadlines = new ArrayList<>();
    List<KeyValueClient.KeyValue> overrides = new ArrayList<>();
    Map<String, Revision> revisions = new HashMap<>();
    QueueOrderInputs orderInputs = null;
    for (KeyValueClient.KeyValue keyValue : listing.entries()) {
      revisions.put(keyValue.key(), keyValue.revision());
      try {
        if (keyValue.key().startsWith(Keys.REPLICA_MIGRATIONS)) {
          migrations.add(
              MigrationPlanCodec.decode(
                  keyValue.key().substring(Keys.REPLICA_MIGRATIONS.length()), keyValue.value()));
        } else if (keyValue.key().startsWith(Keys.DAILY_DEADLINES)) {
          deadlines.add(DailyDeadlineCodec.decode(keyValue.key(), keyValue.value()));
        } else if (keyValue.key().equals(Keys.QUEUE_ORDER_INPUTS)) {
          orderInputs = QueueOrderCodec.decode(keyValue.value());
        } else {
          overrides.add(keyValue);
        }
      } catch (InvalidMessageException exception) {
        LOG.error(
            "cannot read {}: {}; the leader decides it again",
            keyValue.key(),
            exception.getMessage());
      }
    }
    return new InheritedPlans(
        migrations, orderInputs, deadlines, overrides, revisions, listing.revision());
  }

  /** Restores the decisions of earlier leaders. */
  void adopt(InheritedPlans plans, RecordedDecisions leaderDecisions) {
    decisions = leaderDecisions;
    plans.revisions().forEach(writes::restore);
    decisions.restoreMigrationPlans(plans.migrations(), now.get());
    decisions.restoreOrderInputs(plans.orderInputs());
    decisions.restoreDailyDeadlines(plans.deadlines());
    plans.overrides().forEach(entry -> applyOverride(entry.key(), entry.value(), entry.revision()));
  }

  /**
   * Records each migration plan before its first step and again when it has ended, and deletes old
   * ones.
   */
  public void recordMigrations() {
    for (RecordedPlan plan : decisions.migrationPlansToRecord()) {
      writes.write(
          Keys.REPLICA_MIGRATIONS + plan.name(),
          MigrationPlanCodec.encode(plan),
          success -> decisions.onMigrationPlanRecorded(plan, success));
    }
    for (String name : decisions.migrationPlansToDelete()) {
      // If the store does not answer, a later leader deletes the plan.
      writes.write(
          Keys.REPLICA_MIGRATIONS + name,
          null,
          success -> LOG.debug("deleted migration plan {}: {}", name, success));
    }
  }

  /**
   * Records changed inputs of the queue order and changed daily deadlines, and deletes operators'
   * overrides of jobs that have ended.
   */
  public void recordDecisions() {
    QueueOrderInputs orderInputs = decisions.orderInputsToRecord(now.get());
    if (orderInputs != null) {
      MessageBody value = QueueOrderCodec.encode(orderInputs, store.limits());
      writes.write(
          Keys.QUEUE_ORDER_INPUTS,
          value,
          success -> decisions.onOrderInputsRecorded(orderInputs, success));
    }
    DailyDeadline deadline = decisions.dailyDeadlineToRecord(now.get());
    if (deadline != null) {
      writes.write(
          Keys.DAILY_DEADLINES + deadline.recordName(),
          store
              .limits()
              .truncated(DailyDeadlineCodec.encode(deadline), DailyDeadlineCodec.truncatable()),
          success -> decisions.onDailyDeadlineRecorded(deadline, success));
    }
    for (String name : decisions.dailyDeadlinesToDelete()) {
      writes.write(
          Keys.DAILY_DEADLINES + name,
          null,
          success -> LOG.debug("deleted daily deadline {}: {}", name, success));
    }
    List<JobId> endedJobs = decisions.overridesToDelete(now.get());
    if (!endedJobs.isEmpty()) {
      List<JobId> jobIds =
          endedJobs.subList(0, Math.min(store.limits().maxOperations(), endedJobs.size()));
      Transaction txn = guardedTransaction.get();
      jobIds.forEach(id -> txn.delete(Keys.operatorOverride(id)));
      store.commit(
          KeyValueClient.RequestPriority.BACKGROUND,
          txn,
          REQUEST_TIMEOUT,
          answer -> {
            if (!cancelled()) {
              decisions.onOverridesDeleted(jobIds, answer.isSuccess());
            }
          });
    }
  }

  /** Applies a record under {@link Keys#OPERATOR_OVERRIDES}, which any node may have written. */
  private void applyOverride(String key, MessageBody value, Revision revision) {
    if (key.startsWith(Keys.OPERATOR_OVERRIDES)
        && JobId.valid(key.substring(Keys.OPERATOR_OVERRIDES.length()))) {
      JobId id = new JobId(key.substring(Keys.OPERATOR_OVERRIDES.length()));
      decisions.onOperatorOverride(id, QueueOrderCodec.decode(value, revision));
    }
  }

  /**
   * Watches for operators' overrides and applies them.
   *
   * @param after revision after which changes are reported
   * @param hold time for which the store may hold the request if nothing changes
   * @param then receives the revision to continue from, or -1 if the store has compacted changes
   *     after {@code after}
   */
  public void watchOverrides(long after, TimeSpan hold, LongConsumer then) {
    store.watch(
        Keys.OPERATOR_OVERRIDES,
        after,
        hold,
        answer -> {
          if (cancelled()) {
            return;
          }
          try {
            for (MessageBody event :
                answer.isSuccess() ? answer.events() : List.<MessageBody>of()) {
              String key = event.textOr(Wire.PUT, null);
              if (key != null) {
                applyOverride(
                    key, event.map(Wire.VALUE), new Revision(event.integer(Wire.VERSION)));
              }
            }
          } catch (InvalidMessageException exception) {
            LOG.error(
                "cannot read watch response for {}: {}",
                Keys.OPERATOR_OVERRIDES,
                exception.getMessage());
          }
          // Overrides that the store no longer reports are read after the next election.
          then.accept(
              answer.isSuccess()
                  ? Math.max(after, answer.revision())
                  : answer.status() == 410 ? -1 : after);
        });
  }
}
