package io.saltflow.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.rabbitmq.client.AMQP;
import com.rabbitmq.client.Channel;
import com.rabbitmq.client.Connection;
import com.rabbitmq.client.ConnectionFactory;
import com.rabbitmq.client.GetResponse;
import io.saltflow.broker.AmqpSettings;
import io.saltflow.config.OperatorSettings;
import io.saltflow.config.PlatformSettings;
import io.saltflow.config.PlatformSettingsTest;
import io.saltflow.config.QueueSettings;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.model.TimeSpan;
import io.saltflow.queues.QueuePolicy;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.LoopThread;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against lost or repeated messages of AMQP clients in a store outage or a leader failover.
 */
class QueueFailoverTest {
  private static final long RESUME_TIMEOUT_MS = 2000;

  @TempDir Path directory;
  private final AtomicReference<Boolean> storeDown = new AtomicReference<>(false);

  /** Time by which the controllers' clocks are ahead of the system clocks, in milliseconds. */
  private final AtomicLong clockOffsetMs = new AtomicLong();

  private final List<LoopThread> loopThreads = new ArrayList<>();
  private final Map<Integer, LoopThread> threadsByPort = new TreeMap<>();

  /** The answers to publishes: whether each was confirmed. */
  private final BlockingQueue<Boolean> confirms = new LinkedBlockingQueue<>();

  private final Map<Integer, EventLoop> loopsByPort = new TreeMap<>();
  private String environmentAddress;
  private AmqpSettings amqpSettings;

  @BeforeEach
  void start() throws Exception {
    EventLoop loop = new EventLoop();
    EmulatedEnvironment environment =
        new EmulatedEnvironment(loop, new KeyValueLimits(1000, 100, 8, 8));
    environmentAddress = environment.serve(loop, environment.handler());
    // The store may only be used on its loop's thread, so tests only set a flag.
    loop.scheduleRepeating(
        TimeSpan.millis(5),
        environment,
        () -> environment.store.setDown(storeDown.get(), loop.now()));
    loopThreads.add(LoopThread.start(loop, environment));
    amqpSettings = QueueSettings.localDefaults().withListen(Addresses.parse("127.0.0.1:0"));
  }

  @AfterEach
  void stopLoops() throws InterruptedException {
    for (LoopThread loopThread : loopThreads) {
      loopThread.stop();
    }
  }

  /**
   * Starts a controller and returns its AMQP port. The lease must outlast stalls of a loaded
   * machine, since a leader that loses its lease closes its clients' connections.
   */
  private int startNode(String name, int leaseS) throws Exception {
    Path settingsFile =
        Files.writeString(directory.resolve(name + ".json"), "{\"leaderLeaseS\": " + leaseS + "}");
    PlatformSettings platformSettings =
        PlatformSettings.parse(
            PlatformSettingsTest.SETTINGS
                .replace("10.9.9.9:1", environmentAddress)
                .replace("node-0", name)
                .replace(
                    "[endpoints]",
                    "[[siblings]]\nhost_name = \"x\"\nzone = \"a\"\naddr = \"127.0.0.1:9\"\n"
                        + "[endpoints]"));
    EventLoop loop =
        new EventLoop(
            () -> System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(clockOffsetMs.get()),
            () -> System.currentTimeMillis() + clockOffsetMs.get());
    ControllerNode node =
        new ControllerNode(
            loop,
            platformSettings,
            OperatorSettings.read(settingsFile),
            new OptionalInterfaces(amqpSettings, false),
            name.hashCode());
    node.start();
    int port = node.amqpPort();
    LoopThread thread = LoopThread.start(loop, node);
    loopThreads.add(thread);
    loopsByPort.put(port, loop);
    threadsByPort.put(port, thread);
    return port;
  }

  private static Connection connect(int port) throws Exception {
    ConnectionFactory factory = new ConnectionFactory();
    factory.setHost("127.0.0.1");
    factory.setPort(port);
    factory.setAutomaticRecoveryEnabled(false);
    return factory.newConnection();
  }

