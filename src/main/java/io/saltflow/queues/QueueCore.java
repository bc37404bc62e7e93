package io.saltflow.queues;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import java.math.BigInteger;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * The leader's work queues: a deterministic core that is told what happened and when, says what is
 * to be recorded, and once it is recorded what is to be done. It knows no sockets and no clock.
 *
 * <p>Nothing is answered ahead of its record: a publish is confirmed, a delivery sent and a result
 * offered only when the batch that says so is durable.
 */
public final class QueueCore {
  /** Bounds: messages' bytes in all, of one body, ids remembered and for how long, clock skew. */
  public record Limits(
      long mostBytes, int mostBody, int remembered, Span rememberedFor, Span skew) {}

  /** What a consumer says of a delivery. */
  public enum Settlement {
    ACK,
    REJECT,
    REQUEUE
  }

  private static final long MESSAGE_BYTES = 60;
  private static final long KNOWN_BYTES = 32;

  private record Held(Time until, MessageNo no, int attempt) {}

  private record Delayed(Time until, Message message) {}

  private final Limits limits;
  private final Room room;
  private final JobMaker jobs;
  private final ResultForm form;
  private final Term term;
  private final Ring ring;
  private final Remembered ended;
  private final Map<QueueId, QueueState> queues = new TreeMap<>();
  private final TreeMap<MessageNo, Message> messages = new TreeMap<>();
  private final Map<Digest, Message> byDigest = new HashMap<>();
  private final Sessions sessions = new Sessions();
  private final Recorder recorder;
  private final PriorityQueue<Message> expiring =
      new PriorityQueue<>(Comparator.comparingLong((Message m) -> m.expiresWallMs));
  private final PriorityQueue<Held> overdue =
      new PriorityQueue<>(Comparator.comparing(Held::until));
  private final PriorityQueue<Delayed> delayed =
      new PriorityQueue<>(Comparator.comparing(Delayed::until));
  private List<Effect> effects = new ArrayList<>();
  private boolean taking = true;
  private long lastNo;
  private long bytes;
  private long stale;
  private Time now;
  private long wallMs;

  public QueueCore(
      Collection<QueuePolicy> policies,
      Limits limits,
      int chunkBytes,
      Room room,
      JobMaker jobs,
      ResultForm form,
      Term term) {
    this.limits = limits;
    this.room = room;
    this.jobs = jobs;
    this.form = form;
    this.term = term;
    ring = new Ring(chunkBytes);
    ended = new Remembered(limits.remembered(), limits.rememberedFor(), ring);
    recorder = new Recorder(ring, new Living());
    policies.forEach(p -> queues.put(p.id(), new QueueState(p)));
  }

  private void at(Time time, long wall) {
    now = time;
    wallMs = wall;
  }

  /** What is to be done since this was last asked. */
  public List<Effect> effects() {
    List<Effect> out = effects;
    effects = new ArrayList<>();
    return out;
  }

  // ---- What former leaders recorded

  /** One batch of the record, in order and before {@link #begin}. */
  public void replay(long number, int chunks, List<Entry> entries) {
    ring.recorded(number, chunks);
    for (Entry e : entries) {
      if (e instanceof Entry.Kept k) {
        replayKept(k, number);
      } else if (e instanceof Entry.Started s) {
        Message m = messages.get(s.no());
        if (m != null) {
          m.attempts = s.attempt();
          m.out = true;
        }
      } else if (e instanceof Entry.Returned r) {
        Message m = messages.get(r.no());
        if (m != null) {
          m.attempts = r.attempts();
          m.out = false;
        }
      } else if (e instanceof Entry.Ended x) {
        forget(messages.get(x.no()));
      } else if (e instanceof Entry.Known k) {
        ended.put(k.digest(), k.wallMs(), number);
      }
    }
  }

  private void replayKept(Entry.Kept k, long number) {
    // A queue that is not set up any more keeps its messages until somebody takes them.
    QueueState queue =
        queues.computeIfAbsent(
            k.queue(),
            id -> new QueueState(QueuePolicy.inward(id, Span.seconds(1800), Integer.MAX_VALUE)));
    Message before = messages.get(k.no());
    Message m = new Message(k, queue);
    if (before != null) {
      m.home = before.home;
      forget(before);
    }
    enter(m);
    home(m, number);
  }

