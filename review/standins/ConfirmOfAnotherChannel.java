import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The state service answers slowly. A publisher gives up a channel while a message is not confirmed
 * yet, opens the channel again and publishes another message there. Then the leader's process ends.
 * Every message that was confirmed must be delivered and get its result.
 */
final class ConfirmOfAnotherChannel {
  private ConfirmOfAnotherChannel() {}

  public static void main(String[] args) {
    Lab.main(args, ConfirmOfAnotherChannel::run);
  }

  private static int run(Lab lab, boolean trouble) throws Exception {
    lab.start();
    AmqpClient publisher = lab.connectToLeader("publisher", 40_000);
    Lab.Controller leader = publisher.controller;
    StateProxy proxy = leader.proxy;
    publisher.openChannel(1);
    publisher.selectConfirms(1);
    publisher.publish(1, "work", "page-0", "render page-0");
    AmqpClient.Event first = publisher.next(10_000);
    if (first == null || first.kind() != AmqpClient.Kind.CONFIRM) {
      throw new Lab.CouldNotRun("the first message was not confirmed");
    }
    publisher.closeChannel(1);
    publisher.openChannel(1);
    publisher.selectConfirms(1);

    AtomicBoolean slow = new AtomicBoolean(trouble);
    proxy.setRule(
        request ->
            slow.get() && StateProxy.writesQueues(request)
                ? StateProxy.Fate.HOLD
                : StateProxy.Fate.SERVE);
    lab.record("publish page-1 to work, number 1 of channel 1");
    publisher.publish(1, "work", "page-1", "render page-1");
    if (trouble) {
      for (int i = 0; i < 100 && proxy.heldSoFar() == 0; i++) {
        Lab.sleep(10);
      }
      if (proxy.heldSoFar() == 0) {
        throw new Lab.CouldNotRun("page-1 was not on its way to the state service");
      }
    }
    publisher.closeChannel(1);
    lab.record("channel 1 is closed before page-1 was confirmed; it is opened again");
    publisher.events.clear();
    publisher.openChannel(1);
    publisher.selectConfirms(1);
    lab.record("publish page-2 to work, number 1 of the new channel 1");
    publisher.publish(1, "work", "page-2", "render page-2");
    if (trouble) {
      Lab.sleep(200);
      lab.record("the state service executes what it held");
      proxy.release();
    }
    boolean confirmed = false;
    AmqpClient.Event event = publisher.next(trouble ? 3_000 : 10_000);
    if (event != null) {
      lab.record("publisher got " + event.kind() + " " + event.tag() + " on channel 1");
      confirmed = event.kind() == AmqpClient.Kind.CONFIRM && event.tag() == 1;
    } else {
      lab.record("page-2 was not confirmed");
    }
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
    Set<String> unanswered = new LinkedHashSet<>();
    unanswered.add("page-0");
    if (confirmed) {
      unanswered.add("page-2");
    }
    long until = System.nanoTime() + 25_000_000_000L;
    while (System.nanoTime() < until && !unanswered.isEmpty()) {
      AmqpClient.Event got = consumer.next(200);
      if (got == null || got.kind() != AmqpClient.Kind.DELIVERY) {
        continue;
      }
      lab.record("delivered from " + got.queue() + ": " + got.messageId()
          + (got.queue().equals("work") ? "" : " " + got.body()));
      if (got.queue().equals("work.results")) {
        unanswered.remove(got.messageId());
      }
      consumer.ack(got.channel(), got.tag());
    }
    if (!unanswered.isEmpty()) {
      lab.record("confirmed, but no result within 25 s: " + unanswered);
      return Lab.BROKEN;
    }
    lab.record(confirmed ? "each confirmed message has its result" : "nothing was promised falsely");
    return Lab.HELD;
  }
}
