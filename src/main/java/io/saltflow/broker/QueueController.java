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
 * Runs the work queues during a leader's term: the core, its durable log, and the jobs of messages.
 */
final class QueueController extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(QueueController.class);
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(300);
  private static final TimeSpan TICK = TimeSpan.millis(50);
  private static final TimeSpan JOBS = TimeSpan.seconds(1);
  private static final TimeSpan SUMMARY = TimeSpan.seconds(30);

  /** The most jobs that are admitted or looked up at a time: users' submissions come first. */
  private static final int JOBS_AT_ONCE = 8;

  private final EventLoop loop;
  private final JobRepository jobs;
  private final LeaderCore leader;
  private final QueueNode node;
  private final LongSupplier wallMs;
  private final BooleanSupplier serving;
  private final Consumer<Effect> perform;
  private final QueueCore core;
  private final QueueRepository books;
  private final ArrayDeque<Effect.Admit> toAdmit = new ArrayDeque<>();
  private final Map<MessageNo, JobId> admitted = new HashMap<>();
  private final Set<MessageNo> asking = new HashSet<>();
  private boolean ready;
  private boolean broken;
  private boolean pumping;
  private boolean admitsLater;
  private boolean refusing;

  /**
   * @param serving whether the key-value store is available, so that entries can be recorded
   * @param perform carries out an effect on connections
   */
  QueueController(
      Routine parent,
      EventLoop loop,
      QueueNode node,
      LeaderCore leader,
      AmqpSettings settings,
      BooleanSupplier serving,
      Consumer<Effect> perform) {
    super(parent);
    this.loop = loop;
    this.node = node;
    this.jobs = node.jobs();
    this.leader = leader;
    this.wallMs = node.wallMs();
    this.serving = serving;
    this.perform = perform;
    CompressedValues chunks = new CompressedValues(node.state().limits());
    AmqpSettings.Bounds bounds = settings.bounds();
    core =
        new QueueCore(
            settings.queues(),
            new QueueCore.Limits(
                bounds.mostBytes(),
                Math.min(bounds.mostBody(), mostBody(chunks)),
                bounds.remembered(),
                bounds.rememberedFor(),
                node.skew()),
            this::mayStart,
            new JobTemplates(settings.templates()),
            new JsonResultEncoder(),
            leader.term());
    books =
        new QueueRepository(
            this,
            new LeaderContext(loop, node.state(), node.authority(), node.onDeposed()),
            core,
            chunks,
            node.writesPerS(),
            wallMs,
            this::pump);
  }

  /** A message must fit in one transaction with its result and its other entries. */
  static int mostBody(CompressedValues chunks) {
    return chunks.guaranteedBytes() - 4096;
  }

  private boolean mayStart(QueuePolicy queue, long arrivedWallMs) {
    return leader.mayDeliver(queue.team(), queue.size(), queue.priority(), arrivedWallMs);
  }

  /** The core; null while the log is being read. */
  QueueCore core() {
    return ready ? core : null;
  }

  /** The log can't be read: nothing is served rather than something wrong. */
  boolean broken() {
    return broken;
  }

  void start() {
    books.readInherited(
        result -> {
          if (cancelled()) {
            return;
          }
          switch (result) {
            case REPLAYED -> begin();
            case UNAVAILABLE -> loop.schedule(RETRY_DELAY, this, this::start);
            case UNREADABLE -> broken = true;
          }
        });
  }

  private void begin() {
    core.begin(loop.now(), wallMs.getAsLong());
    ready = true;
    LOG.info("queues are served: {} messages were found", core.size());
    loop.scheduleRepeating(TICK, this, this::tick);
    loop.scheduleRepeating(JOBS, this, this::askAfterJobs);
    loop.scheduleRepeating(SUMMARY, this, this::summary);
    pump();
  }

  private void tick() {
    boolean refuse = !serving.getAsBoolean();
    if (refuse != refusing) {
      refusing = refuse;
      core.setAccepting(!refuse);
    }
    core.tick(loop.now(), wallMs.getAsLong());
    pump();
  }

  /** Called after each event for the core: carries out its effects and records its entries. */
  void pump() {
    if (pumping || !ready || cancelled()) {
      return;
    }
    pumping = true;
    try {
      for (List<Effect> some = core.effects(); !some.isEmpty(); some = core.effects()) {
        some.forEach(this::take);
        perform.accept(null);
      }
      leader.setQueueDemands(core.demands().stream().map(QueueController::demand).toList());
      books.flush();
    } finally {
      pumping = false;
    }
  }

  private static QueueDemand demand(Demand demand) {
    return new QueueDemand(
        demand.team(), demand.priority(), demand.held(), demand.wanted(), demand.arrivedWallMs());
  }

  private void take(Effect effect) {
    if (effect instanceof Effect.Admit admit) {
      toAdmit.add(admit);
      admit();
    } else if (effect instanceof Effect.Withdraw withdraw) {
      jobs.cancel(withdraw.job(), outcome -> {});
    } else {
      perform.accept(effect);
    }
  }

  /** Schedules a later run; many requests lead to one run. */
  private void admitLater() {
    if (!admitsLater) {
      admitsLater = true;
      loop.schedule(
          RETRY_DELAY,
          this,
          () -> {
            admitsLater = false;
            admit();
          });
    }
  }

  private void admit() {
    if (!node.typesKnown().getAsBoolean()) {
      admitLater();
      return;
    }
    while (asking.size() < JOBS_AT_ONCE && !toAdmit.isEmpty()) {
      Effect.Admit admit = toAdmit.poll();
      String never = node.neverRuns().apply(admit.spec());
      if (never != null) {
        over(admit.message(), false, never, 0);
        continue;
      }
      asking.add(admit.message());
      jobs.admit(
          admit.spec(),
          admit.arrivedWallMs(),
          outcome -> {
            if (cancelled()) {
              return;
            }
            asking.remove(admit.message());
            if (outcome instanceof JobOutcome.Unknown) {
              toAdmit.add(admit);
              admitLater();
              return;
            }
            if (outcome instanceof JobOutcome.TooLarge) {
              over(admit.message(), false, "its job's description is too large", 0);
            } else if (outcome instanceof JobOutcome.NeverAccepted refused) {
              String reason =
                  "its job awaits " + refused.dependency() + ", which was never accepted";
              over(admit.message(), false, reason, 0);
            } else if (outcome instanceof JobOutcome.CreatedCancelled) {
              over(admit.message(), false, null, 0);
            } else if (outcome instanceof JobOutcome.Found found) {
              found(admit.message(), found.status());
            }
            admitted.put(admit.message(), admit.spec().id());
            admit();
          });
    }
  }

  private void over(MessageNo no, boolean done, String refused, int errors) {
    core.jobEnded(no, done, refused, errors, loop.now(), wallMs.getAsLong());
    admitted.remove(no);
    pump();
  }

  private void found(MessageNo no, JobStatus job) {
    if (job.phase() != JobPhase.LIVE) {
      over(no, job.phase() == JobPhase.DONE, null, 0);
    }
  }

  /** Learns of ended jobs from their records, whoever ended them. */
  private void askAfterJobs() {
    Map<MessageNo, JobId> live = core.jobs();
    admitted.keySet().retainAll(live.keySet());
    for (Map.Entry<MessageNo, JobId> entry : Map.copyOf(admitted).entrySet()) {
      Job job = leader.jobs().find(entry.getValue());
      if (job != null) {
        core.jobFailures(entry.getKey(), job.failureCount(), loop.now(), wallMs.getAsLong());
      } else if (asking.size() < JOBS_AT_ONCE && asking.add(entry.getKey())) {
        jobs.find(
            entry.getValue(),
            outcome -> {
              asking.remove(entry.getKey());
              if (!cancelled() && outcome instanceof JobOutcome.Found found) {
                found(entry.getKey(), found.status());
              }
            });
      }
    }
    pump();
  }

  private void summary() {
    if (core.size() > 0) {
      LOG.info(
          "queues: {} messages are not over, {} KiB; {} answers came too late; {}",
          core.size(),
          core.bytes() / 1024,
          core.staleSettlements(),
          books.writeSummary());
    }
  }
}
