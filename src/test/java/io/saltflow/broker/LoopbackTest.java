package io.saltflow.broker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.rabbitmq.client.AMQP;
import com.rabbitmq.client.AuthenticationFailureException;
import com.rabbitmq.client.Channel;
import com.rabbitmq.client.Connection;
import com.rabbitmq.client.ConnectionFactory;
import com.rabbitmq.client.DefaultConsumer;
import com.rabbitmq.client.Envelope;
import com.rabbitmq.client.GetResponse;
import com.rabbitmq.client.ShutdownSignalException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the RabbitMQ Java client against a real process that is killed and restarted. */
class LoopbackTest {
  private static final int TIMEOUT_S = 30;

  @TempDir Path data;
  private Process process;
  private int port;

  /** A delivery received by the client library. */
  private record Delivery(long tag, boolean redelivered, String id, String body) {}

  @BeforeEach
  void start() throws IOException {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    process =
        new ProcessBuilder(
                java,
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                "io.saltflow.app.Main",
                "local",
                "--http",
                "127.0.0.1:0",
                "--amqp",
                "127.0.0.1:0",
                "--data",
                data.toString())
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    BufferedReader out =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    String ready = out.readLine();
    assertNotNull(ready, "the process printed its ready line");
    port = Integer.parseInt(ready.replaceAll(".*amqp 127\\.0\\.0\\.1:(\\d+).*", "$1"));
  }

  @AfterEach
  void kill() {
    process.destroyForcibly().onExit().join();
  }

  private Connection connect() throws Exception {
    ConnectionFactory factory = new ConnectionFactory();
    factory.setHost("127.0.0.1");
    factory.setPort(port);
    factory.setAutomaticRecoveryEnabled(false);
    return factory.newConnection();
  }

  private static void publish(Channel channel, String queue, String id, String body)
      throws IOException {
    AMQP.BasicProperties properties =
        new AMQP.BasicProperties.Builder().messageId(id).deliveryMode(2).build();
    channel.basicPublish("", queue, true, properties, body.getBytes(StandardCharsets.UTF_8));
  }

  private static void awaitConfirms(Channel channel) throws Exception {
    channel.waitForConfirmsOrDie(TimeUnit.SECONDS.toMillis(TIMEOUT_S));
  }

  private static BlockingQueue<Delivery> consume(Channel channel, String queue) throws IOException {
    BlockingQueue<Delivery> out = new LinkedBlockingQueue<>();
    channel.basicConsume(
        queue,
        false,
        queue,
        new DefaultConsumer(channel) {
          @Override
          public void handleDelivery(
              String tag, Envelope envelope, AMQP.BasicProperties properties, byte[] body) {
            out.add(
                new Delivery(
                    envelope.getDeliveryTag(),
                    envelope.isRedeliver(),
                    properties.getMessageId(),
                    new String(body, StandardCharsets.UTF_8)));
          }
        });
    return out;
  }

  private static Delivery next(BlockingQueue<Delivery> queue) throws InterruptedException {
    Delivery delivery = queue.poll(TIMEOUT_S, TimeUnit.SECONDS);
    assertNotNull(delivery, "no delivery within the timeout");
    return delivery;
  }

  /** Consumes results until each wanted id has one. A repeated result must be identical. */
  private static void collectResults(
      Channel channel, String queue, Set<String> wanted, Map<String, String> found)
      throws Exception {
    BlockingQueue<Delivery> results = consume(channel, queue);
    while (!found.keySet().containsAll(wanted)) {
      Delivery delivery = next(results);
      assertTrue(wanted.contains(delivery.id), "result of an unpublished message: " + delivery);
      String before = found.put(delivery.id, delivery.body);
      assertTrue(before == null || before.equals(delivery.body), before + ", " + delivery.body);
      channel.basicAck(delivery.tag, false);
    }
    assertNull(results.poll(300, TimeUnit.MILLISECONDS), "unexpected additional result");
  }

  /** The published message ids by queue, and the ids of queue {@code once} that were delivered. */
  private static final class Published {
    final Set<String> work = new HashSet<>();
    final Set<String> once = new HashSet<>();
    final Set<String> jobs = Set.of("j-ok", "j-bad");
    final Set<String> seenOnce = new HashSet<>();
  }

