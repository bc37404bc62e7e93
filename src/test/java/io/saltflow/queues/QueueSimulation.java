package io.saltflow.queues;

import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Seeded simulation of leaders, publishers and consumers that share a log in memory. Answers are
 * lost, writes are delayed, consumers disconnect and reconnect, and leaders crash or lose their
 * leadership unnoticed. The events that clients observe are added to a history.
 */
final class QueueSimulation {
  /** Bugs that a test injects around the core to check that the history detects them. */
  enum Bug {
    NONE,
    CONFIRM_BEFORE_RECORD,
    ATTEMPT_START_NOT_RECORDED,
    WRITE_NOT_FENCED,
    COMPLETED_ID_NOT_RECORDED,
    LOG_TRUNCATED_TOO_FAR,
    SENT_DELIVERY_REVERTED,
    JOB_SHARED_BY_MESSAGES
  }

  static final byte[] EMPTY = new byte[0];
  static final QueueId WORK = new QueueId("/", "work");
  static final QueueId AT_MOST_ONCE = new QueueId("/", "once");
  static final QueueId DEAD_LETTERING = new QueueId("/", "picky");
  static final QueueId EXPIRING = new QueueId("/", "brief");
  static final QueueId RESULTS = new QueueId("/", "results");
  static final QueueId DEAD_LETTERS = new QueueId("/", "dead");

  /** The queue whose messages become jobs. */
  static final QueueId JOBS = new QueueId("/", "jobs");

  static final QueueId JOB_RESULTS = new QueueId("/", "jobs.results");
  static final int ATTEMPTS = 3;

  private static final int REMEMBERED_IDS = 50;
  private static final String CONSUMER_TAG = "consumer";
  private static final int CHUNK = 200;
  private static final int SHARED_JOBS = 4;

  /** Small batches are filled by new entries; in large ones the log is cleaned as well. */
  private static final List<Integer> BATCH_BYTES = List.of(300, 1000, 4000);

  private static final TimeSpan SKEW = TimeSpan.millis(10);
  private static final List<QueueId> INPUTS = List.of(WORK, AT_MOST_ONCE, DEAD_LETTERING, EXPIRING);

  static QueuePolicy policy(QueueId id, boolean repeats, QueueId dead, TimeSpan ttl) {
    return new QueuePolicy(
        id,
        false,
        "c",
        "",
        Priority.NORMAL,
        Resources.ZERO,
        ATTEMPTS,
        TimeSpan.millis(20),
        repeats,
        TimeSpan.millis(400),
        dead,
        RESULTS,
        1000,
        ttl,
        false);
  }

  static QueuePolicy jobPolicy() {
    return new QueuePolicy(
        JOBS,
        true,
        "c",
        "",
        Priority.NORMAL,
        Resources.ZERO,
        ATTEMPTS,
        TimeSpan.millis(0),
        true,
        TimeSpan.millis(400),
        null,
        JOB_RESULTS,
        1000,
        null,
        false);
  }

  static List<QueuePolicy> policies() {
    return List.of(
        jobPolicy(),
        QueuePolicy.internal(JOB_RESULTS, TimeSpan.millis(400), 1000),
        policy(WORK, true, null, null),
        policy(AT_MOST_ONCE, false, null, null),
        policy(DEAD_LETTERING, true, DEAD_LETTERS, null),
        policy(EXPIRING, true, null, TimeSpan.millis(300)),
        QueuePolicy.internal(RESULTS, TimeSpan.millis(400), 1000),
        QueuePolicy.internal(DEAD_LETTERS, TimeSpan.millis(400), 1000));
  }

