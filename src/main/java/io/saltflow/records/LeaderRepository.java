package io.saltflow.records;

import io.saltflow.cluster.Job;
import io.saltflow.leader.LeaderCore;
import io.saltflow.leader.LeaderLease;
import io.saltflow.model.MachineId;
import io.saltflow.model.MachineType;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.CloudCodec;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MessageBody;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.Transaction;
import io.saltflow.transport.Routine;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the leader's records. Each transaction is guarded by the revision of this leader's key, so
 * none is carried out after another node has been elected. Runs on the leader's event loop.
 */
public final class LeaderRepository extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderRepository.class);
  private static final TimeSpan REQUEST_TIMEOUT = TimeSpan.millis(1500);

  private static final int MAX_IN_FLIGHT = 3;

  /** Adding the record of the finished job and deleting its live record. */
  private static final int WRITES_PER_COMPLETION = 2;

  /** Largest share of all writes that one page may take while its entries change constantly. */
  private static final double PAGE_WRITE_SHARE = 0.1;

  private final KeyValueClient store;
  private final JobRepository jobs;
  private final LeaderLease lease;
  private final Supplier<MonotonicTime> now;
  private final MachineLedger ledger;
  private final JobProgressRepository progress;
  private final BatchUnpacker batchUnpacker = new BatchUnpacker();
  private final PlanRepository plans;
  private final DependencyRepository dependencies;
  private LeaderCore leader;
  private int inFlight;
  private boolean unpackInFlight;

  /** Machine types that this leader has recorded, confirmed by the store. */
  private List<List<Object>> recordedTypes = List.of();

  /**
   * Creates the repository of a leader.
   *
   * @param lease lease whose leader key guards each write
   * @param now reads the monotonic clock
   */
  public LeaderRepository(
      Routine parent,
      KeyValueClient store,
      JobRepository jobs,
      LeaderLease lease,
      Supplier<MonotonicTime> now) {
    super(parent);
    this.store = store;
    this.jobs = jobs;
    this.lease = lease;
    this.now = now;
    dependencies = new DependencyRepository(this, store, jobs, this::guardedTransaction, now);
    plans = new PlanRepository(this, store, this::guardedTransaction, now);
    ledger = new MachineLedger(this, store, this::guardedTransaction, this::pageInterval, now);
    progress =
        new JobProgressRepository(this, store, this::guardedTransaction, this::pageInterval, now);
  }

  private TimeSpan pageInterval() {
    return TimeSpan.seconds(1 / (store.limits().writesPerSecond() * PAGE_WRITE_SHARE));
  }

  private Transaction guardedTransaction() {
    return new Transaction().guard(Keys.LEADER, lease.leaderKeyRevision());
  }

  /** Sets the leader whose decisions this repository records. */
  public void setLeader(LeaderCore core) {
    leader = core;
    dependencies.setLeader(core);
    ledger.setLeader(core);
    progress.setLeader(core);
  }

  /**
   * Returns whether the limit of unanswered writes is reached, so that further writes have to wait.
   */
  public boolean isBusy() {
    return inFlight >= MAX_IN_FLIGHT;
  }

  private void commit(
      KeyValueClient.RequestPriority priority,
      Transaction txn,
      Consumer<KeyValueClient.StoreResponse> then) {
    inFlight++;
    store.commit(
        priority,
        txn,
        REQUEST_TIMEOUT,
        answer -> {
          inFlight--;
          if (!cancelled()) {
            then.accept(answer);
          }
        });
  }

  /**
   * Records jobs whose tasks are all done as finished, as many per transaction as the limits allow.
   */
  public void recordCompletions() {
    List<Job> finished = leader.jobs().toFinish();
    // Read on each call: the limit may have been lowered, and larger transactions would never pass.
    int perTransaction = Math.max(1, store.limits().maxOperations() / WRITES_PER_COMPLETION);
    for (int i = 0; i < finished.size() && !isBusy(); i += perTransaction) {
      List<Job> batch = finished.subList(i, Math.min(finished.size(), i + perTransaction));
      Transaction txn = guardedTransaction();
      for (Job job : batch) {
        leader.jobs().setFinishing(job, true);
        jobs.writeDone(txn, job.id(), job.spec().tasks(), leader.wallClockMs(now.get()));
      }
      commit(
          KeyValueClient.RequestPriority.USER,
          txn,
          answer -> {
            for (Job job : batch) {
              if (answer.isSuccess()) {
                jobs.cacheDone(job.id(), job.spec().tasks());
                leader.jobs().onFinished(job, now.get());
              } else if (answer.isNotExecuted()) {
                leader.jobs().setFinishing(job, false);
              } else {
                resolveUnconfirmedCompletion(job);
              }
            }
          });
    }
  }

  /**
   * Reads the record of a finished job whose write was not confirmed, since a cancellation may have
   * been recorded first. Dependent jobs are released only if the record says that the job is done.
   */
  private void resolveUnconfirmedCompletion(Job job) {
    store.get(
        KeyValueClient.RequestPriority.BACKGROUND,
        Keys.finishedJob(job.id()),
        REQUEST_TIMEOUT,
        keyValue -> {
          if (cancelled()) {
            return;
          }
          JobEnd end =
              keyValue == null || keyValue.value() == null
                  ? null
                  : JobRecordCodec.decodeEnd(job.id(), keyValue.value());
          if (end != null && end.phase() == JobPhase.DONE) {
            leader.jobs().onFinished(job, now.get());
            return;
          }
          leader.jobs().setFinishing(job, false);
          if (end != null) {
            leader.jobs().onCancellationRead(job.id(), now.get());
          } else if (keyValue != null && keyValue.value() != null) {
            LOG.error(
                "cannot read the record of finished job {}: its dependent jobs stay pending",
                job.id());
            leader.jobs().onRemoved(job.id(), now.get());
          }
        });
  }

  /** Returns the repository of dependencies and cascaded cancellations. */
  public DependencyRepository dependencies() {
    return dependencies;
  }

  /** Records which jobs may be launched, so that the next leader looks for their tasks. */
  public void recordLaunchIntents() {
    progress.recordLaunchIntents();
  }

  /**
   * Records the progress of live jobs and the removal of machines that are gone; both may be
   * delayed.
   */
  public void recordProgress() {
    progress.recordProgress();
    ledger.flush();
  }

  /** Adds a submission batch that was found among the live jobs to those to be unpacked. */
  public void onBatchFound(String key, MessageBody value, Revision revision) {
    batchUnpacker.addBatch(key, value, revision);
  }

  /**
   * Writes a separate record for each job that was admitted in a batch. A job can start only after
   * that.
   */
  public void unpackBatches() {
    if (batchUnpacker.isEmpty() || unpackInFlight) {
      return;
    }
    BatchUnpacker.UnpackStep step = batchUnpacker.next(store.limits());
    if (step.writes() == 0) {
      return;
    }
    unpackInFlight = true;
    store.commit(
        KeyValueClient.RequestPriority.UNPACKING,
        step.addTo(guardedTransaction()),
        REQUEST_TIMEOUT,
        answer -> {
          unpackInFlight = false;
          if (cancelled()) {
            return;
          }
          if (answer.isSuccess()) {
            batchUnpacker.onCommitted(step);
            unpackBatches();
          } else if (answer.status() == 409) {
            batchUnpacker.onRefused(step, answer);
          } else if (answer.isPermanentlyRejected()) {
            batchUnpacker.onRejected(step, store.limits());
          }
        });
  }

  /** Records machines before the leader uses them. */
  public void recordMachines() {
    ledger.recordNew();
  }

  /** Returns the repository of the leader's decisions other than launches. */
  public PlanRepository plans() {
    return plans;
  }

  /**
   * Marks machines that are gone for removal from the ledger by the next {@link #recordProgress}.
   */
  public void removeMachines(List<MachineId> ids) {
    ledger.remove(ids);
  }

  /**
   * Reads the records of earlier leaders.
   *
   * @param then receives the records, or {@code null} if the key-value store does not answer
   */
  public void readInherited(Consumer<InheritedRecords> then) {
    InheritedRecords inherited = new InheritedRecords();
    store.list(
        KeyValueClient.RequestPriority.LEADERSHIP,
        Keys.MACHINE_LEDGER,
        machines -> {
          if (cancelled() || machines == null) {
            then.accept(null);
            return;
          }
          machines.entries().forEach(page -> ledger.restore(inherited, page));
          store.list(
              KeyValueClient.RequestPriority.LEADERSHIP,
              Keys.JOB_PROGRESS,
              pages -> {
                if (cancelled() || pages == null) {
                  then.accept(null);
                  return;
                }
                pages.entries().forEach(page -> progress.restore(inherited, page));
                readPlans(inherited, then);
              });
        });
  }

  private void readPlans(InheritedRecords inherited, Consumer<InheritedRecords> then) {
    store.list(
        KeyValueClient.RequestPriority.LEADERSHIP,
        Keys.PLANS,
        plans -> {
          if (cancelled() || plans == null) {
            then.accept(null);
            return;
          }
          inherited.setPlans(PlanRepository.read(plans));
          then.accept(inherited);
        });
  }

  /** Restores inherited plans and pages. Must be called after the leader has read its jobs. */
  public void adopt(InheritedRecords inherited) {
    plans.adopt(inherited.plans(), leader.decisions());
    progress.adopt(inherited);
  }

  /**
   * Records the machine types for controllers that start during an outage of the cloud, unless this
   * leader has already recorded the same types. A change of prices alone is not recorded.
   */
  public void recordMachineTypes(List<MachineType> types) {
    List<List<Object>> current =
        types.stream()
            .map(type -> List.<Object>of(type.name(), type.size(), type.zones()))
            .toList();
    if (current.equals(recordedTypes)) {
      return;
    }
    MessageBody value = CloudCodec.encodeTypes(types);
    if (!store.limits().fits(value)) {
      // Readers would take an incomplete list for all types.
      store
          .limits()
          .warnTooLarge(
              Keys.MACHINE_TYPES,
              JsonSize.of(value),
              "machine types are not recorded, each node reads them from the cloud");
      return;
    }
    commit(
        KeyValueClient.RequestPriority.BACKGROUND,
        guardedTransaction().put(Keys.MACHINE_TYPES, value),
        answer -> recordedTypes = answer.isSuccess() ? current : recordedTypes);
  }

  /**
   * Reads the recorded machine types.
   *
   * @param then receives the types, or {@code null} if there are none or they cannot be read
   */
  public static void readMachineTypes(KeyValueClient store, Consumer<List<MachineType>> then) {
    store.get(
        KeyValueClient.RequestPriority.USER,
        Keys.MACHINE_TYPES,
        REQUEST_TIMEOUT,
        keyValue -> {
          try {
            then.accept(
                keyValue == null || keyValue.value() == null
                    ? null
                    : CloudCodec.decodeTypes(keyValue.value()));
          } catch (InvalidMessageException exception) {
            LOG.error("cannot read recorded machine types: {}", exception.getMessage());
            then.accept(null);
          }
        });
  }
}
