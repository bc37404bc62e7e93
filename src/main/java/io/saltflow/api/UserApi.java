package io.saltflow.api;

import io.saltflow.admission.CascadeBarrier;
import io.saltflow.admission.FairPolling;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JobCodec;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.PeerHeartbeat;
import io.saltflow.protocol.Wire;
import io.saltflow.records.JobOutcome;
import io.saltflow.records.JobRepository;
import io.saltflow.records.JobStatus;
import io.saltflow.store.KeyValueClient;
import io.saltflow.transport.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * HTTP API for submitting, polling and cancelling jobs. Any node answers from the key-value store.
 * Only recorded state is reported; a request that cannot be answered now is refused at once with
 * 503 and a time to retry after. Not thread-safe: used on the event loop's thread.
 */
public final class UserApi {
  private static final int MAX_CONCURRENT_REQUESTS = 256;

  /** Number of requests in flight at which repeated polls of a just answered job are refused. */
  private static final int REPEATED_POLL_REFUSAL_THRESHOLD = 96;

  /**
   * Number at which polls of any recently answered job are refused, to leave room for submissions
   * and cancellations.
   */
  private static final int RECENT_POLL_REFUSAL_THRESHOLD = 192;

  /** Number at which polls of jobs that were refused before are refused as well. */
  private static final int ALL_POLL_REFUSAL_THRESHOLD = 224;

  /** Store outage after which requests are refused without contacting the store. */
  private static final TimeSpan MAX_STORE_OUTAGE = TimeSpan.seconds(2);

  private final JobRepository jobs;
  private final KeyValueClient store;
  private final JobValidator validator;
  private final Function<JobId, PeerHeartbeat.JobCounts> taskCounts;
  private final LongSupplier wallMs;
  private final Supplier<MonotonicTime> now;
  private final CascadeBarrier cascadeBarrier;
  private final FairPolling fairPolling =
      new FairPolling(
          new FairPolling.PollLimits(
              REPEATED_POLL_REFUSAL_THRESHOLD,
              RECENT_POLL_REFUSAL_THRESHOLD,
              ALL_POLL_REFUSAL_THRESHOLD));
  private int inFlight;

  /**
   * @param taskCounts returns the counts of done and running tasks of a job, or {@code null} if not
   *     known
   * @param wallMs the wall clock in milliseconds since the epoch
   * @param now the monotonic clock
   * @param cascadeBarrier decides which jobs may be reported as live
   */
  public UserApi(
      JobRepository jobs,
      KeyValueClient store,
      JobValidator validator,
      Function<JobId, PeerHeartbeat.JobCounts> taskCounts,
      LongSupplier wallMs,
      Supplier<MonotonicTime> now,
      CascadeBarrier cascadeBarrier) {
    this.jobs = jobs;
    this.store = store;
    this.validator = validator;
    this.taskCounts = taskCounts;
    this.wallMs = wallMs;
    this.now = now;
    this.cascadeBarrier = cascadeBarrier;
  }

  /** Submits the job described by the body. Idempotent. */
  public void submit(byte[] body, Consumer<HttpResponse> answer) {
    MessageBody fields;
    JobId id;
    try {
      fields = MessagePackCodec.decode(body);
      id = JobCodec.id(fields);
    } catch (InvalidMessageException exception) {
      answer.accept(UserResponses.error(400, exception.getMessage()));
      return;
    }
    Consumer<HttpResponse> bounded = admit(answer, MAX_CONCURRENT_REQUESTS);
    if (bounded != null) {
      submitDecoded(id, fields, bounded);
    }
  }

  private void submitDecoded(JobId id, MessageBody fields, Consumer<HttpResponse> answer) {
    JobSpec spec;
    try {
      spec = JobCodec.decode(fields);
    } catch (InvalidMessageException exception) {
      replyIfUnknown(id, UserResponses.error(400, exception.getMessage()), answer);
      return;
    }
    if (!validator.isReady()) {
      replyIfUnknown(id, UserResponses.retryLater("machine types are not known yet", 1), answer);
      return;
    }
    String fault = validator.submissionFault(spec);
    if (fault != null) {
      replyIfUnknown(id, UserResponses.error(422, fault), answer);
      return;
    }
    jobs.admit(spec, wallMs.getAsLong(), outcome -> answer.accept(submissionReply(id, outcome)));
  }

  private HttpResponse submissionReply(JobId id, JobOutcome outcome) {
    if (outcome instanceof JobOutcome.Created) {
      return UserResponses.jobStatus(201, id, Wire.STATE_PENDING, 0, 0);
    }
    if (outcome instanceof JobOutcome.CreatedCancelled) {
      return UserResponses.jobStatus(201, id, Wire.STATE_CANCELLED, 0, 0);
    }
    if (outcome instanceof JobOutcome.NeverAccepted never) {
      return UserResponses.error(
          422, Wire.DEPENDENCIES + ": " + never.dependency() + " was never accepted");
    }
    if (outcome instanceof JobOutcome.TooLarge) {
      // The job is not known: a known one would have been found first.
      return UserResponses.error(400, "the description is too large to be recorded");
    }
    return reply(id, outcome, UserResponses.retryLater("not recorded", 1));
  }

