package io.saltflow.controller;

import com.rabbitmq.client.AMQP;
import com.rabbitmq.client.Channel;
import com.rabbitmq.client.Connection;
import com.rabbitmq.client.ConnectionFactory;
import com.rabbitmq.client.DefaultConsumer;
import com.rabbitmq.client.Envelope;
import io.saltflow.broker.AmqpSettings;
import io.saltflow.config.ConfigException;
import io.saltflow.config.OperatorSettings;
import io.saltflow.config.PlatformSettings;
import io.saltflow.config.PlatformSettingsTest;
import io.saltflow.config.QueueSettings;
import io.saltflow.emulator.EmulatedKeyValueStore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.model.JobId;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Random;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Benchmarks the AMQP server with a client library on loopback, with a key-value store that limits
 * writes per second. Run manually; see {@code docs/PERFORMANCE.md}.
 */
public final class AmqpBenchmark {
  private static final long SECONDS = 6;
  private static final int WINDOW = 2000;

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private final List<EventLoop> loops = new ArrayList<>();
  private final double writesPerSecond;
  private final AmqpSettings amqpSettings;
  private String environmentAddress;
  private EmulatedKeyValueStore store;
  private ControllerNode node;
  private EventLoop nodeLoop;

  private AmqpBenchmark(double writesPerSecond) throws ConfigException {
    this.writesPerSecond = writesPerSecond;
    // Larger queues than those of the local command, so that throughput is not limited by full
    // queues.
    amqpSettings = QueueSettings.read(Path.of(System.getProperty("queues")));
  }

