package io.saltflow.broker;

import io.saltflow.cluster.Job;
import io.saltflow.cluster.QueueDemand;
import io.saltflow.leader.LeaderCore;
import io.saltflow.model.JobId;
import io.saltflow.model.TimeSpan;
import io.saltflow.queues.Demand;
import io.saltflow.queues.Effect;
import io.saltflow.queues.MessageNo;
import io.saltflow.queues.QueueCore;
import io.saltflow.queues.QueuePolicy;
import io.saltflow.records.JobOutcome;
import io.saltflow.records.JobPhase;
import io.saltflow.records.JobRepository;
import io.saltflow.records.JobStatus;
import io.saltflow.records.LeaderContext;
import io.saltflow.records.QueueRepository;
import io.saltflow.store.CompressedValues;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the work queues during a leader's term. Connects the queue core to its durable log and to
 * the jobs of messages.
 */
final class QueueController extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(QueueController.class);
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(300);
  private static final TimeSpan TICK_INTERVAL = TimeSpan.millis(50);
  private static final TimeSpan JOB_POLL_INTERVAL = TimeSpan.seconds(1);

  /** Below the delay before a failed task is retried, so that its failure is recorded first. */
  private static final TimeSpan JOB_FAILURE_INTERVAL = TimeSpan.millis(200);

  private static final TimeSpan SUMMARY_INTERVAL = TimeSpan.seconds(30);

  /**
   * Maximum number of concurrent job admissions and lookups, so that users' submissions are not
   * delayed.
   */
  private static final int MAX_CONCURRENT_JOB_REQUESTS = 8;

  private final EventLoop loop;
  private final JobRepository jobs;
  private final LeaderCore leader;
  private final QueueNode node;
  private final LongSupplier wallMs;
  private final BooleanSupplier storeAvailable;
  private final Consumer<Effect> effectHandler;
  private final QueueCore core;
  private final QueueRepository repository;
  private final ArrayDeque<Effect.Admit> pendingAdmissions = new ArrayDeque<>();
  private final Map<MessageNo, JobId> admitted = new HashMap<>();

  /** The failures of each job that were reported to the core, without those that had none. */
  private final Map<MessageNo, Integer> reportedFailures = new HashMap<>();

  private final Set<MessageNo> pendingRequests = new HashSet<>();
  private boolean ready;
  private boolean logUnreadable;
  private boolean pumping;
  private boolean admissionScheduled;
  private boolean rejecting;

  /**
   * @param storeAvailable whether the key-value store is available, so that entries can be recorded
   * @param effectHandler carries out an effect on connections; null marks the end of a group
   */
  QueueController(
      Routine parent,
      EventLoop loop,
      QueueNode node,
      LeaderCore leader,
      AmqpSettings settings,
      BooleanSupplier storeAvailable,
      Consumer<Effect> effectHandler) {
    super(parent);
    this.loop = loop;
    this.node = node;
    this.jobs = node.jobs();
    this.leader = leader;
    this.wallMs = node.wallMs();
    this.storeAvailable = storeAvailable;
    this.effectHandler = effectHandler;
    CompressedValues chunks = new CompressedValues(node.state().limits());
    AmqpSettings.Bounds bounds = settings.bounds();
    core =
        new QueueCore(
            settings.queues(),
            new QueueCore.Limits(
                bounds.mostBytes(),
                Math.min(bounds.mostBody(), maxBodyBytes(chunks)),
                bounds.remembered(),
                bounds.rememberedFor(),
                node.skew()),
            this::mayStart,
            new JobTemplates(settings.templates()),
            new JsonResultEncoder(),
            leader.term());
    repository =
        new QueueRepository(
            this,
            new LeaderContext(loop, node.state(), node.authority(), node.onDeposed()),
            core,
            chunks,
            node.writesPerS(),
            wallMs,
            this::pump);
  }

  /**
   * Returns the maximum body size, so that a message fits in one transaction with its result and
   * its other entries.
   */
  static int maxBodyBytes(CompressedValues chunks) {
    return chunks.guaranteedBytes() - 4096;
  }

  private boolean mayStart(QueuePolicy queue, long arrivedWallMs) {
    return leader.mayDeliver(queue.team(), queue.size(), queue.priority(), arrivedWallMs);
  }

  /** Returns the core, or {@code null} while the log is being replayed. */
  QueueCore core() {
    return ready ? core : null;
  }

  /** Returns whether the log is unreadable. In that case the queues are not served. */
  boolean logUnreadable() {
    return logUnreadable;
  }

  void start() {
    repository.readInherited(
        result -> {
          if (cancelled()) {
            return;
          }
          switch (result) {
            case REPLAYED -> startServing();
            case UNAVAILABLE -> loop.schedule(RETRY_DELAY, this, this::start);
            case UNREADABLE -> logUnreadable = true;
          }
        });
  }

  private void startServing() {
    core.begin(loop.activeNow(), wallMs.getAsLong());
    ready = true;
    LOG.info("queues started: {} messages recovered", core.size());
    loop.scheduleRepeating(TICK_INTERVAL, this, this::tick);
    loop.scheduleRepeating(JOB_POLL_INTERVAL, this, this::pollJobs);
    loop.scheduleRepeating(JOB_FAILURE_INTERVAL, this, this::reportNewFailures);
    loop.scheduleRepeating(SUMMARY_INTERVAL, this, this::logSummary);
    pump();
  }

  private void tick() {
    boolean reject = !storeAvailable.getAsBoolean();
    if (reject != rejecting) {
      rejecting = reject;
      core.setAccepting(!reject);
    }
    core.tick(loop.activeNow(), wallMs.getAsLong());
    pump();
  }

  /**
   * Carries out the core's effects and records its entries. Must be called after each event for the
   * core.
   */
  void pump() {
    if (pumping || !ready || cancelled()) {
      return;
    }
    pumping = true;
    try {
      for (List<Effect> effects = core.effects(); !effects.isEmpty(); effects = core.effects()) {
        effects.forEach(this::handleEffect);
        effectHandler.accept(null);
      }
      leader.setQueueDemands(core.demands().stream().map(QueueController::toQueueDemand).toList());
      repository.flush();
    } finally {
      pumping = false;
    }
  }

  private static QueueDemand toQueueDemand(Demand demand) {
    return new QueueDemand(
        demand.team(), demand.priority(), demand.held(), demand.wanted(), demand.arrivedWallMs());
  }

  private void handleEffect(Effect effect) {
    if (effect instanceof Effect.Admit admit) {
      pendingAdmissions.add(admit);
      admit();
    } else if (effect instanceof Effect.Withdraw withdraw) {
      jobs.cancel(withdraw.job(), outcome -> {});
    } else {
      effectHandler.accept(effect);
    }
  }

  /** Schedules a retry of the admissions, unless one is scheduled already. */
  private void admitLater() {
    if (!admissionScheduled) {
      admissionScheduled = true;
      loop.schedule(
          RETRY_DELAY,
          this,
          () -> {
            admissionScheduled = false;
            admit();
          });
    }
  }

  private void admit() {
    if (!node.typesKnown().getAsBoolean()) {
      admitLater();
      return;
    }
    while (pendingRequests.size() < MAX_CONCURRENT_JOB_REQUESTS && !pendingAdmissions.isEmpty()) {
      Effect.Admit admit = pendingAdmissions.poll();
      String rejection = node.neverRuns().apply(admit.spec());
      if (rejection != null) {
        completeJob(admit.message(), false, rejection);
        continue;
      }
      pendingRequests.add(admit.message());
      jobs.admit(
          admit.spec(),
          admit.arrivedWallMs(),
          outcome -> {
            if (cancelled()) {
              return;
            }
            pendingRequests.remove(admit.message());
            if (outcome instanceof JobOutcome.Unknown) {
              pendingAdmissions.add(admit);
              admitLater();
              return;
            }
            if (outcome instanceof JobOutcome.TooLarge) {
              completeJob(admit.message(), false, "its job's description is too large");
            } else if (outcome instanceof JobOutcome.NeverAccepted refused) {
              String reason =
                  "its job awaits " + refused.dependency() + ", which was never accepted";
              completeJob(admit.message(), false, reason);
            } else if (outcome instanceof JobOutcome.CreatedCancelled) {
              completeJob(admit.message(), false, null);
            } else if (outcome instanceof JobOutcome.Found found) {
              onJobFound(admit.message(), found.status());
            }
            admitted.put(admit.message(), admit.spec().id());
            admit();
          });
    }
  }

  private void completeJob(MessageNo no, boolean done, String refused) {
    core.jobEnded(no, done, refused, loop.activeNow(), wallMs.getAsLong());
    admitted.remove(no);
    pump();
  }

  private void onJobFound(MessageNo no, JobStatus job) {
    if (job.phase() != JobPhase.LIVE) {
      completeJob(no, job.phase() == JobPhase.DONE, null);
    }
  }

  /** Polls the records of jobs, to detect jobs that have ended for any reason. */
  private void pollJobs() {
    Map<MessageNo, JobId> live = core.jobs();
    admitted.keySet().retainAll(live.keySet());
    reportedFailures.keySet().retainAll(live.keySet());
    for (Map.Entry<MessageNo, JobId> entry : Map.copyOf(admitted).entrySet()) {
      Job job = leader.jobs().find(entry.getValue());
      if (job != null) {
        core.jobFailures(entry.getKey(), job.failureCount(), loop.activeNow(), wallMs.getAsLong());
      } else if (pendingRequests.size() < MAX_CONCURRENT_JOB_REQUESTS
          && pendingRequests.add(entry.getKey())) {
        jobs.find(
            entry.getValue(),
            outcome -> {
              pendingRequests.remove(entry.getKey());
              if (!cancelled() && outcome instanceof JobOutcome.Found found) {
                onJobFound(entry.getKey(), found.status());
              }
            });
      }
    }
    pump();
  }

  /** Reports the jobs that have failed since the last report. */
  private void reportNewFailures() {
    boolean reported = false;
    for (Map.Entry<MessageNo, JobId> entry : admitted.entrySet()) {
      Job job = leader.jobs().find(entry.getValue());
      int failures = job == null ? 0 : job.failureCount();
      if (failures > reportedFailures.getOrDefault(entry.getKey(), 0)) {
        reportedFailures.put(entry.getKey(), failures);
        core.jobFailures(entry.getKey(), failures, loop.activeNow(), wallMs.getAsLong());
        reported = true;
      }
    }
    if (reported) {
      pump();
    }
  }

  private void logSummary() {
    if (core.size() > 0) {
      LOG.info(
          "queue status: {} uncompleted messages, {} KiB; {} late settlements; {}",
          core.size(),
          core.bytes() / 1024,
          core.staleSettlements(),
          repository.writeSummary());
    }
  }
}