  /** Replies with the status of a known job, which is never refused, or with {@code otherwise}. */
  private void replyIfUnknown(JobId id, HttpResponse otherwise, Consumer<HttpResponse> answer) {
    jobs.find(id, outcome -> answer.accept(reply(id, outcome, otherwise)));
  }

  private HttpResponse reply(JobId id, JobOutcome outcome, HttpResponse ifAbsent) {
    if (outcome instanceof JobOutcome.Found found) {
      return statusReply(found.status());
    }
    if (outcome instanceof JobOutcome.Absent) {
      return ifAbsent;
    }
    return UserResponses.retryLater("the state of " + id + " can't be told now", 1);
  }

  private HttpResponse statusReply(JobStatus job) {
    return switch (job.phase()) {
      case DONE -> UserResponses.jobStatus(200, job.id(), Wire.STATE_DONE, job.doneCount(), 0);
      case CANCELLED ->
          UserResponses.jobStatus(200, job.id(), Wire.STATE_CANCELLED, job.doneCount(), 0);
      case LIVE -> {
        if (!cascadeBarrier.mayReportLive(job.id(), now.get())) {
          yield UserResponses.retryLater(
              "whether it depends on a cancelled job can't be told now", 1);
        }
        PeerHeartbeat.JobCounts jobCounts = taskCounts.apply(job.id());
        int running = jobCounts == null ? 0 : jobCounts.running();
        int done =
            jobCounts == null ? job.doneCount() : Math.max(job.doneCount(), jobCounts.done());
        String phase = running > 0 ? Wire.STATE_RUNNING : Wire.STATE_PENDING;
        yield UserResponses.jobStatus(200, job.id(), phase, done, running);
      }
    };
  }

  /** Answers with the status of a job. */
  public void poll(String id, Consumer<HttpResponse> answer) {
    if (!JobId.valid(id)) {
      answer.accept(UserResponses.error(404, "no such job"));
      return;
    }
    JobId job = new JobId(id);
    JobStatus ended = jobs.cachedEnd(job);
    if (ended != null) {
      // A final state never changes, so it is answered even during an outage.
      answer.accept(statusReply(ended));
      return;
    }
    FairPolling.Verdict verdict = fairPolling.onPoll(job, inFlight, now.get());
    Consumer<HttpResponse> bounded =
        admit(
            reply -> {
              if (verdict != FairPolling.Verdict.REFUSED) {
                boolean answered = reply.status() == 200 || reply.status() == 404;
                fairPolling.onFinished(job, verdict, answered, now.get());
              }
              answer.accept(reply);
            },
            verdict == FairPolling.Verdict.REFUSED ? 0 : MAX_CONCURRENT_REQUESTS);
    if (bounded == null) {
      return;
    }
    Consumer<JobOutcome> then =
        outcome -> bounded.accept(reply(job, outcome, UserResponses.error(404, "no such job")));
    if (verdict == FairPolling.Verdict.OVERDUE) {
      jobs.find(job, then);
    } else {
      jobs.poll(job, then);
    }
  }

  /** Returns the jobs whose polls were refused here, to be announced to the peers. */
  public List<PeerHeartbeat.UnansweredJob> unansweredPolls() {
    List<PeerHeartbeat.UnansweredJob> polls = new ArrayList<>();
    fairPolling
        .unanswered(now.get())
        .forEach((id, since) -> polls.add(new PeerHeartbeat.UnansweredJob(id, since)));
    return polls;
  }

  /** Prioritizes polls of jobs that a peer has refused to answer. */
  public void onPeerUnanswered(List<PeerHeartbeat.UnansweredJob> unanswered) {
    unanswered.forEach(poll -> fairPolling.onPeerRefused(poll.job(), poll.since(), now.get()));
  }

  /** Cancels a job. Idempotent. */
  public void cancel(String id, Consumer<HttpResponse> answer) {
    if (!JobId.valid(id)) {
      answer.accept(UserResponses.error(404, "no such job"));
      return;
    }
    Consumer<HttpResponse> bounded = admit(answer, MAX_CONCURRENT_REQUESTS);
    if (bounded != null) {
      JobId job = new JobId(id);
      jobs.cancel(
          job,
          outcome -> bounded.accept(reply(job, outcome, UserResponses.error(404, "no such job"))));
    }
  }

  /**
   * Counts a request as in flight until it is answered. Refuses it at once, rather than queueing
   * it, if too many requests are in flight or the store has not answered for a while.
   *
   * @return the consumer of the answer, or {@code null} if the request was refused
   */
  private Consumer<HttpResponse> admit(Consumer<HttpResponse> answer, int limit) {
    if (inFlight >= limit || store.outageDuration().longerThan(MAX_STORE_OUTAGE)) {
      answer.accept(UserResponses.retryLater("not served now", 1));
      return null;
    }
    inFlight++;
    return reply -> {
      inFlight--;
      answer.accept(reply);
    };
  }
}
