package io.saltflow.broker;

import io.saltflow.amqp.AmqpException;
import io.saltflow.amqp.AmqpSession;
import io.saltflow.amqp.Authenticator;
import io.saltflow.amqp.BrokerSession;
import io.saltflow.amqp.OutgoingDelivery;
import io.saltflow.amqp.ReplyCode;
import io.saltflow.leader.LeaderCore;
import io.saltflow.model.TimeSpan;
import io.saltflow.queues.DeliveryId;
import io.saltflow.queues.Effect;
import io.saltflow.queues.PendingPublish;
import io.saltflow.queues.PublishRejection;
import io.saltflow.queues.QueueCore;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import io.saltflow.transport.StreamServer;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The AMQP server of one node. Any node accepts connections; the leader serves them, others name
 * the leader and close, so that clients that know all nodes try the next.
 */
public final class AmqpServer extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(AmqpServer.class);
  private static final TimeSpan STATUS_CHECK_INTERVAL = TimeSpan.millis(500);
  private static final TimeSpan STATE_TROUBLE = TimeSpan.seconds(2);
  private static final int PAUSE_AT = 256 * 1024;
  private static final int MAX_WAITING_BYTES = 4 << 20;
  private static final double NEARLY_FULL = 0.9;

  private final EventLoop loop;
  private final AmqpSettings settings;
  private final QueueNode node;
  private final Supplier<String> leaderName;
  private final PasswordAuthenticator authenticator;
  private final StreamServer server;
  private final Map<Long, Connection> serving = new LinkedHashMap<>();
  private final Set<Connection> connections = new LinkedHashSet<>();
  private final Set<Connection> touched = new LinkedHashSet<>();
  private final Map<Connection, Map<Integer, List<Long>>> confirms = new LinkedHashMap<>();
  private QueueController duty;
  private long lastSession;

  /** Binds the address and starts to listen. */
  public AmqpServer(
      Routine parent,
      EventLoop loop,
      AmqpSettings settings,
      int mostConnections,
      QueueNode node,
      Supplier<String> leaderName)
      throws IOException {
    super(parent);
    this.loop = loop;
    this.settings = settings;
    this.node = node;
    this.leaderName = leaderName;
    authenticator = new PasswordAuthenticator(settings, loop.now());
    server =
        new StreamServer(
            this, loop, settings.listen(), mostConnections, MAX_WAITING_BYTES, Connection::new);
    loop.scheduleRepeating(STATUS_CHECK_INTERVAL, this, this::look);
  }

  /** The port that the server listens on. */
  public int port() {
    return server.port();
  }

  /** Whether messages can be published here. */
  public boolean ready() {
    return duty != null && duty.core() != null;
  }

  /** Serves the queues of a leader's term, which ends with its parent. */
  public void lead(Routine term, LeaderCore leader) {
    duty = new QueueController(term, loop, node, leader, settings, this::canRecord, this::perform);
    duty.start();
  }

  /** The term has ended: connected clients are sent to the next leader. */
  public void deposed() {
    duty = null;
    AmqpException why = elsewhere();
    for (Connection connection : new ArrayList<>(connections)) {
      connection.session.close(why);
    }
    serving.clear();
    confirms.clear();
  }

  private boolean canRecord() {
    return !node.state().outageDuration().longerThan(STATE_TROUBLE);
  }

  private AmqpException elsewhere() {
    String name = leaderName.get();
    if (name == null || name.equals(node.host())) {
      return new AmqpException(
          ReplyCode.CONNECTION_FORCED, "no leader serves yet, come back in a second");
    }
    String at = settings.addresses().get(name);
    return new AmqpException(
        ReplyCode.CONNECTION_FORCED,
        name + " leads" + (at == null ? "" : ", its queues are at " + at));
  }

  private void look() {
    String reason = null;
    if (!canRecord()) {
      reason = "nothing can be recorded now";
    } else if (ready() && duty.core().bytes() > settings.bounds().mostBytes() * NEARLY_FULL) {
      reason = "as many messages wait as there is room for";
    }
    for (Connection connection : new ArrayList<>(connections)) {
      connection.session.block(reason);
      connection.session.flush();
      if (!connection.session.tick(loop.now())) {
        connection.stream.cancel();
      }
    }
  }

  /** Carries out an effect of the queues; null marks the end of a group. */
  private void perform(Effect effect) {
    if (effect == null) {
      tellConfirms();
      List<Connection> now = new ArrayList<>(touched);
      touched.clear();
      now.forEach(Connection::flush);
    } else if (effect instanceof Effect.Confirm confirm) {
      Connection to = answered(confirm.ticket());
      if (to != null) {
        confirms
            .computeIfAbsent(to, x -> new LinkedHashMap<>())
            .computeIfAbsent(confirm.ticket().channel(), x -> new ArrayList<>())
            .add(confirm.ticket().number());
      }
    } else if (effect instanceof Effect.Refuse refuse) {
      Connection to = answered(refuse.ticket());
      if (to != null) {
        to.session.refused(
            refuse.ticket().channel(), refuse.ticket().number(), error(refuse.why()));
      }
    } else if (effect instanceof Effect.Deliver deliver) {
      deliver(deliver);
    } else if (effect instanceof Effect.GetEmpty getEmpty) {
      Connection to = find(getEmpty.session());
      if (to != null) {
        to.session.got(getEmpty.channel(), null, 0);
      }
    } else if (effect instanceof Effect.Overdue overdue) {
      LOG.info("{} kept a message of {} for too long", overdue.consumer(), overdue.queue());
      Connection to = find(overdue.consumer().session());
      if (to != null) {
        to.session.closeChannel(
            overdue.consumer().channel(),
            new AmqpException(
                ReplyCode.PRECONDITION_FAILED, "a delivery was not acknowledged in time"));
      }
    }
  }

  private void tellConfirms() {
    confirms.forEach((c, byChannel) -> byChannel.forEach(c.session::confirmed));
    confirms.clear();
  }

  private Connection find(long session) {
    Connection connection = serving.get(session);
    if (connection != null) {
      touched.add(connection);
    }
    return connection;
  }

  private Connection answered(PendingPublish ticket) {
    Connection connection = find(ticket.session());
    if (connection != null) {
      connection.broker.answered(ticket);
    }
    return connection;
  }

  private static AmqpException error(PublishRejection why) {
    return switch (why) {
      case NO_SUCH_QUEUE -> new AmqpException(ReplyCode.NOT_FOUND, "no such queue");
      case INWARD ->
          new AmqpException(
              ReplyCode.ACCESS_REFUSED, "only the service itself puts messages there");
      case FULL ->
          new AmqpException(ReplyCode.RESOURCE_LOCKED, "the queue is full, come back later");
      case TOO_LARGE -> new AmqpException(ReplyCode.CONTENT_TOO_LARGE, "more than can be recorded");
      case NOT_NOW -> new AmqpException(ReplyCode.RESOURCE_LOCKED, "nothing can be recorded now");
    };
  }

  private void deliver(Effect.Deliver deliver) {
    DeliveryId id = deliver.id();
    Connection to = find(id.consumer().session());
    OutgoingDelivery delivery =
        new OutgoingDelivery(
            id,
            deliver.queue().name(),
            deliver.redelivered(),
            deliver.noAck(),
            deliver.properties(),
            deliver.body());
    int channel = id.consumer().channel();
    boolean sent =
        to != null
            && (deliver.get()
                ? to.session.got(channel, delivery, deliver.left())
                : to.session.deliver(channel, id.consumer().tag(), delivery));
    QueueCore core = duty.core();
    if (!sent) {
      core.deliveryNotSent(id, loop.now(), node.wallMs().getAsLong());
    } else if (deliver.noAck()) {
      core.settle(id, QueueCore.Settlement.ACK, loop.now(), node.wallMs().getAsLong());
    }
  }

  /** One client connection: its socket and its session. */
  private final class Connection implements StreamServer.Peer, AmqpSession.Out, Authenticator {
    private final StreamServer.Stream stream;
    private final AmqpSession session;
    private QueueBrokerSession broker;
    private boolean paused;

    Connection(StreamServer.Stream stream) {
      this.stream = stream;
      AmqpSettings.Bounds bounds = settings.bounds();
      session =
          new AmqpSession(
              new AmqpSession.Limits(
                  bounds.channels(), bounds.frameMax(), bounds.heartbeat(), bounds.mostBody()),
              this,
              this,
              loop.now());
      connections.add(this);
    }

    @Override
    public void onBytes(ByteBuffer in) {
      session.feed(in, loop.now());
    }

    @Override
    public void send(ByteBuffer bytes) {
      stream.write(bytes);
    }

    @Override
    public void close() {
      stream.end();
    }

    void flush() {
      session.flush();
      if (!paused && broker != null && stream.waitingBytes() > PAUSE_AT) {
        paused = true;
        broker.paused(true);
      }
    }

    @Override
    public void onDrained() {
      if (paused) {
        paused = false;
        broker.paused(false);
      }
    }

    @Override
    public void onClosed() {
      connections.remove(this);
      serving.values().remove(this);
      confirms.remove(this);
      touched.remove(this);
      session.gone();
    }

    @Override
    public String login(String mechanism, String response) throws AmqpException {
      return authenticator.login(mechanism, response, loop.now());
    }

    @Override
    public BrokerSession open(String user, String vhost, AmqpSession opened) throws AmqpException {
      InetAddress from = stream.remote();
      authenticator.enter(user, vhost, from);
      if (duty == null || duty.core() == null) {
        if (duty != null && duty.broken()) {
          throw new AmqpException(ReplyCode.INTERNAL_ERROR, "the queues' record can't be read");
        }
        throw elsewhere();
      }
      QueueController serves = duty;
      long id = ++lastSession;
      broker =
          new QueueBrokerSession(
              id,
              vhost,
              serves.core(),
              settings.bounds(),
              opened,
              new QueueBrokerSession.Clocks(loop::now, node.wallMs()),
              serves::pump);
      serving.put(id, this);
      return broker;
    }
  }
}