  private void startThread(EventLoop loop) {
    loops.add(loop);
    Thread thread =
        new Thread(
            () -> {
              try {
                loop.run();
              } catch (IOException exception) {
                throw new IllegalStateException(exception);
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private void startEnvironment() throws IOException {
    EventLoop loop = new EventLoop();
    double rps = Math.max(100, writesPerSecond);
    EmulatedEnvironment environment =
        new EmulatedEnvironment(loop, new KeyValueLimits(rps, writesPerSecond, 8, 8));
    store = environment.store;
    environmentAddress = environment.serve(loop, environment.handler());
    startThread(loop);
  }

  private void startNode(String name) throws Exception {
    PlatformSettings settings =
        PlatformSettings.parse(
            PlatformSettingsTest.SETTINGS
                    .replace("10.9.9.9:1", environmentAddress)
                    .replace("node-0", name)
                    .replace("write_rps = 25.0", "write_rps = " + writesPerSecond)
                    .replace("rps = 100.0", "rps = " + Math.max(100, writesPerSecond))
                + "[settings.resources]\nsockets = 6000\n");
    nodeLoop = new EventLoop();
    node =
        new ControllerNode(
            nodeLoop,
            settings,
            OperatorSettings.defaults(),
            new OptionalInterfaces(amqpSettings, false),
            1);
    node.start();
    startThread(nodeLoop);
    for (int i = 0; i < 2000 && !ready(); i++) {
      Thread.sleep(5);
    }
  }

  private boolean ready() {
    try {
      connect().abort();
      return true;
    } catch (Exception exception) {
      return false;
    }
  }

  private Connection connect() throws Exception {
    ConnectionFactory factory = new ConnectionFactory();
    factory.setHost("127.0.0.1");
    factory.setPort(node.amqpPort());
    factory.setAutomaticRecoveryEnabled(false);
    factory.setRequestedHeartbeat(0);
    return factory.newConnection();
  }

  private void stop() {
    loops.forEach(EventLoop::stop);
  }

  /** Publishes over a number of connections, keeping a window of unconfirmed messages. */
  private String publish(int connections, int size, int outstanding) throws Exception {
    Histogram latency = new ConcurrentHistogram(TimeUnit.SECONDS.toMicros(60), 3);
    AtomicLong refused = new AtomicLong();
    long heapBefore = heap();
    List<Connection> openConnections = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < connections; i++) {
      openConnections.add(connect());
    }
    long heap = heap() - heapBefore;
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
    int window = Math.max(1, outstanding / connections);
    long startRevision = store.revision();
    for (Connection connection : openConnections) {
      Thread thread =
          new Thread(() -> publishUntil(connection, deadlineNanos, window, size, latency, refused));
      threads.add(thread);
      thread.start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
    long transactions = store.revision() - startRevision;
    for (Connection connection : openConnections) {
      connection.abort();
    }
    return String.format(
        "%5d connections %6d B: %7.0f confirms/s, p50 %6.1f ms, p99 %6.1f ms, %d refused, "
            + "%.1f transactions/s, about %d KiB per connection (both ends)",
        connections,
        size,
        latency.getTotalCount() / (double) SECONDS,
        latency.getValueAtPercentile(50) / 1000.0,
        latency.getValueAtPercentile(99) / 1000.0,
        refused.get(),
        transactions / (double) SECONDS,
        heap / connections / 1024);
  }

  private static long heap() throws InterruptedException {
    for (int i = 0; i < 3; i++) {
      System.gc();
      Thread.sleep(50);
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static void publishUntil(
      Connection connection,
      long deadlineNanos,
      int window,
      int size,
      Histogram latency,
      AtomicLong refused) {
    try {
      Channel channel = connection.createChannel();
      channel.confirmSelect();
      Semaphore permits = new Semaphore(window);
      NavigableMap<Long, Long> sent = new ConcurrentSkipListMap<>();
      channel.addConfirmListener(
          (tag, multiple) -> onConfirmed(sent, tag, multiple, permits, latency),
          (tag, multiple) -> {
            refused.incrementAndGet();
            // Backs off as a refused client does.
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
            onConfirmed(sent, tag, multiple, permits, null);
          });
      byte[] body = body(size);
      String prefix =
          Long.toHexString(System.identityHashCode(connection)) + "-" + System.nanoTime() + "-";
      for (long number = 0; System.nanoTime() < deadlineNanos; number++) {
        if (!permits.tryAcquire(200, TimeUnit.MILLISECONDS)) {
          number--;
          continue;
        }
        sent.put(channel.getNextPublishSeqNo(), System.nanoTime());
        AMQP.BasicProperties properties =
            new AMQP.BasicProperties.Builder().messageId(prefix + number).deliveryMode(2).build();
        channel.basicPublish("", "work", properties, body);
      }
    } catch (Exception exception) {
      throw new IllegalStateException(exception);
    }
  }

  /** Returns text of which about half varies, so that it compresses like typical messages. */
  private static byte[] body(int size) {
    StringBuilder text = new StringBuilder();
    Random random = new Random(size);
    while (text.length() < size) {
      text.append("{\"chapter\": ").append(random.nextInt(1_000_000));
      text.append(", \"hash\": \"").append(Long.toHexString(random.nextLong())).append("\"} ");
    }
    return text.substring(0, size).getBytes(StandardCharsets.US_ASCII);
  }

  private static void onConfirmed(
      NavigableMap<Long, Long> sent,
      long tag,
      boolean multiple,
      Semaphore permits,
      Histogram latency) {
    NavigableMap<Long, Long> confirmed =
        multiple ? sent.headMap(tag, true) : sent.subMap(tag, true, tag, true);
    for (Map.Entry<Long, Long> entry = confirmed.pollFirstEntry();
        entry != null;
        entry = confirmed.pollFirstEntry()) {
      permits.release();
      if (latency != null) {
        latency.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - entry.getValue()));
      }
    }
  }

  /** Consumes queued messages for a while, acknowledging each. */
  private String deliver(int prefetch) throws Exception {
    AtomicLong deliveries = new AtomicLong();
    Connection connection = connect();
    Channel channel = connection.createChannel();
    channel.basicQos(prefetch);
    channel.basicConsume(
        "work",
        false,
        new DefaultConsumer(channel) {
          @Override
          public void handleDelivery(
              String tag, Envelope envelope, AMQP.BasicProperties properties, byte[] body)
              throws IOException {
            deliveries.incrementAndGet();
            channel.basicAck(envelope.getDeliveryTag(), false);
          }
        });
    Thread.sleep(TimeUnit.SECONDS.toMillis(SECONDS));
    connection.abort();
    return String.format(
        "prefetch %d: %.0f deliveries/s", prefetch, deliveries.get() / (double) SECONDS);
  }

  /** Submits jobs over HTTP with a number of concurrent requests. */
  private String submitOverHttp(int concurrency) throws Exception {
    EventLoop loop = new EventLoop();
    Root root = new Root();
    HttpClient http =
        new HttpClient(
            root, loop, Addresses.parse("127.0.0.1:" + node.port()), concurrency, concurrency * 2);
    Histogram latency = new Histogram(TimeUnit.SECONDS.toMicros(60), 3);
    long[] next = {System.currentTimeMillis() * 1000};
    MessageBody job =
        MessageBody.of()
            .with(Wire.JOB_CLASS, "c")
            .with(Wire.TEAM, "red")
            .with(Wire.SHAPE, Wire.SHAPE_ARRAY)
            .with(Wire.PRIORITY, Wire.PRIORITY_NORMAL)
            .with(Wire.TASKS, 1)
            .with(Wire.CORES, 1.0)
            .with(Wire.GPUS, 0.0)
            .with(Wire.MEMORY_GB, 1.0)
            .with(Wire.IMAGE, "i")
            .with(Wire.IMAGE_GB, 0.1)
            .with(Wire.ONE_ZONE, false)
            .with(Wire.SPREAD, false)
            .with(Wire.SPOT, true)
            .with(Wire.ESTIMATE_S, 60.0)
            .with(Wire.CHECKPOINT_INTERVAL_S, 0.0)
            .with(Wire.CHECKPOINT_WRITE_S, 0.0);
    for (int i = 0; i < concurrency; i++) {
      submitNext(http, loop, next, job, latency);
    }
    loop.schedule(TimeSpan.seconds(SECONDS), root, loop::pause);
    loop.run();
    root.cancel();
    return String.format(
        "native HTTP, %d concurrent requests: %.0f accepted/s, p50 %.1f ms, p99 %.1f ms",
        concurrency,
        latency.getTotalCount() / (double) SECONDS,
        latency.getValueAtPercentile(50) / 1000.0,
        latency.getValueAtPercentile(99) / 1000.0);
  }

  private static void submitNext(
      HttpClient http, EventLoop loop, long[] next, MessageBody job, Histogram latency) {
    long sentNanos = System.nanoTime();
    byte[] body = MessagePackCodec.encode(job.with(Wire.ID, JobId.PREFIX + next[0]++));
    http.call(
        "POST",
        Wire.PATH_JOBS,
        body,
        TimeSpan.seconds(10),
        answer -> {
          if (answer.status() == 201) {
            latency.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sentNanos));
          }
          submitNext(http, loop, next, job, latency);
        });
  }

  /** Fills the queue, stops the leader, and waits for the first delivery by the next leader. */
  private String failOver(int messages) throws Exception {
    Connection connection = connect();
    Channel channel = connection.createChannel();
    channel.confirmSelect();
    for (int i = 0; i < messages; i++) {
      AMQP.BasicProperties properties =
          new AMQP.BasicProperties.Builder().messageId("t-" + i).build();
      channel.basicPublish("", "work", properties, ("page " + i).getBytes(StandardCharsets.UTF_8));
    }
    channel.waitForConfirmsOrDie(600_000);
    Channel holdingChannel = connection.createChannel();
    holdingChannel.basicQos(2000);
    holdingChannel.basicConsume("work", false, new DefaultConsumer(holdingChannel));
    Thread.sleep(3000);
    nodeLoop.stop();
    Thread.sleep(200);
    long stoppedNanos = System.nanoTime();
    startNode("next");
    long servingNanos = System.nanoTime();
    Connection next = connect();
    Channel nextChannel = next.createChannel();
    CountDownLatch first = new CountDownLatch(1);
    nextChannel.basicConsume(
        "work",
        false,
        new DefaultConsumer(nextChannel) {
          @Override
          public void handleDelivery(
              String tag, Envelope envelope, AMQP.BasicProperties properties, byte[] body) {
            first.countDown();
          }
        });
    first.await(60, TimeUnit.SECONDS);
    long now = System.nanoTime();
    next.abort();
    return String.format(
        "%d messages, 2,000 unacknowledged: serving %.2f s after the leader stopped (lease 5 s), "
            + "first delivery %.0f ms later",
        messages, (servingNanos - stoppedNanos) / 1e9, (now - servingNanos) / 1e6);
  }

  private static AmqpBenchmark startBenchmark(double writesPerSecond) throws Exception {
    AmqpBenchmark benchmark = new AmqpBenchmark(writesPerSecond);
    benchmark.startEnvironment();
    benchmark.startNode("node-0");
    return benchmark;
  }

  /** Runs the benchmark. */
  public static void main(String[] args) throws Exception {
    double[] writeRates =
        args.length == 0 ? new double[] {25, 1000} : new double[] {Double.parseDouble(args[0])};
    for (double writesPerSecond : writeRates) {
      System.out.println(
          "store limit: " + writesPerSecond + " writes/s, half of them for one node");
      for (int connections : new int[] {1, 100, 1000}) {
        for (int size : new int[] {100, 1024, 16 * 1024}) {
          if (connections == 1) {
            AmqpBenchmark sequential = startBenchmark(writesPerSecond);
            System.out.println("one at a time: " + sequential.publish(1, size, 1));
            sequential.stop();
          }
          AmqpBenchmark benchmark = startBenchmark(writesPerSecond);
          System.out.println(benchmark.publish(connections, size, WINDOW));
          if (connections == 1) {
            System.out.println("      " + benchmark.deliver(size == 100 ? 2000 : 200));
          }
          benchmark.stop();
        }
      }
      AmqpBenchmark benchmark = startBenchmark(writesPerSecond);
      System.out.println(benchmark.submitOverHttp(16));
      System.out.println(benchmark.failOver(10_000));
      benchmark.stop();
    }
    System.exit(0);
  }
}