  /** Connects to the node that accepts clients. */
  private Connection connectToLeader() throws Exception {
    for (int attempt = 0; attempt < 300; attempt++) {
      for (int port : threadsByPort.keySet()) {
        try {
          return connect(port);
        } catch (IOException exception) {
          Thread.sleep(50);
        }
      }
    }
    throw new IllegalStateException("no node accepts AMQP clients");
  }

  private static void publish(Channel channel, String queue, String id) throws Exception {
    AMQP.BasicProperties properties = new AMQP.BasicProperties.Builder().messageId(id).build();
    channel.basicPublish("", queue, properties, id.getBytes(StandardCharsets.UTF_8));
  }

  private static String result(Channel channel, String queue) throws Exception {
    for (int i = 0; i < 300; i++) {
      GetResponse response = channel.basicGet(queue, true);
      if (response != null) {
        return new String(response.getBody(), StandardCharsets.UTF_8);
      }
      Thread.sleep(20);
    }
    return null;
  }

  /**
   * Publishes a message and returns whether it is confirmed. Waits for the answer itself: the
   * client's {@code waitForConfirms} may return before it has noted that the answer is a nack.
   */
  private boolean isConfirmed(Channel channel, String id) throws Exception {
    publish(channel, "work", id);
    Boolean confirmed = confirms.poll(10, TimeUnit.SECONDS);
    assertNotNull(confirmed, "no answer to the publish of " + id);
    return confirmed;
  }