  /** The record has been read: what consumers had is theirs no more. */
  public void begin(Time time, long wall) {
    at(time, wall);
    for (Message m : new ArrayList<>(messages.values())) {
      if (m.queue.policy.machines()) {
        toMachines(m);
      } else if (m.out) {
        lost(m, "its consumer was lost with the leader that served it");
      } else {
        waits(m);
      }
    }
    dispatch();
  }

  // ---- Publishing

  /**
   * A message for a queue. It is answered by an effect, now or once it is recorded.
   *
   * @param id the publisher's, by which a repetition is known; null: none
   * @param ttlMs how long it may wait; negative: as long as its queue lets it
   */
  public void publish(
      Ticket ticket,
      QueueId queueId,
      String id,
      long ttlMs,
      byte[] properties,
      byte[] body,
      Time time,
      long wall) {
    at(time, wall);
    QueueState queue = queues.get(queueId);
    Digest digest = id == null ? null : Digest.of(queueId, id);
    Message known = digest == null ? null : byDigest.get(digest);
    if (known != null) {
      if (known.home == 0) {
        known.tickets.add(ticket);
      } else {
        effects.add(new Effect.Confirm(ticket));
      }
      return;
    }
    if (digest != null && ended.has(digest)) {
      effects.add(new Effect.Confirm(ticket));
      return;
    }
    Refusal refusal = refusal(queue, properties.length + body.length, body.length);
    if (refusal != null) {
      effects.add(new Effect.Refuse(ticket, refusal));
      return;
    }
    MessageNo no = new MessageNo(++lastNo);
    Message m =
        new Message(
            new Entry.Kept(
                no,
                queueId,
                id == null ? term + "-" + no.number() : id,
                id != null,
                wallMs,
                expiry(queue.policy, ttlMs),
                0,
                false,
                properties,
                body),
            queue);
    m.tickets.add(ticket);
    enter(m);
    if (queue.policy.machines() && specOf(m) == null) {
      return;
    }
    record(List.of(m.kept()), () -> published(m), () -> refused(m));
  }

  private Refusal refusal(QueueState queue, int size, int bodySize) {
    if (queue == null) {
      return Refusal.NO_SUCH_QUEUE;
    }
    if (queue.policy.inward()) {
      return Refusal.INWARD;
    }
    if (!taking) {
      return Refusal.NOT_NOW;
    }
    if (bodySize > limits.mostBody() || size > limits.mostBody() + 1024) {
      return Refusal.TOO_LARGE;
    }
    // Results must have room whatever happens, so their queue's bound is kept at this end.
    QueueId to = queue.policy.results();
    QueueState results = to == null ? null : queues.get(to);
    boolean full =
        queue.messages >= queue.policy.mostWaiting()
            || bytes + size + Message.OVERHEAD > limits.mostBytes()
            || (results != null && results.messages >= results.policy.mostWaiting());
    return full ? Refusal.FULL : null;
  }

  private long expiry(QueuePolicy policy, long ttlMs) {
    long most = policy.timeToLive() == null ? Long.MAX_VALUE : policy.timeToLive().ms();
    long span = ttlMs < 0 ? most : Math.min(most, ttlMs);
    return span > Long.MAX_VALUE - wallMs ? Message.NEVER : wallMs + span;
  }

  private void published(Message m) {
    home(m, recorder.number());
    confirm(m);
    if (m.queue.policy.machines()) {
      toMachines(m);
    } else {
      waits(m);
    }
  }

  private void confirm(Message m) {
    m.tickets.forEach(t -> effects.add(new Effect.Confirm(t)));
    m.tickets.clear();
  }

  private void refused(Message m) {
    m.tickets.forEach(t -> effects.add(new Effect.Refuse(t, Refusal.NOT_NOW)));
    forget(m);
  }

  /** Whether anything can be recorded at all; if not, what is not on its way is refused at once. */
  public void taking(boolean may) {
    taking = may;
    if (!may) {
      recorder.drop();
      // What is on its way may yet be recorded. Its publishers are not kept waiting for it: one
      // that publishes again under the same id is answered by what was recorded.
      for (Message m : messages.values()) {
        if (m.home == 0) {
          m.tickets.forEach(t -> effects.add(new Effect.Refuse(t, Refusal.NOT_NOW)));
          m.tickets.clear();
        }
      }
    }
  }

  // ---- Consumers

  /** A consumer that may have so many deliveries at a time; false: there is no such queue. */
  public boolean consume(
      ConsumerId id, QueueId queueId, boolean noAck, int limit, Time time, long wall) {
    at(time, wall);
    QueueState queue = queues.get(queueId);
    if (queue == null || queue.policy.machines()) {
      return false;
    }
    Consumer c = sessions.add(id, queue, noAck, limit);
    queue.consumers++;
    queue.refresh(c);
    dispatch();
    return true;
  }

