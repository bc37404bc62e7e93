import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The state service goes down for a second just after it has carried out a transaction of the
 * leader, whose answer is lost. A publisher goes on. Then the leader's process ends. Every message
 * that was confirmed must be delivered and get its result.
 */
final class ConfirmedAfterLostAnswer {
  private static final int LATER_MESSAGES = 5;

  private ConfirmedAfterLostAnswer() {}

  public static void main(String[] args) {
    Lab.main(args, ConfirmedAfterLostAnswer::run);
  }

  private static int run(Lab lab, boolean trouble) throws Exception {
    lab.start();
    AmqpClient publisher = lab.connectToLeader("publisher", 40_000);
    Lab.Controller leader = publisher.controller;
    publisher.openChannel(1);
    publisher.selectConfirms(1);
    List<String> published = new ArrayList<>();
    Set<String> confirmed = new LinkedHashSet<>();

    publish(lab, publisher, published, "page-0");
    awaitConfirms(lab, publisher, published, confirmed, 10_000);
    if (!confirmed.contains("page-0")) {
      throw new Lab.CouldNotRun("the first message was not confirmed");
    }

    if (trouble) {
      AtomicBoolean begun = new AtomicBoolean();
      leader.proxy.setRule(
          request -> {
            if (StateProxy.writesQueues(request) && begun.compareAndSet(false, true)) {
              lab.record("the state service goes down for all controllers");
              lab.controllers.forEach(controller -> controller.proxy.setOutage(true));
              return StateProxy.Fate.EXECUTE_AND_LOSE_ANSWER;
            }
            return StateProxy.Fate.SERVE;
          });
    }
    publish(lab, publisher, published, "page-1");
    if (trouble) {
      for (int i = 0; i < 150 && leader.proxy.refusedQueueWrites() == 0; i++) {
        Lab.sleep(10);
      }
      if (leader.proxy.refusedQueueWrites() == 0) {
        throw new Lab.CouldNotRun("no write of queue records was refused in the outage");
      }
    }
    for (int i = 2; i < 2 + LATER_MESSAGES; i++) {
      publish(lab, publisher, published, "page-" + i);
    }
    if (trouble) {
      Lab.sleep(500);
      lab.controllers.forEach(controller -> controller.proxy.setOutage(false));
      lab.record("the state service is back");
    }
    awaitConfirms(lab, publisher, published, confirmed, 15_000);
    lab.record("confirmed: " + confirmed);
    if (trouble) {
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
    }

    AmqpClient consumer = lab.connectToLeader("consumer", 40_000);
    consumer.openChannel(1);
    consumer.openChannel(2);
    consumer.consume(1, "work", "worker");
    consumer.consume(2, "work.results", "reader");
    Set<String> unanswered = new LinkedHashSet<>(confirmed);
    Set<String> undelivered = new LinkedHashSet<>(confirmed);
    long until = System.nanoTime() + 25_000_000_000L;
    while (System.nanoTime() < until && !unanswered.isEmpty()) {
      AmqpClient.Event event = consumer.next(200);
      if (event == null || event.kind() != AmqpClient.Kind.DELIVERY) {
        continue;
      }
      lab.record(
          "delivered from " + event.queue() + ": " + event.messageId()
              + (event.queue().equals("work") ? "" : " " + event.body()));
      if (event.queue().equals("work")) {
        undelivered.remove(event.messageId());
      } else {
        unanswered.remove(event.messageId());
      }
      consumer.ack(event.channel(), event.tag());
    }
    if (unanswered.isEmpty()) {
      lab.record("each confirmed message was delivered and has its result");
      return Lab.HELD;
    }
    lab.record("confirmed, but no result within 25 s: " + unanswered);
    lab.record("confirmed, but never delivered: " + undelivered);
    return Lab.BROKEN;
  }

  private static void publish(
      Lab lab, AmqpClient publisher, List<String> published, String id) throws Exception {
    published.add(id);
    lab.record("publish " + published.size() + " to work: " + id);
    publisher.publish(1, "work", id, "render " + id);
  }

  private static void awaitConfirms(
      Lab lab, AmqpClient publisher, List<String> published, Set<String> confirmed, long withinMs) {
    long until = System.nanoTime() + withinMs * 1_000_000;
    Set<String> refused = new LinkedHashSet<>();
    while (System.nanoTime() < until && confirmed.size() + refused.size() < published.size()) {
      AmqpClient.Event event = publisher.next(100);
      if (event == null) {
        continue;
      }
      lab.record("publisher got " + event.kind() + " " + event.tag()
          + (event.multiple() ? " and all before" : ""));
      int last = (int) event.tag();
      int first = event.multiple() ? 1 : last;
      if (event.kind() == AmqpClient.Kind.CONFIRM) {
        confirmed.addAll(published.subList(first - 1, last));
      } else if (event.kind() == AmqpClient.Kind.REFUSAL) {
        refused.addAll(published.subList(first - 1, last));
      }
    }
  }
}
