import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.DelayQueue;
import java.util.concurrent.Delayed;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers work on messages of two queues for some seconds each, with nothing wrong. Then the
 * leader's process ends. A message whose final result was delivered must not be delivered again,
 * nor get another result.
 */
final class AnsweredTwice {
  private static final long TRAFFIC_S = 40;
  private static final long AFTERWARDS_S = 15;
  private static final int IN_WORK = 200;
  private static final long SEED = 1;

  private record Ack(long dueNs, int channel, long tag, String id) implements Delayed {
    @Override
    public long getDelay(TimeUnit unit) {
      return unit.convert(dueNs - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    @Override
    public int compareTo(Delayed other) {
      return Long.compare(dueNs, ((Ack) other).dueNs);
    }
  }

  /** What the clients saw; all access under its monitor. */
  private static final class Seen {
    final Map<String, String> results = new HashMap<>();
    final Map<String, Double> resultAtS = new HashMap<>();
    final TreeSet<String> broken = new TreeSet<>();
    int published;
    int confirmed;
  }

  private final Lab lab;
  private final Seen seen = new Seen();
  private final Random random = new Random(SEED);
  private final AtomicInteger nextId = new AtomicInteger();
  private final AtomicInteger inWork = new AtomicInteger();
  private final long beganNs = System.nanoTime();
  private volatile boolean crashed;

  private AnsweredTwice(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] args) {
    Lab.main(args, (lab, trouble) -> new AnsweredTwice(lab).run(trouble));
  }

  private double nowS() {
    return (System.nanoTime() - beganNs) / 1e9;
  }

  private int run(boolean trouble) throws Exception {
    lab.start();
    AmqpClient publisher = lab.connectToLeader("publisher", 40_000);
    Lab.Controller leader = publisher.controller;
    publisher.openChannel(1);
    publisher.selectConfirms(1);
    AmqpClient consumer = lab.connectToLeader("consumer", 10_000);
    long until = System.nanoTime() + TRAFFIC_S * 1_000_000_000L;
    consume(consumer);
    int[] last = {0};
    while (System.nanoTime() < until) {
      if (inWork.get() < IN_WORK) {
        String id = "page-" + nextId.incrementAndGet();
        inWork.incrementAndGet();
        synchronized (seen) {
          seen.published++;
        }
        String queue = nextId.get() % 2 == 0 ? "work" : "once";
        lab.note("publish to " + queue + ": " + id);
        publisher.publish(1, queue, id, "render " + id);
        Lab.sleep(5);
      } else {
        Lab.sleep(10);
      }
      for (AmqpClient.Event event = publisher.next(0); event != null; event = publisher.next(0)) {
        if (event.kind() == AmqpClient.Kind.CONFIRM) {
          lab.note("confirmed: publish " + event.tag() + (event.multiple() ? " and before" : ""));
          synchronized (seen) {
            seen.confirmed += event.multiple() ? (int) event.tag() - last[0] : 1;
          }
          last[0] = Math.max(last[0], (int) event.tag());
        } else {
          lab.record("publisher got " + event.kind() + " " + event.tag());
        }
      }
    }
    synchronized (seen) {
      lab.record(seen.published + " published, " + seen.results.size() + " have their result");
      if (seen.results.size() < 100) {
        throw new Lab.CouldNotRun("too little was worked on");
      }
    }
    if (trouble) {
      crashed = true;
      leader.kill();
      Http.daemon(
          () -> {
            Lab.sleep(4000);
            try {
              leader.start();
            } catch (java.io.IOException exception) {
              lab.record("restart failed: " + exception);
            }
          });
      consume(lab.connectToLeader("consumer", 40_000));
    }
    Lab.sleep(AFTERWARDS_S * 1000);
    synchronized (seen) {
      lab.record(seen.results.size() + " messages have a result in the end");
      if (seen.broken.isEmpty()) {
        return Lab.HELD;
      }
      lab.record(seen.broken.size() + " messages were over and came again: " + seen.broken);
      return Lab.BROKEN;
    }
  }

  /** Consumes both queues and their results on a connection, until it ends. */
  private void consume(AmqpClient client) throws Exception {
    String[] queues = {"work", "once", "work.results", "once.results"};
    for (int i = 0; i < queues.length; i++) {
      client.openChannel(i + 1);
      client.prefetch(i + 1, 200);
      client.consume(i + 1, queues[i], "c" + i);
    }
    DelayQueue<Ack> acks = new DelayQueue<>();
    Http.daemon(
        () -> {
          try {
            while (true) {
              Ack ack = acks.take();
              client.ack(ack.channel, ack.tag);
              lab.note("ack of " + ack.id);
            }
          } catch (InterruptedException | java.io.IOException exception) {
            // The connection has ended.
          }
        });
    Http.daemon(
        () -> {
          while (true) {
            AmqpClient.Event event = client.next(1000);
            if (event != null && event.kind() == AmqpClient.Kind.CONNECTION_CLOSED) {
              return;
            }
            if (event != null && event.kind() == AmqpClient.Kind.DELIVERY) {
              try {
                onDelivery(client, acks, event);
              } catch (java.io.IOException exception) {
                return;
              }
            } else if (event != null) {
              lab.record("consumer got " + event.kind() + " " + event.body());
            }
          }
        });
  }

  private void onDelivery(AmqpClient client, DelayQueue<Ack> acks, AmqpClient.Event event)
      throws java.io.IOException {
    String id = event.messageId();
    lab.note(
        "delivered from " + event.queue() + ": " + id
            + (event.redelivered() ? ", redelivered" : "")
            + (event.queue().endsWith(".results") ? " " + event.body() : ""));
    synchronized (seen) {
      if (event.queue().endsWith(".results")) {
        String before = seen.results.putIfAbsent(id, event.body());
        seen.resultAtS.putIfAbsent(id, nowS());
        if (before == null) {
          inWork.decrementAndGet();
        } else if (!before.equals(event.body())) {
          broken(id, "a second final result: " + event.body());
        }
        client.ack(event.channel(), event.tag());
        return;
      }
      if (seen.results.containsKey(id)) {
        broken(id, "delivered again from " + event.queue());
      }
    }
    long workMs = crashed ? 500 : 4000 + random.nextInt(8000);
    acks.add(new Ack(System.nanoTime() + workMs * 1_000_000, event.channel(), event.tag(), id));
  }

  private void broken(String id, String what) {
    seen.broken.add(id);
    lab.record(
        String.format(
            java.util.Locale.ROOT,
            "%s: %s; its final result %s was delivered %.1f s ago",
            id, what, seen.results.get(id), nowS() - seen.resultAtS.get(id)));
  }
}