  @Test
  void eachMessageHasOneResultDespiteDisconnectsDoubleAcksAndProcessKill() throws Exception {
    Published published = new Published();
    publishAll(published);
    consumeTenAndDisconnect(published);
    acknowledgeTwice();
    holdUnsettled(published);
    kill();
    start();
    Map<String, String> found = publishAgainAndCollect(published);
    assertOutcomes(found);
  }

  private void publishAll(Published published) throws Exception {
    try (Connection connection = connect()) {
      Channel channel = connection.createChannel();
      channel.confirmSelect();
      for (int i = 0; i < 60; i++) {
        publish(channel, "work", "w-" + i, "page " + i);
        publish(channel, "once", "o-" + i, "page " + i);
        published.work.add("w-" + i);
        published.once.add("o-" + i);
        if (i % 7 == 0) {
          publish(channel, "work", "w-" + i, "page " + i);
        }
      }
      publish(channel, "jobs", "j-ok", "{\"cores\": 1, \"expectS\": 0.2}");
      publish(channel, "jobs", "j-bad", "{\"cores\": 1}");
      awaitConfirms(channel);
    }
  }

  /**
   * Receives ten messages from each queue, acknowledges half of them and disconnects. Nothing more
   * is delivered from {@code once} in place of the acknowledged ones, since its consumer is
   * cancelled before; how many would be depends on how fast the client disconnects.
   */
  private void consumeTenAndDisconnect(Published published) throws Exception {
    try (Connection connection = connect()) {
      Channel channel = connection.createChannel();
      channel.basicQos(10);
      BlockingQueue<Delivery> work = consume(channel, "work");
      BlockingQueue<Delivery> once = consume(channel, "once");
      List<Delivery> held = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        held.add(next(once));
      }
      channel.basicCancel("once");
      for (int i = 0; i < 10; i++) {
        Delivery workDelivery = next(work);
        assertTrue(published.seenOnce.add(held.get(i).id));
        if (i % 2 == 0) {
          channel.basicAck(workDelivery.tag, false);
          channel.basicAck(held.get(i).tag, false);
        }
      }
    }
  }

  /** Acknowledges a delivery twice, which must close the channel without any other effect. */
  private void acknowledgeTwice() throws Exception {
    try (Connection connection = connect()) {
      Channel channel = connection.createChannel();
      channel.basicQos(1);
      Delivery delivery = next(consume(channel, "work"));
      channel.basicAck(delivery.tag, false);
      channel.basicAck(delivery.tag, false);
      ShutdownSignalException shutdown =
          assertThrows(
              ShutdownSignalException.class,
              () -> {
                for (int i = 0; i < TIMEOUT_S * 10; i++) {
                  Thread.sleep(100);
                  channel.basicQos(1);
                }
              });
      assertTrue(shutdown.getMessage().contains("PRECONDITION_FAILED"), shutdown.getMessage());
    }
  }

  /** Receives 15 messages on a connection that stays open until the process is killed. */
  private void holdUnsettled(Published published) throws Exception {
    Connection connection = connect();
    Channel channel = connection.createChannel();
    channel.basicQos(15);
    BlockingQueue<Delivery> held = consume(channel, "once");
    for (int i = 0; i < 15; i++) {
      assertTrue(published.seenOnce.add(next(held).id), "message redelivered");
    }
  }

  private Map<String, String> publishAgainAndCollect(Published published) throws Exception {
    Map<String, String> found = new TreeMap<>();
    try (Connection connection = connect()) {
      Channel publisher = connection.createChannel();
      publisher.confirmSelect();
      for (String id : published.work) {
        publish(publisher, "work", id, "published again after a possibly lost confirm");
      }
      awaitConfirms(publisher);
      Channel channel = connection.createChannel();
      DefaultConsumer acks =
          new DefaultConsumer(channel) {
            @Override
            public void handleDelivery(
                String tag, Envelope envelope, AMQP.BasicProperties properties, byte[] body)
                throws IOException {
              String id = properties.getMessageId();
              boolean isOnce = id.startsWith("o-");
              assertFalse(isOnce && !published.seenOnce.add(id), "message redelivered");
              channel.basicAck(envelope.getDeliveryTag(), false);
            }
          };
      channel.basicQos(20);
      channel.basicConsume("work", false, acks);
      channel.basicConsume("once", false, acks);
      collectResults(connection.createChannel(), "work.results", published.work, found);
      collectResults(connection.createChannel(), "once.results", published.once, found);
      collectResults(connection.createChannel(), "jobs.results", published.jobs, found);
    }
    return found;
  }

  private static void assertOutcomes(Map<String, String> found) {
    Map<String, Integer> outcomes = new HashMap<>();
    found.forEach(
        (id, body) ->
            outcomes.merge(
                id.charAt(0) + body.replaceAll(".*\"outcome\":\"([^\"]*)\".*", " $1"),
                1,
                Integer::sum));
    assertEquals(60, outcomes.get("w done"));
    assertEquals(20, outcomes.get("o unknown"), "5 unsettled at the disconnect and 15 at the kill");
    assertEquals(40, outcomes.get("o done"));
    assertEquals(1, outcomes.get("j done"));
    assertEquals(1, outcomes.get("j failed"));
    assertTrue(found.get("j-bad").contains("expectS: is missing"), found.get("j-bad"));
  }

  /** Guards against an unnamed message and a named one that share a job and its result. */
  @Test
  void unnamedMessageSharesNoResultWithIdsOfOtherPublishersAfterRestart() throws Exception {
    kill();
    start();
    Set<String> chosen = new TreeSet<>();
    List<String> found = new ArrayList<>();
    try (Connection connection = connect()) {
      Channel publisher = connection.createChannel();
      publisher.confirmSelect();
      publish(publisher, "jobs", null, "{\"cores\": 1, \"expectS\": 0.2}");
      for (int term = 1; term <= 3; term++) {
        for (int number = 1; number <= 2; number++) {
          chosen.add(term + "-" + number);
          publish(publisher, "jobs", term + "-" + number, "{\"cores\": 1, \"expectS\": 0.2}");
        }
      }
      awaitConfirms(publisher);
      Channel channel = connection.createChannel();
      BlockingQueue<Delivery> results = consume(channel, "jobs.results");
      while (found.size() <= chosen.size()) {
        Delivery result = next(results);
        assertTrue(result.body.contains("\"done\""), result.body);
        found.add(result.id);
        channel.basicAck(result.tag, false);
      }
    }
    assertEquals(found.size(), Set.copyOf(found).size(), "an id with two results: " + found);
    assertTrue(found.containsAll(chosen), found.toString());
  }

  @Test
  void unsupportedRequestsAreRejectedWithReplyCodes() throws Exception {
    ConnectionFactory factory = new ConnectionFactory();
    factory.setPort(port);
    factory.setHost("127.0.0.1");
    factory.setPassword("wrong");
    assertThrows(AuthenticationFailureException.class, factory::newConnection);
    Connection connection = connect();
    assertRejected(connection, "NOT_FOUND", channel -> channel.queueDeclarePassive("none"));
    assertRejected(
        connection,
        "NOT_FOUND",
        channel -> channel.basicConsume("none", new DefaultConsumer(channel)));
    assertRejected(connection, "ACCESS_REFUSED", channel -> channel.queueDelete("work"));
    assertRejected(
        connection,
        "ACCESS_REFUSED",
        channel -> channel.basicConsume("jobs", new DefaultConsumer(channel)));
    assertRejected(
        connection,
        "RESOURCE_LOCKED",
        channel -> channel.queueDeclare("work", true, true, false, null));
    Channel channel = connection.createChannel();
    assertEquals("work", channel.queueDeclare("work", true, false, false, null).getQueue());
    channel.queueBind("work", "amq.direct", "work");
    assertNull(channel.basicGet("work", false));
    channel.confirmSelect();
    publish(channel, "work", "g-1", "x");
    awaitConfirms(channel);
    GetResponse got = channel.basicGet("work", false);
    assertEquals("g-1", got.getProps().getMessageId());
    channel.basicReject(got.getEnvelope().getDeliveryTag(), true);
    got = channel.basicGet("work", true);
    assertTrue(got.getEnvelope().isRedeliver());
    assertRejected(connection, "NOT_IMPLEMENTED", Channel::txSelect);
    assertFalse(connection.isOpen(), "a hard error closes the connection");
  }

  private interface Step {
    void run(Channel channel) throws IOException;
  }

  private static void assertRejected(Connection connection, String code, Step step)
      throws Exception {
    Channel channel = connection.createChannel();
    IOException exception = assertThrows(IOException.class, () -> step.run(channel));
    assertTrue(exception.getCause().getMessage().contains(code), exception.getCause().getMessage());
  }
}
