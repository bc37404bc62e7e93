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
 * The AMQP server of one node. Every node accepts connections, but only the leader serves them.
 * Other nodes close a connection with a reply that names the leader, so that clients configured
 * with all nodes try the next one.
 */
public final class AmqpServer extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(AmqpServer.class);
  private static final TimeSpan STATUS_CHECK_INTERVAL = TimeSpan.millis(500);
  private static final TimeSpan STORE_OUTAGE_TOLERANCE = TimeSpan.seconds(2);
  private static final int PAUSE_BYTES = 256 * 1024;
  private static final int MAX_UNSENT_BYTES = 4 << 20;
  private static final double MEMORY_BLOCK_RATIO = 0.9;

  private final EventLoop loop;
  private final AmqpSettings settings;
  private final QueueNode node;
  private final Supplier<String> leaderName;
  private final PasswordAuthenticator authenticator;
  private final StreamServer server;
  private final Map<Long, Connection> serving = new LinkedHashMap<>();
  private final Set<Connection> connections = new LinkedHashSet<>();
  private final Set<Connection> toFlush = new LinkedHashSet<>();
  private final Map<Connection, Map<Long, List<Long>>> confirms = new LinkedHashMap<>();
  private QueueController controller;
  private long lastSession;

  /** Binds the address and starts to listen. */
  public AmqpServer(
      Routine parent,
      EventLoop loop,
      AmqpSettings settings,
      int maxConnections,
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
            this, loop, settings.listen(), maxConnections, MAX_UNSENT_BYTES, Connection::new);
    loop.scheduleRepeating(STATUS_CHECK_INTERVAL, this, this::checkStatus);
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return server.port();
  }

  /** Returns whether this node serves the queues, so that clients can publish. */
  public boolean ready() {
    return controller != null && controller.core() != null;
  }

  /** Starts to serve the queues during a leader's term. Serving ends with the given routine. */
  public void lead(Routine term, LeaderCore leader) {
    controller =
        new QueueController(term, loop, node, leader, settings, this::canRecord, this::applyEffect);
    controller.start();
  }

  /**
   * Closes all connections after the end of the term, so that clients connect to the next leader.
   */
  public void deposed() {
    controller = null;
    AmqpException reason = notLeaderError();
    for (Connection connection : new ArrayList<>(connections)) {
      connection.session.close(reason);
    }
    serving.clear();
    confirms.clear();
  }

  private boolean canRecord() {
    return !node.state().outageDuration().longerThan(STORE_OUTAGE_TOLERANCE);
  }

  private AmqpException notLeaderError() {
    String name = leaderName.get();
    if (name == null || name.equals(node.host())) {
      return new AmqpException(
          ReplyCode.CONNECTION_FORCED, "no leader serves yet, come back in a second");
    }
    String address = settings.addresses().get(name);
    return new AmqpException(
        ReplyCode.CONNECTION_FORCED,
        name + " leads" + (address == null ? "" : ", its queues are at " + address));
  }

  private void checkStatus() {
    String reason = null;
    if (!canRecord()) {
      reason = "nothing can be recorded now";
    } else if (ready()
        && controller.core().bytes() > settings.bounds().mostBytes() * MEMORY_BLOCK_RATIO) {
      reason = "as many messages wait as there is room for";
    }
    for (Connection connection : new ArrayList<>(connections)) {
      connection.session.setBlocked(reason);
      connection.session.flush();
      if (!connection.session.tick(loop.activeNow())) {
        connection.stream.cancel();
      }
    }
  }

  /** Carries out an effect of the queue core. A {@code null} effect marks the end of a group. */
  private void applyEffect(Effect effect) {
    if (effect == null) {
      sendConfirms();
      List<Connection> flushing = new ArrayList<>(toFlush);
      toFlush.clear();
      flushing.forEach(Connection::flush);
    } else if (effect instanceof Effect.Confirm confirm) {
      Connection target = publishAnswered(confirm.publish());
      if (target != null) {
        confirms
            .computeIfAbsent(target, x -> new LinkedHashMap<>())
            .computeIfAbsent(confirm.publish().channel(), x -> new ArrayList<>())
            .add(confirm.publish().number());
      }
    } else if (effect instanceof Effect.Refuse refuse) {
      Connection target = publishAnswered(refuse.publish());
      if (target != null) {
        target.session.rejectPublish(
            refuse.publish().channel(), refuse.publish().number(), rejectionError(refuse.reason()));
      }
    } else if (effect instanceof Effect.Deliver deliver) {
      deliver(deliver);
    } else if (effect instanceof Effect.GetEmpty getEmpty) {
      Connection target = find(getEmpty.session());
      if (target != null) {
        target.session.answerGet(getEmpty.channel(), null, 0);
      }
    } else if (effect instanceof Effect.Overdue overdue) {
      LOG.info(
          "delivery timeout: consumer {} did not settle a message of queue {}",
          overdue.consumer(),
          overdue.queue());
      Connection target = find(overdue.consumer().session());
      if (target != null) {
        target.session.closeChannel(
            overdue.consumer().channel(),
            new AmqpException(
                ReplyCode.PRECONDITION_FAILED, "a delivery was not acknowledged in time"));
      }
    }
  }

  private void sendConfirms() {
    confirms.forEach(
        (connection, byChannel) -> byChannel.forEach(connection.session::confirmPublishes));
    confirms.clear();
  }

  private Connection find(long session) {
    Connection connection = serving.get(session);
    if (connection != null) {
      toFlush.add(connection);
    }
    return connection;
  }

  private Connection publishAnswered(PendingPublish pendingPublish) {
    Connection connection = find(pendingPublish.session());
    if (connection != null) {
      connection.broker.publishAnswered(pendingPublish);
    }
    return connection;
  }

  private static AmqpException rejectionError(PublishRejection rejection) {
    return switch (rejection) {
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
    Connection target = find(id.consumer().session());
    OutgoingDelivery delivery =
        new OutgoingDelivery(
            id,
            deliver.queue().name(),
            deliver.redelivered(),
            deliver.noAck(),
            deliver.properties(),
            deliver.body());
    long channel = id.consumer().channel();
    boolean sent =
        target != null
            && (deliver.get()
                ? target.session.answerGet(channel, delivery, deliver.left())
                : target.session.deliver(channel, id.consumer().tag(), delivery));
    QueueCore core = controller.core();
    if (!sent) {
      core.deliveryNotSent(id, loop.activeNow(), node.wallMs().getAsLong());
    } else if (deliver.noAck()) {
      core.settle(id, QueueCore.Settlement.ACK, loop.activeNow(), node.wallMs().getAsLong());
    }
  }

  /** A client connection with its socket and AMQP session. */
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
              loop.activeNow());
      connections.add(this);
    }

    @Override
    public void onBytes(ByteBuffer in) {
      session.feed(in, loop.activeNow());
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
      if (!paused && broker != null && stream.waitingBytes() > PAUSE_BYTES) {
        paused = true;
        broker.setPaused(true);
      }
    }

    @Override
    public void onDrained() {
      if (paused) {
        paused = false;
        broker.setPaused(false);
      }
    }

    @Override
    public void onClosed() {
      connections.remove(this);
      serving.values().remove(this);
      confirms.remove(this);
      toFlush.remove(this);
      session.disconnected();
    }

    @Override
    public String login(String mechanism, String response) throws AmqpException {
      return authenticator.login(mechanism, response, loop.now());
    }

    @Override
    public BrokerSession open(String user, String vhost, AmqpSession opened) throws AmqpException {
      InetAddress from = stream.remote();
      authenticator.authorize(user, vhost, from);
      if (controller == null || controller.core() == null) {
        if (controller != null && controller.logUnreadable()) {
          throw new AmqpException(ReplyCode.INTERNAL_ERROR, "the queues' record can't be read");
        }
        throw notLeaderError();
      }
      QueueController current = controller;
      long id = ++lastSession;
      broker =
          new QueueBrokerSession(
              id,
              vhost,
              current.core(),
              settings.bounds(),
              opened,
              new QueueBrokerSession.Clocks(loop::activeNow, node.wallMs()),
              current::pump);
      serving.put(id, this);
      return broker;
    }
  }
}