  /** It takes no more. What it holds may still be settled. */
  public void cancel(ConsumerId id) {
    Consumer c = sessions.find(id);
    if (c != null && !c.leaving) {
      c.leaving = true;
      c.queue.consumers--;
      c.queue.remove(c);
    }
  }

  /** All consumers of the channel together may have so many. */
  public void share(long session, int channel, int limit, Time time, long wall) {
    at(time, wall);
    sessions.share(session, channel, limit);
    dispatch();
  }

  /** The peer can't be sent more for now, or can again. */
  public void paused(long session, boolean paused, Time time, long wall) {
    at(time, wall);
    sessions.paused(session, paused);
    dispatch();
  }

  public void channelClosed(long session, int channel, Time time, long wall) {
    at(time, wall);
    sessions.removeChannel(session, channel).forEach(this::vanished);
    dispatch();
  }

  public void sessionGone(long session, Time time, long wall) {
    at(time, wall);
    sessions.removeSession(session).forEach(this::vanished);
    dispatch();
  }

  private void vanished(Consumer c) {
    cancel(c);
    for (Message m : c.held.stream().sorted(Comparator.comparing(x -> x.no)).toList()) {
      release(m);
      if (m.state == Message.State.DELIVERED) {
        lost(m, "its consumer is gone");
      }
      // What was about to be sent is put back once its record is clear: see started.
    }
  }

  private void cancel(Consumer c) {
    if (!c.leaving) {
      c.leaving = true;
      c.queue.consumers--;
    }
    c.queue.remove(c);
  }

  /** One message now, if there is one; it is answered by an effect. */
  public void get(long session, int channel, QueueId queueId, boolean noAck, Time time, long wall) {
    at(time, wall);
    QueueState queue = queues.get(queueId);
    Message head = queue == null ? null : queue.head();
    if (head == null || !mayStart(queue, head)) {
      effects.add(new Effect.GetEmpty(session, channel));
      return;
    }
    ConsumerId id = new ConsumerId(session, channel, ConsumerId.GET);
    start(head, sessions.getter(id, queue, noAck));
  }

  /** False when the delivery is not this consumer's any more: what it says changes nothing. */
  public boolean settle(DeliveryId id, Settlement how, Time time, long wall) {
    at(time, wall);
    Message m = messages.get(id.message());
    if (m == null
        || m.state != Message.State.DELIVERED
        || m.attempts != id.attempt()
        || !m.holder.id.equals(id.consumer())) {
      stale++;
      return false;
    }
    release(m);
    switch (how) {
      case ACK -> end(m, Outcome.DONE, null);
      case REJECT -> end(m, Outcome.FAILED, "its consumer rejected it");
      case REQUEUE -> {
        if (m.queue.policy.repeats()) {
          again(m, "its consumer gave it back");
        } else {
          end(m, Outcome.FAILED, "its consumer gave it back, and it may not be repeated");
        }
      }
    }
    dispatch();
    return true;
  }

  /** The delivery could not be handed over: nobody has seen it, and the attempt does not count. */
  public void notSent(DeliveryId id, Time time, long wall) {
    at(time, wall);
    Message m = messages.get(id.message());
    if (m != null
        && m.state == Message.State.DELIVERED
        && m.attempts == id.attempt()
        && m.holder.id.equals(id.consumer())) {
      release(m);
      neverSent(m);
      dispatch();
    }
  }

  private void neverSent(Message m) {
    m.attempts--;
    m.out = false;
    record(List.of(new Entry.Returned(m.no, m.attempts)), () -> {}, null);
    waits(m);
  }

  /** A consumer that may have begun it is gone, or has failed it. */
  private void lost(Message m, String why) {
    if (m.queue.policy.repeats()) {
      again(m, why);
    } else {
      end(m, Outcome.UNKNOWN, why + "; whether it was done is not known");
    }
  }

  private void again(Message m, String why) {
    QueuePolicy policy = m.queue.policy;
    if (m.attempts >= policy.attempts()) {
      end(m, Outcome.FAILED, "failed after " + m.attempts + " attempts; the last: " + why);
      return;
    }
    m.out = false;
    record(List.of(new Entry.Returned(m.no, m.attempts)), () -> {}, null);
    m.notBefore = now.plus(policy.pauseAfter(m.attempts));
    waits(m);
  }

