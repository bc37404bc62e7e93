package io.saltflow.queues;

import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Term;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Runs messages as jobs on machines, and completes the messages when their jobs end. */
final class MessageJobs {
  private final QueueContext context;
  private final Messages messages;
  private final MessageCompletion completion;
  private final MessageJobFactory jobFactory;
  private final Term term;

  MessageJobs(
      QueueContext context,
      Messages messages,
      MessageCompletion completion,
      MessageJobFactory jobFactory,
      Term term) {
    this.context = context;
    this.messages = messages;
    this.completion = completion;
    this.jobFactory = jobFactory;
    this.term = term;
  }

  /** Returns whether a job can be created from the message. If not, the message fails. */
  boolean canCreateJob(Message message) {
    return createJob(message) != null;
  }

  private JobSpec createJob(Message message) {
    message.job = jobIdOf(message);
    try {
      return jobFactory.createJob(message.queue.policy, message.job, message.body);
    } catch (MessageJobFactory.InvalidJobException exception) {
      completion.complete(message, Outcome.FAILED, exception.getMessage());
      return null;
    }
  }

  /**
   * Returns a job id derived from the message's identity, so that a repeated admission is
   * idempotent.
   */
  private static JobId jobIdOf(Message message) {
    QueueId queue = message.queue.policy.id();
    MessageDigest128 digest =
        MessageDigest128.of("job", queue.vhost(), queue.name(), message.identity.text());
    return JobId.of(digest.high(), digest.low());
  }

  /**
   * Requests the admission of the jobs of messages that earlier leaders recorded, in the order of
   * their numbers.
   *
   * <p>An earlier version may have recorded two messages with the same job. That job is the first
   * one's, which was admitted before the other. The other message is recorded with an identity of
   * its own before its job is admitted.
   */
  void resume(List<Message> recorded) {
    Set<JobId> jobs = new HashSet<>();
    for (Message message : recorded) {
      if (jobs.add(jobIdOf(message))) {
        requestAdmission(message);
      } else {
        separate(message);
      }
    }
  }

  private void separate(Message message) {
    Entry.Kept entry = message.toEntry().withIdentity(message.identity.separated(term, message.no));
    Message separated = new Message(entry, message.queue);
    long batch = message.batch;
    messages.remove(message);
    messages.add(separated);
    messages.setBatch(separated, batch);
    context.record(
        entry,
        () -> {
          messages.setBatch(separated, context.recorder.batchNumber());
          requestAdmission(separated);
        });
  }

  /** Requests the admission of the message's job. The admission has no effect if the job exists. */
  void requestAdmission(Message message) {
    JobSpec spec = createJob(message);
    if (spec != null) {
      message.state = Message.State.RUNNING_AS_JOB;
      message.failuresInEarlierTerms = message.attempts;
      message.attemptsExhausted = message.attempts >= message.queue.policy.maxAttempts();
      context.emit(new Effect.Admit(message.no, spec, message.arrivedWallMs));
      if (message.attemptsExhausted) {
        context.emit(new Effect.Withdraw(message.job));
      }
    }
  }

  Map<MessageNo, JobId> jobs() {
    Map<MessageNo, JobId> out = new LinkedHashMap<>();
    for (Message message : messages.view()) {
      if (message.state == Message.State.RUNNING_AS_JOB) {
        out.put(message.no, message.job);
      }
    }
    return out;
  }

  private Message running(MessageNo no) {
    Message message = messages.find(no);
    return message != null && message.state == Message.State.RUNNING_AS_JOB ? message : null;
  }

  /**
   * Records the job's failures, and cancels it if their number over all leaders has reached the
   * limit.
   */
  void jobFailures(MessageNo no, int failuresInTerm) {
    Message message = running(no);
    if (message == null) {
      return;
    }
    if (message.attemptsExhausted) {
      // The cancellation may have been requested by an earlier leader, or have failed.
      context.emit(new Effect.Withdraw(message.job));
      return;
    }
    int failures = message.failuresInEarlierTerms + failuresInTerm;
    if (failures <= message.attempts) {
      return;
    }
    message.attempts = failures;
    context.record(new Entry.Returned(no, failures), () -> onFailuresRecorded(message));
  }

  private void onFailuresRecorded(Message message) {
    if (message.attempts >= message.queue.policy.maxAttempts()) {
      message.attemptsExhausted = true;
      context.emit(new Effect.Withdraw(message.job));
    }
  }

  void jobEnded(MessageNo no, boolean done, String refused) {
    Message message = running(no);
    if (message == null) {
      return;
    }
    if (done) {
      message.attempts++;
      completion.complete(message, Outcome.DONE, null);
    } else if (refused != null) {
      completion.complete(message, Outcome.FAILED, refused);
    } else if (message.attemptsExhausted) {
      completion.complete(
          message, Outcome.FAILED, "failed after " + message.attempts + " attempts");
    } else {
      completion.complete(message, Outcome.CANCELLED, "its job was cancelled");
    }
  }
}