  /** Encodes results as {@code id outcome attempts}. */
  static final ResultEncoder RESULT_ENCODER =
      new ResultEncoder() {
        @Override
        public byte[] body(String id, Outcome outcome, int attempts, String reason) {
          return (id + " " + outcome.text() + " " + attempts).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public byte[] properties(String id) {
          return EMPTY;
        }
      };

  /** The process of one leader. */
  private final class Leader {
    final QueueCore core;
    RecordBatch unacknowledgedBatch;
    boolean dead;

    Leader(Term term) {
      core =
          new QueueCore(
              policies(),
              new QueueCore.Limits(1 << 20, 1 << 16, REMEMBERED_IDS, TimeSpan.seconds(1000), SKEW),
              (queue, arrived) -> true,
              (queue, id, body) -> JobMessages.spec(jobId(id), body),
              RESULT_ENCODER,
              term);
      record.forEach((number, bytes) -> core.replay(number, chunks(bytes), decoded(bytes)));
      core.begin(now, wallMs());
    }
  }

  /** A connection with one consumer, and the leader that it connected to. */
  private record Worker(long session, ConsumerId id, Leader leader) {}

  private JobId jobId(JobId id) {
    return bug == Bug.JOB_SHARED_BY_MESSAGES
        ? JobId.of(0, Math.floorMod(id.hashCode(), SHARED_JOBS))
        : id;
  }

  private record HeldDelivery(Worker worker, DeliveryId id, QueueId queue, String message) {}

  final DeliveryHistory history = new DeliveryHistory();
  private final JobMessages jobMessages;
  private final SplittableRandom random;
  private final Bug bug;
  private final int batchBytes;

  /** Probability that another message is published in a step. */
  private final double newMessages;

  private final TreeMap<Long, byte[]> record = new TreeMap<>();
  private final Set<String> recordedIds = new HashSet<>();
  private final Map<String, QueueId> toPublish = new LinkedHashMap<>();
  private final Set<String> confirmed = new HashSet<>();
  private final Map<PendingPublish, String> pendingPublishes = new HashMap<>();
  private final List<Worker> workers = new ArrayList<>();
  private final List<HeldDelivery> held = new ArrayList<>();
  private final List<Leader> leaders = new ArrayList<>();
  private long term;
  private long sessions;
  private long published;
  private MonotonicTime now = new MonotonicTime(0);

  QueueSimulation(long seed, Bug bug) {
    random = new SplittableRandom(seed);
    this.bug = bug;
    batchBytes = pick(BATCH_BYTES);
    newMessages = random.nextDouble();
    jobMessages = new JobMessages(random.split());
    if (withProbability(0.5)) {
      term = 1;
      List<Entry> former = jobMessages.recordsOfEarlierVersion(wallMs());
      record.put(1L, EntryCodec.encode(former));
      addRecorded(former);
    }
    failOver();
  }

  private long wallMs() {
    return 1_000_000 + now.ms();
  }

  private static int chunks(byte[] bytes) {
    return 1 + bytes.length / CHUNK;
  }

  static List<Entry> decoded(byte[] bytes) {
    try {
      return EntryCodec.decode(bytes);
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private boolean withProbability(double p) {
    return random.nextDouble() < p;
  }

  private <T> T pick(List<T> list) {
    return list.get(random.nextInt(list.size()));
  }

  private Leader newest() {
    return leaders.get(leaders.size() - 1);
  }

  /** Makes another process the leader. The former leader may not have noticed yet. */
  private void failOver() {
    leaders.removeIf(l -> l.dead);
    term++;
    leaders.add(new Leader(new Term(term)));
  }

  /** Runs steps with faults, then steps without faults in which every message must be completed. */
  void run(int steps) {
    for (int i = 0; i < 12; i++) {
      addMessage();
    }
    for (int i = 0; i < steps; i++) {
      now = now.plus(TimeSpan.millis(random.nextInt(30)));
      if (messageCount() < REMEMBERED_IDS && withProbability(newMessages)) {
        addMessage();
      }
      step();
      for (Leader leader : List.copyOf(leaders)) {
        serve(leader, 0.3);
      }
    }
    if (withProbability(0.5)) {
      failOver();
    }
    leaders.removeIf(l -> l != newest());
    workers.forEach(worker -> worker.leader.core.sessionClosed(worker.session, now, wallMs()));
    workers.clear();
    held.clear();
    for (int i = 0; i < 400; i++) {
      now = now.plus(TimeSpan.millis(40));
      republish();
      consumeAll();
      serve(newest(), 0);
      for (HeldDelivery delivery : List.copyOf(held)) {
        settle(delivery, QueueCore.Settlement.ACK);
      }
    }
    history.checkCompleted();
    jobMessages.checkCompleted();
  }

  /** Returns what clients observed that the queues must never do. */
  List<String> violations() {
    List<String> all = new ArrayList<>(history.violations());
    all.addAll(jobMessages.violations());
    return all;
  }

  private void addMessage() {
    if (withProbability(0.25)) {
      jobMessages.addMessage(term);
      return;
    }
    QueueId queue = pick(INPUTS);
    toPublish.put(queue.name() + "-" + toPublish.size(), queue);
  }

  private void step() {
    switch (random.nextInt(12)) {
      case 0, 1, 2 -> republish();
      case 3, 4 -> connect(newest());
      case 5 -> connect(pick(leaders));
      case 6, 7, 8 -> settleRandomDelivery();
      case 9 -> disconnectWorker();
      case 10 -> {
        if (withProbability(0.3)) {
          newest().dead = withProbability(0.5);
          failOver();
        }
      }
      default -> {
        Leader leader = pick(leaders);
        leader.core.setAccepting(withProbability(0.7));
      }
    }
  }

  private void republish() {
    for (String body : jobMessages.toPublish()) {
      PendingPublish pendingPublish = new PendingPublish(0, 0, ++published);
      pendingPublishes.put(pendingPublish, body);
      newest().core.publish(pendingPublish, jobMessages.publish(body), now, wallMs());
    }
    for (Map.Entry<String, QueueId> entry : toPublish.entrySet()) {
      if (confirmed.contains(entry.getKey()) && !withProbability(0.02)) {
        continue;
      }
      Leader leader = newest();
      PendingPublish pendingPublish = new PendingPublish(0, 0, ++published);
      pendingPublishes.put(pendingPublish, entry.getKey());
      history.published(entry.getKey());
      if (bug == Bug.CONFIRM_BEFORE_RECORD) {
        history.confirmed(entry.getKey(), recordedIds.contains(entry.getKey()));
        confirmed.add(entry.getKey());
      }
      byte[] body = entry.getKey().getBytes(StandardCharsets.UTF_8);
      leader.core.publish(
          pendingPublish,
          new PublishRequest(entry.getValue(), entry.getKey(), -1, EMPTY, body),
          now,
          wallMs());
    }
  }

  private void connect(Leader leader) {
    QueueId queue = withProbability(0.3) ? pick(List.of(RESULTS, JOB_RESULTS)) : pick(INPUTS);
    if (!workers.isEmpty() && withProbability(0.3)) {
      consumeAgain(pick(workers), queue);
    } else {
      consume(leader, queue, 1 + random.nextInt(3));
    }
  }

  /** Cancels a consumer and uses its tag again, while it may still hold deliveries. */
  private void consumeAgain(Worker worker, QueueId queue) {
    worker.leader.core.cancel(worker.id);
    worker.leader.core.consume(worker.id, queue, false, 1 + random.nextInt(3), now, wallMs());
  }

  private void consume(Leader leader, QueueId queue, int limit) {
    ConsumerId id = new ConsumerId(++sessions, 1, CONSUMER_TAG);
    workers.add(new Worker(id.session(), id, leader));
    leader.core.consume(id, queue, false, limit, now, wallMs());
  }

  private void consumeAll() {
    for (QueueId queue : newest().core.queueIds()) {
      if (!queue.equals(JOBS) && newest().core.status(queue).consumers() == 0) {
        consume(newest(), queue, 50);
      }
    }
  }

  /** Settles a random current or former delivery in a random way, possibly twice. */
  private void settleRandomDelivery() {
    if (held.isEmpty()) {
      return;
    }
    HeldDelivery delivery = pick(held);
    settle(delivery, pick(List.of(QueueCore.Settlement.values())));
    if (withProbability(0.3)) {
      settle(delivery, QueueCore.Settlement.ACK);
    }
  }

  private void settle(HeldDelivery delivery, QueueCore.Settlement requested) {
    // Consumers of results always acknowledge them.
    boolean result = delivery.queue.equals(RESULTS) || delivery.queue.equals(JOB_RESULTS);
    QueueCore.Settlement settlement = result ? QueueCore.Settlement.ACK : requested;
    boolean settled = delivery.worker.leader.core.settle(delivery.id, settlement, now, wallMs());
    if (settled && !result && settlement == QueueCore.Settlement.ACK) {
      history.acked(delivery.message);
    }
    if (!withProbability(0.2)) {
      held.remove(delivery);
    }
  }

  private void disconnectWorker() {
    if (workers.isEmpty()) {
      return;
    }
    Worker worker = pick(workers);
    workers.remove(worker);
    worker.leader.core.sessionClosed(worker.session, now, wallMs());
  }

  /** Advances a leader: timeouts, effects and writes. */
  private void serve(Leader leader, double faults) {
    if (leader.dead) {
      return;
    }
    if (faults == 0) {
      leader.core.setAccepting(true);
    }
    leader.core.tick(now, wallMs());
    jobMessages.poll(leader.core, faults == 0 ? 0.5 : 0.02, now, wallMs());
    for (int i = 0; i < 3 && !leader.dead; i++) {
      applyEffects(leader);
      write(leader, faults);
    }
    applyEffects(leader);
  }

  private void applyEffects(Leader leader) {
    for (Effect effect : leader.core.effects()) {
      if (effect instanceof Effect.Confirm confirm) {
        String id = pendingPublishes.get(confirm.publish());
        if (!jobMessages.confirmed(id, recordedIds.contains(id))) {
          history.confirmed(id, recordedIds.contains(id));
          confirmed.add(id);
        }
      } else if (effect instanceof Effect.Deliver deliver) {
        deliver(leader, deliver);
      } else if (effect instanceof Effect.Admit admit) {
        jobMessages.admit(admit.spec());
      } else if (effect instanceof Effect.Overdue overdue) {
        workers.removeIf(w -> w.id.equals(overdue.consumer()));
      }
    }
  }

  private void deliver(Leader leader, Effect.Deliver deliver) {
    Worker target = null;
    for (Worker worker : workers) {
      if (worker.id.equals(deliver.id().consumer())) {
        target = worker;
      }
    }
    if (target == null) {
      leader.core.deliveryNotSent(deliver.id(), now, wallMs());
      return;
    }
    held.add(new HeldDelivery(target, deliver.id(), deliver.queue(), deliver.messageId()));
    if (deliver.queue().equals(JOB_RESULTS)) {
      jobMessages.result(
          deliver.messageId(),
          deliver.id().message(),
          new String(deliver.body(), StandardCharsets.UTF_8));
    } else if (deliver.queue().equals(RESULTS)) {
      history.result(
          deliver.messageId(),
          new String(deliver.body(), StandardCharsets.UTF_8),
          deliver.id().message());
    } else if (!deliver.queue().equals(DEAD_LETTERS)) {
      history.delivered(deliver.messageId(), deliver.queue());
    }
    if (bug == Bug.SENT_DELIVERY_REVERTED && withProbability(0.2)) {
      leader.core.deliveryNotSent(deliver.id(), now, wallMs());
    }
  }

  private void write(Leader leader, double faults) {
    RecordBatch batch =
        leader.unacknowledgedBatch != null
            ? leader.unacknowledgedBatch
            : leader.core.nextBatch(batchBytes, wallMs());
    if (batch == null) {
      return;
    }
    byte[] existing = record.get(batch.number());
    boolean alreadyStored = existing != null && Arrays.equals(existing, stored(batch));
    if (leader != newest() && bug != Bug.WRITE_NOT_FENCED) {
      // The write fails its guard on the leader's key, which was deleted. Pending requests of
      // this leader are never answered.
      leader.dead = true;
      return;
    }
    if (!alreadyStored && withProbability(faults)) {
      // The write is not applied. Either the leader receives the failure or it gets no answer.
      leader.unacknowledgedBatch = withProbability(0.5) ? batch : null;
      if (leader.unacknowledgedBatch == null) {
        leader.core.notRecorded();
      }
      return;
    }
    store(batch);
    history.checkRecord(RecordedMessages.read(record), toPublish);
    if (withProbability(faults)) {
      leader.unacknowledgedBatch = batch;
      return;
    }
    leader.unacknowledgedBatch = null;
    leader.core.recorded(chunks(record.get(batch.number())), now, wallMs());
  }

  private byte[] stored(RecordBatch batch) {
    List<Entry> entries = new ArrayList<>(batch.entries());
    if (bug == Bug.ATTEMPT_START_NOT_RECORDED) {
      entries.removeIf(e -> e instanceof Entry.Started);
    }
    if (bug == Bug.COMPLETED_ID_NOT_RECORDED) {
      entries.removeIf(e -> e instanceof Entry.Known);
    }
    return EntryCodec.encode(entries);
  }

  private void store(RecordBatch batch) {
    record.put(batch.number(), stored(batch));
    long tail = bug == Bug.LOG_TRUNCATED_TOO_FAR ? batch.tail() + 2 : batch.tail();
    record.headMap(Math.min(tail, batch.number())).clear();
    addRecorded(batch.entries());
  }

  private void addRecorded(List<Entry> entries) {
    for (Entry entry : entries) {
      if (entry instanceof Entry.Kept kept) {
        boolean job = kept.queue().equals(JOBS);
        recordedIds.add(job ? new String(kept.body(), StandardCharsets.UTF_8) : kept.id());
      }
    }
  }

  int messageCount() {
    return toPublish.size() + jobMessages.size();
  }

  long usedChunks() {
    return newest().core.usedChunks();
  }
}