  private void waits(Message m) {
    m.state = Message.State.WAITING;
    if (expired(m)) {
      end(m, Outcome.EXPIRED, null);
    } else if (now.before(m.notBefore)) {
      delayed.add(new Delayed(m.notBefore, m));
    } else {
      m.queue.waiting.put(m.no, m);
      if (m.expiresWallMs != Message.NEVER) {
        expiring.add(m);
      }
    }
  }

  /** Surely over, whoever's clock it was that stamped the arrival. */
  private boolean expired(Message m) {
    return m.expiresWallMs != Message.NEVER && wallMs - m.expiresWallMs > limits.skew().ms() * 2;
  }

  // ---- Giving out

  private boolean mayStart(QueueState queue, Message head) {
    return queue.policy.size().cores() <= 0 && queue.policy.size().gpus() <= 0
        || room.mayStart(queue.policy, head.arrivedWallMs);
  }

  /** Guarantees aside, messages go out as native jobs do: by priority, then by arrival. */
  private void dispatch() {
    PriorityQueue<QueueState> heads =
        new PriorityQueue<>(
            Comparator.comparing((QueueState q) -> q.policy.priority(), Comparator.reverseOrder())
                .thenComparingLong(q -> q.head().arrivedWallMs)
                .thenComparing(q -> q.head().no));
    for (QueueState q : queues.values()) {
      if (q.head() != null && q.nextConsumer() != null) {
        heads.add(q);
      }
    }
    while (!heads.isEmpty()) {
      QueueState q = heads.poll();
      Consumer c = q.nextConsumer();
      if (!c.free()) {
        // Another consumer of its channel or connection has used up what they share.
        q.remove(c);
      } else if (mayStart(q, q.head())) {
        start(q.head(), c);
      } else {
        continue;
      }
      if (q.head() != null && q.nextConsumer() != null) {
        heads.add(q);
      }
    }
  }

  private void start(Message m, Consumer c) {
    m.queue.waiting.remove(m.no);
    m.state = Message.State.STARTING;
    m.out = true;
    m.attempts++;
    m.holder = c;
    c.held.add(m);
    c.share.out++;
    m.queue.out++;
    sessions.underWay(c, m.bytes());
    if (!c.id.get()) {
      m.queue.refresh(c);
    }
    record(List.of(new Entry.Started(m.no, m.attempts)), () -> started(m), null);
  }

  private void started(Message m) {
    if (m.holder == null) {
      neverSent(m);
      dispatch();
      return;
    }
    m.state = Message.State.DELIVERED;
    sessions.underWay(m.holder, -m.bytes());
    m.heldUntil = now.plus(m.queue.policy.delivery());
    overdue.add(new Held(m.heldUntil, m.no, m.attempts));
    effects.add(
        new Effect.Deliver(
            m.delivery(),
            m.queue.policy.id(),
            m.attempts > 1,
            m.holder.noAck,
            m.holder.id.get(),
            m.queue.waiting.size(),
            m.id,
            m.properties,
            m.body));
  }

  private void release(Message m) {
    Consumer c = m.holder;
    if (m.state == Message.State.STARTING) {
      sessions.underWay(c, -m.bytes());
    }
    m.holder = null;
    m.heldUntil = Time.NEVER;
    c.held.remove(m);
    c.share.out--;
    m.queue.out--;
    sessions.freed(c);
  }

  // ---- Machines

  private JobSpec specOf(Message m) {
    Digest d = Digest.of("job", m.queue.policy.id().vhost(), m.queue.policy.id().name(), m.id);
    BigInteger number =
        new BigInteger(1, longs(d.high(), d.low())).add(BigInteger.ONE.shiftLeft(128));
    JobId id = new JobId(Wire.JOB_PREFIX + number);
    try {
      JobSpec spec = jobs.make(m.queue.policy, id, m.body);
      m.job = id;
      return spec;
    } catch (JobMaker.BadJob e) {
      end(m, Outcome.FAILED, e.getMessage());
      return null;
    }
  }

  private static byte[] longs(long high, long low) {
    return ByteBuffer.allocate(16).putLong(high).putLong(low).array();
  }

  private void toMachines(Message m) {
    JobSpec spec = specOf(m);
    if (spec != null) {
      m.state = Message.State.ON_MACHINES;
      m.givenUp = m.attempts >= m.queue.policy.attempts();
      effects.add(new Effect.Admit(m.no, spec, m.arrivedWallMs));
    }
  }