  /**
   * Publishes until the message is confirmed or the timeout expires. The queues refuse messages for
   * up to 50 ms after publishers were unblocked, so the number of refusals depends on the client's
   * speed.
   */
  private boolean confirmedWithin(long timeoutMs, Channel channel, String id) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    do {
      if (isConfirmed(channel, id)) {
        return true;
      }
    } while (System.nanoTime() - deadline < 0);
    return false;
  }

  /**
   * Guards against publishers that are not notified of an outage, wait instead of being refused, or
   * whose repeated message is enqueued twice.
   */
  @Test
  void publishesAreRefusedDuringOutageWithoutLoss() throws Exception {
    startNode("only", 20);
    Connection connection = connectToLeader();
    Channel channel = connection.createChannel();
    channel.confirmSelect();
    BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
    connection.addBlockedListener(notifications::add, () -> notifications.add("unblocked"));
    channel.addConfirmListener(
        (number, multiple) -> confirms.add(true), (number, multiple) -> confirms.add(false));
    assertTrue(isConfirmed(channel, "before"));
    storeDown.set(true);
    assertEquals("nothing can be recorded now", notifications.poll(20, TimeUnit.SECONDS));
    for (int i = 0; i < 3; i++) {
      assertFalse(isConfirmed(channel, "during"), "message is refused immediately");
    }
    storeDown.set(false);
    assertEquals("unblocked", notifications.poll(20, TimeUnit.SECONDS));
    assertTrue(
        confirmedWithin(RESUME_TIMEOUT_MS, channel, "during"),
        "messages are accepted after the outage");
    assertTrue(isConfirmed(channel, "during"));
    assertEquals(
        "before", new String(channel.basicGet("work", true).getBody(), StandardCharsets.UTF_8));
    assertEquals(
        "during", new String(channel.basicGet("work", true).getBody(), StandardCharsets.UTF_8));
    assertNull(channel.basicGet("work", true));
    connection.abort();
  }

  @Test
  void messagesSurviveFailoverWithoutLossOrRepetition() throws Exception {
    startNode("first", 5);
    Connection connection = connectToLeader();
    int second = startNode("second", 5);
    IOException redirect = assertThrows(IOException.class, () -> connect(second));
    for (int i = 0; i < 100 && !redirect.getCause().getMessage().contains("first leads"); i++) {
      // A node that has just started may not know the leader yet.
      Thread.sleep(50);
      redirect = assertThrows(IOException.class, () -> connect(second));
    }
    assertTrue(redirect.getCause().getMessage().contains("CONNECTION_FORCED - first leads"));
    Channel channel = connection.createChannel();
    channel.confirmSelect();
    for (int i = 0; i < 4; i++) {
      publish(channel, "work", "w" + i);
      publish(channel, "once", "o" + i);
    }
    channel.waitForConfirmsOrDie(10_000);
    assertEquals(
        "w0", new String(channel.basicGet("work", false).getBody(), StandardCharsets.UTF_8));
    assertEquals(
        "o0", new String(channel.basicGet("once", false).getBody(), StandardCharsets.UTF_8));
    threadsByPort.remove(connection.getPort()).stop();
    Connection nextConnection = connectToLeader();
    assertEquals(second, nextConnection.getPort());
    Channel nextChannel = nextConnection.createChannel();
    assertTrue(
        result(nextChannel, "once.results").contains("\"id\":\"o0\",\"outcome\":\"unknown\""));
    GetResponse redelivered = nextChannel.basicGet("work", false);
    assertEquals("w0", new String(redelivered.getBody(), StandardCharsets.UTF_8));
    assertTrue(redelivered.getEnvelope().isRedeliver());
    nextChannel.basicAck(redelivered.getEnvelope().getDeliveryTag(), false);
    assertEquals(
        "{\"id\":\"w0\",\"outcome\":\"done\",\"attempts\":2}", result(nextChannel, "work.results"));
    nextChannel.confirmSelect();
    publish(nextChannel, "once", "o0");
    nextChannel.waitForConfirmsOrDie(10_000);
    assertEquals(
        "o1",
        new String(nextChannel.basicGet("once", true).getBody(), StandardCharsets.UTF_8),
        "o0 is not delivered again");
    nextConnection.abort();
  }

  private static QueuePolicy withDeliveryTimeout(QueuePolicy queue, TimeSpan timeout) {
    return new QueuePolicy(
        queue.id(),
        queue.runsAsJobs(),
        queue.jobClass(),
        queue.team(),
        queue.priority(),
        queue.size(),
        queue.maxAttempts(),
        queue.retryDelay(),
        queue.redeliverable(),
        timeout,
        queue.deadLetters(),
        queue.results(),
        queue.maxMessages(),
        queue.timeToLive(),
        queue.internal());
  }

  /** Stops a node's process until the action is done, and for some time by its clocks. */
  private void pauseDuring(EventLoop loop, TimeSpan pause, Callable<?> action) throws Exception {
    CountDownLatch paused = new CountDownLatch(1);
    CountDownLatch resumed = new CountDownLatch(1);
    loop.post(
        () -> {
          paused.countDown();
          try {
            resumed.await();
          } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
          }
          clockOffsetMs.addAndGet(pause.ms());
        });
    paused.await();
    action.call();
    resumed.countDown();
  }

  /** Guards against deliveries that time out while the process cannot read acknowledgements. */
  @Test
  void acknowledgementThatArrivesDuringPauseCounts() throws Exception {
    amqpSettings =
        new AmqpSettings(
            amqpSettings.listen(),
            amqpSettings.addresses(),
            amqpSettings.bounds(),
            amqpSettings.users(),
            amqpSettings.hosts(),
            amqpSettings.queues().stream()
                .map(queue -> withDeliveryTimeout(queue, TimeSpan.seconds(10)))
                .toList(),
            amqpSettings.templates());
    startNode("only", 60);
    Connection connection = connectToLeader();
    Channel channel = connection.createChannel();
    channel.confirmSelect();
    EventLoop loop = loopsByPort.get(connection.getPort());
    for (int pauseS : new int[] {3, 12, 30}) {
      String id = "paused-" + pauseS;
      publish(channel, "once", id);
      channel.waitForConfirmsOrDie(10_000);
      GetResponse delivery = channel.basicGet("once", false);
      clockOffsetMs.addAndGet(400);
      pauseDuring(
          loop,
          TimeSpan.seconds(pauseS),
          () -> {
            channel.basicAck(delivery.getEnvelope().getDeliveryTag(), false);
            return null;
          });
      assertEquals(
          "{\"id\":\"" + id + "\",\"outcome\":\"done\",\"attempts\":1}",
          result(channel, "once.results"));
    }
    connection.abort();
  }
}
