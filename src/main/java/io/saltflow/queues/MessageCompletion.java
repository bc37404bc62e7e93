package io.saltflow.queues;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Completes messages exactly once. The result and the dead letter are recorded in the same unit of
 * the log as the completion.
 */
final class MessageCompletion {
  private final QueueContext context;
  private final Messages messages;
  private final Map<QueueId, QueueState> queues;
  private final ResultEncoder resultEncoder;
  private final Consumer<Message> makeAvailable;

  /**
   * @param makeAvailable receives each recorded result or dead letter, to make it available
   */
  MessageCompletion(
      QueueContext context,
      Messages messages,
      Map<QueueId, QueueState> queues,
      ResultEncoder resultEncoder,
      Consumer<Message> makeAvailable) {
    this.context = context;
    this.messages = messages;
    this.queues = queues;
    this.resultEncoder = resultEncoder;
    this.makeAvailable = makeAvailable;
  }

  void complete(Message message, Outcome outcome, String reason) {
    message.queue.waiting.remove(message.no);
    message.state = Message.State.COMPLETING;
    QueuePolicy policy = message.queue.policy;
    List<Entry> unit = new ArrayList<>(4);
    unit.add(new Entry.Ended(message.no));
    List<Message> followUps = new ArrayList<>(2);
    Outcome reported = outcome;
    if (outcome == Outcome.FAILED && policy.deadLetters() != null) {
      reported = Outcome.DEAD_LETTERED;
      followUps.add(
          createFollowUp(message, policy.deadLetters(), message.properties, message.body));
    }
    if (policy.results() != null) {
      String id = message.reportedId();
      byte[] body = resultEncoder.body(id, reported, message.attempts, reason);
      followUps.add(createFollowUp(message, policy.results(), resultEncoder.properties(id), body));
    }
    followUps.forEach(followUp -> unit.add(followUp.toEntry()));
    MessageDigest128 digest = message.digest();
    long endedAt = context.wallMs;
    if (digest != null) {
      unit.add(new Entry.Known(digest, endedAt));
    }
    // The completion can be rejected only if the message itself is not recorded yet, because it
    // failed while it was published.
    Runnable dropped = message.batch != 0 ? null : () -> onDropped(message, followUps);
    context.recorder.add(unit, () -> onRecorded(message, followUps, digest, endedAt), dropped);
  }

  private Message createFollowUp(Message message, QueueId to, byte[] properties, byte[] body) {
    Entry.Kept kept =
        new Entry.Kept(
            messages.nextNo(),
            to,
            message.reportedId(),
            false,
            context.wallMs,
            Message.NEVER,
            0,
            false,
            properties,
            body);
    Message followUp = new Message(kept, queues.get(to));
    messages.add(followUp);
    return followUp;
  }

  private void onDropped(Message message, List<Message> followUps) {
    followUps.forEach(messages::remove);
    context.reject(message);
    messages.remove(message);
  }

  private void onRecorded(
      Message message, List<Message> followUps, MessageDigest128 digest, long endedAt) {
    context.confirm(message);
    messages.remove(message);
    long batch = context.recorder.batchNumber();
    if (digest != null) {
      messages.addCompleted(digest, endedAt, batch);
    }
    for (Message followUp : followUps) {
      messages.setBatch(followUp, batch);
      makeAvailable.accept(followUp);
    }
  }
}