  /** Jobs of messages that are not over. */
  public Map<MessageNo, JobId> jobs() {
    Map<MessageNo, JobId> out = new LinkedHashMap<>();
    for (Message m : messages.values()) {
      if (m.state == Message.State.ON_MACHINES) {
        out.put(m.no, m.job);
      }
    }
    return out;
  }

  /** The job has failed so often so far. */
  public void jobErrors(MessageNo no, int errors, Time time, long wall) {
    at(time, wall);
    Message m = messages.get(no);
    if (m == null || m.state != Message.State.ON_MACHINES) {
      return;
    }
    if (!m.givenUp && errors >= m.queue.policy.attempts()) {
      m.givenUp = true;
      m.attempts = errors;
      record(
          List.of(new Entry.Returned(m.no, errors)),
          () -> effects.add(new Effect.Withdraw(m.job)),
          null);
    } else if (m.givenUp && errors >= m.attempts) {
      // The cancellation was asked for by a former leader perhaps, or has failed.
      effects.add(new Effect.Withdraw(m.job));
    }
  }

  /** The job is over: done, cancelled, or refused for a reason. */
  public void jobOver(
      MessageNo no, boolean done, String refused, int errors, Time time, long wall) {
    at(time, wall);
    Message m = messages.get(no);
    if (m == null || m.state != Message.State.ON_MACHINES) {
      return;
    }
    if (done) {
      m.attempts = errors + 1;
      end(m, Outcome.DONE, null);
    } else if (refused != null) {
      end(m, Outcome.FAILED, refused);
    } else if (m.givenUp) {
      end(m, Outcome.FAILED, "failed after " + m.attempts + " attempts");
    } else {
      m.attempts = errors;
      end(m, Outcome.CANCELLED, "its job was cancelled");
    }
  }

  // ---- Ends

  private void end(Message m, Outcome outcome, String reason) {
    m.queue.waiting.remove(m.no);
    m.state = Message.State.ENDING;
    QueuePolicy policy = m.queue.policy;
    List<Entry> unit = new ArrayList<>(4);
    unit.add(new Entry.Ended(m.no));
    List<Message> born = new ArrayList<>(2);
    Outcome told = outcome;
    if (outcome == Outcome.FAILED && policy.deadLetters() != null) {
      told = Outcome.DEAD_LETTERED;
      born.add(follower(m, policy.deadLetters(), m.properties, m.body));
    }
    if (policy.results() != null) {
      born.add(
          follower(
              m,
              policy.results(),
              form.properties(m.id),
              form.body(m.id, told, m.attempts, reason)));
    }
    born.forEach(b -> unit.add(b.kept()));
    Digest digest = m.digest();
    if (digest != null) {
      unit.add(new Entry.Known(digest, wallMs));
    }
    long endedAt = wallMs;
    // What was published only to fail at once may be refused like any publish; no other end may.
    Runnable dropped =
        m.home != 0
            ? null
            : () -> {
              born.forEach(this::forget);
              refused(m);
            };
    record(unit, () -> endRecorded(m, born, digest, endedAt), dropped);
  }

  private Message follower(Message m, QueueId to, byte[] properties, byte[] body) {
    Entry.Kept kept =
        new Entry.Kept(
            new MessageNo(++lastNo),
            to,
            m.id,
            false,
            wallMs,
            Message.NEVER,
            0,
            false,
            properties,
            body);
    Message b = new Message(kept, queues.get(to));
    enter(b);
    return b;
  }

  private void endRecorded(Message m, List<Message> born, Digest digest, long endedAt) {
    confirm(m);
    forget(m);
    if (digest != null) {
      ended.put(digest, endedAt, recorder.number());
    }
    for (Message b : born) {
      home(b, recorder.number());
      waits(b);
    }
  }

  // ---- What is there

  private void enter(Message m) {
    lastNo = Math.max(lastNo, m.no.number());
    messages.put(m.no, m);
    m.queue.messages++;
    bytes += m.bytes();
    Digest digest = m.digest();
    if (digest != null) {
      byDigest.put(digest, m);
    }
  }

  private void forget(Message m) {
    if (m == null || messages.remove(m.no) == null) {
      return;
    }
    m.queue.messages--;
    m.queue.waiting.remove(m.no);
    bytes -= m.bytes();
    ring.gone(m.no, m.home);
    Digest digest = m.digest();
    if (digest != null) {
      byDigest.remove(digest);
    }
  }

  private void home(Message m, long number) {
    ring.moved(m.no, m.home, number);
    m.home = number;
  }

  // ---- Recording

  private void record(List<Entry> entries, Runnable recorded, Runnable dropped) {
    recorder.add(entries, recorded, dropped);
  }

  private final class Living implements Recorder.Living {
    @Override
    public Entry entry(Object name) {
      if (name instanceof Digest d) {
        return new Entry.Known(d, ended.endedAt(d));
      }
      return messages.get((MessageNo) name).kept();
    }

    @Override
    public void moved(Object name, long number) {
      if (name instanceof Digest d) {
        if (ended.has(d)) {
          ended.put(d, ended.endedAt(d), number);
        }
      } else {
        Message m = messages.get((MessageNo) name);
        if (m != null) {
          home(m, number);
        }
      }
    }

    @Override
    public long bytes() {
      long bodies = bytes - (long) Message.OVERHEAD * messages.size();
      return bodies + MESSAGE_BYTES * messages.size() + KNOWN_BYTES * ended.size();
    }
  }

  /** Whether {@link #nextBatch} would have something. */
  public boolean hasPending() {
    return recorder.hasPending();
  }

  /** The next batch to record, of about so many bytes; null while one is under way, or for none. */
  public Batch nextBatch(int mostBytes, long wall) {
    if (recorder.hasPending()) {
      ended.forgetOld(wall);
    }
    return recorder.next(mostBytes);
  }

  /** The batch is durable, in so many chunks. */
  public void recorded(int chunks, Time time, long wall) {
    at(time, wall);
    recorder.recorded(chunks);
    dispatch();
  }

  /** The batch was certainly not recorded, and never will be. */
  public void notRecorded() {
    recorder.notRecorded();
    if (!taking) {
      recorder.drop();
    }
  }

  // ---- Time

  public void tick(Time time, long wall) {
    at(time, wall);
    for (Delayed d = delayed.peek(); d != null && !now.before(d.until); d = delayed.peek()) {
      delayed.poll();
      if (d.message.state == Message.State.WAITING && messages.containsKey(d.message.no)) {
        waits(d.message);
      }
    }
    for (Message m = expiring.peek(); m != null && expired(m); m = expiring.peek()) {
      expiring.poll();
      if (m.state == Message.State.WAITING && m.queue.waiting.containsKey(m.no)) {
        end(m, Outcome.EXPIRED, null);
      }
    }
    for (Held h = overdue.peek(); h != null && !now.before(h.until); h = overdue.peek()) {
      overdue.poll();
      Message m = messages.get(h.no);
      if (m != null && m.state == Message.State.DELIVERED && m.attempts == h.attempt) {
        overdue(m);
      }
    }
    dispatch();
  }

  /** Its consumer is taken for gone, with all that it has on that channel. */
  private void overdue(Message m) {
    ConsumerId id = m.holder.id;
    effects.add(new Effect.Overdue(id, m.queue.policy.id()));
    sessions.removeChannel(id.session(), id.channel()).forEach(this::vanished);
  }

  // ---- What can be told

  /** Messages that wait in the queue and consumers on it; null: there is no such queue. */
  public int[] status(QueueId id) {
    QueueState q = queues.get(id);
    return q == null ? null : new int[] {q.waiting.size(), q.consumers};
  }

  public Collection<QueueId> queueIds() {
    return queues.keySet();
  }

  /** What messages use, and would use, of the teams' limits. */
  public List<Demand> demands() {
    List<Demand> out = new ArrayList<>();
    for (QueueState q : queues.values()) {
      QueuePolicy p = q.policy;
      if (p.team().isEmpty() || (p.size().cores() <= 0 && p.size().gpus() <= 0)) {
        continue;
      }
      int wanted = p.machines() ? 0 : q.wanted();
      if (q.out > 0 || wanted > 0) {
        long arrived = q.head() == null ? Message.NEVER : q.head().arrivedWallMs;
        out.add(
            new Demand(
                p.team(), p.priority(), p.size().times(q.out), p.size().times(wanted), arrived));
      }
    }
    return out;
  }

  /** Messages that are not over. */
  public int size() {
    return messages.size();
  }

  public long bytes() {
    return bytes;
  }

  /** Settlements that came too late to change anything. */
  public long staleSettlements() {
    return stale;
  }

  /** How many chunks the record takes. */
  public long usedChunks() {
    return ring.usedChunks();
  }
}
