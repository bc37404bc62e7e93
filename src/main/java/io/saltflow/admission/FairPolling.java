package io.saltflow.admission;

import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which status queries to answer under overload. Random refusal would leave some jobs
 * without an answer for 75 s, after which a job counts as lost. Each node therefore announces the
 * jobs that it refused to its peers, so that fairness holds across nodes.
 *
 * <p>Uses about 100 bytes for each recently queried job, for at most {@value #MAX_TRACKED_JOBS}
 * jobs.
 */
public final class FairPolling {
  /** How to handle a query. */
  public enum Verdict {
    /** Refuse it, because the job was answered recently or too many queries are in flight. */
    REFUSED,
    /** Answer it when no other work waits. */
    BEST_EFFORT,
    /** Answer it with the priority of other work, because its job has been refused for long. */
    OVERDUE
  }

  /**
   * Numbers of requests in flight from which queries are refused.
   *
   * @param refuseRepeatedFrom threshold for jobs that were answered within the usual poll interval
   * @param refuseRecentFrom threshold for jobs that were answered recently
   * @param refuseAllFrom threshold for all jobs
   */
  public record PollLimits(int refuseRepeatedFrom, int refuseRecentFrom, int refuseAllFrom) {}

  private static final int MAX_TRACKED_JOBS = 8000;

  /** Polls within this time of an answer are more frequent than the usual interval of 5 s. */
  private static final TimeSpan REPEATED_WITHIN = TimeSpan.seconds(4);

  private static final TimeSpan RECENT_WITHIN = TimeSpan.seconds(10);

  /** Time without an answer after which queries of a job are prioritized. */
  private static final TimeSpan OVERDUE_AFTER = TimeSpan.seconds(15);

  /** Bounds the prioritized queries, since all jobs are overdue after an outage. */
  private static final int MAX_OVERDUE_IN_FLIGHT = 32;

  /** Maximum number of refused jobs that are announced to the peers. */
  private static final int MAX_ANNOUNCED = 200;

  /** Time after the last refusal for which a job is announced to the peers. */
  private static final TimeSpan ANNOUNCEMENT_WINDOW = TimeSpan.seconds(40);

  /** Times of the last answer to and refusals of queries for one job. */
  private static final class PollState {
    MonotonicTime answeredAt = MonotonicTime.LONG_AGO;

    /** First refusal since the last answer, by this node or a peer. */
    MonotonicTime firstRefusedAt = MonotonicTime.NEVER;

    /** Last refusal by this node. */
    MonotonicTime lastRefusedAt = MonotonicTime.LONG_AGO;
  }

  private final PollLimits limits;
  private final Map<JobId, PollState> tracked =
      new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, PollState> eldest) {
          return size() > MAX_TRACKED_JOBS;
        }
      };
  private int overdueInFlight;

  /** Creates a policy that tracks no jobs yet. */
  public FairPolling(PollLimits limits) {
    this.limits = limits;
  }

  /**
   * Decides how to handle a query.
   *
   * @param inFlight number of queries and other requests that are not answered yet
   */
  public Verdict onPoll(JobId id, int inFlight, MonotonicTime now) {
    PollState poll = tracked.computeIfAbsent(id, i -> new PollState());
    if (inFlight < limits.refuseAllFrom
        && overdueInFlight < MAX_OVERDUE_IN_FLIGHT
        && now.since(poll.firstRefusedAt).compareTo(OVERDUE_AFTER) >= 0) {
      overdueInFlight++;
      return Verdict.OVERDUE;
    }
    TimeSpan since = now.since(poll.answeredAt);
    boolean refuse =
        inFlight >= limits.refuseAllFrom
            || (inFlight >= limits.refuseRecentFrom && RECENT_WITHIN.longerThan(since))
            || (inFlight >= limits.refuseRepeatedFrom && REPEATED_WITHIN.longerThan(since));
    if (refuse) {
      recordRefusal(poll, now);
      return Verdict.REFUSED;
    }
    return Verdict.BEST_EFFORT;
  }

  /** Records the end of a query that was not refused by {@link #onPoll}. */
  public void onFinished(JobId id, Verdict verdict, boolean answered, MonotonicTime now) {
    overdueInFlight -= verdict == Verdict.OVERDUE ? 1 : 0;
    PollState poll = tracked.computeIfAbsent(id, i -> new PollState());
    if (answered) {
      poll.answeredAt = now;
      poll.firstRefusedAt = MonotonicTime.NEVER;
    } else {
      recordRefusal(poll, now);
    }
  }

  private static void recordRefusal(PollState poll, MonotonicTime now) {
    poll.firstRefusedAt = MonotonicTime.earlier(poll.firstRefusedAt, now);
    poll.lastRefusedAt = now;
  }

  /** Returns the jobs that this node refused and for how long, longest first. */
  public Map<JobId, TimeSpan> unanswered(MonotonicTime now) {
    Map<JobId, TimeSpan> unanswered = new LinkedHashMap<>();
    tracked.entrySet().stream()
        .filter(e -> !e.getValue().firstRefusedAt.equals(MonotonicTime.NEVER))
        .filter(e -> ANNOUNCEMENT_WINDOW.longerThan(now.since(e.getValue().lastRefusedAt)))
        .sorted(
            Comparator.comparing((Map.Entry<JobId, PollState> e) -> e.getValue().firstRefusedAt))
        .limit(MAX_ANNOUNCED)
        .forEach(e -> unanswered.put(e.getKey(), now.since(e.getValue().firstRefusedAt)));
    return unanswered;
  }

  /** Records that queries of a job have been refused by a peer for this time. */
  public void onPeerRefused(JobId id, TimeSpan since, MonotonicTime now) {
    PollState poll = tracked.computeIfAbsent(id, i -> new PollState());
    MonotonicTime from = new MonotonicTime(now.ms() - since.ms());
    if (from.after(poll.answeredAt)) {
      poll.firstRefusedAt = MonotonicTime.earlier(poll.firstRefusedAt, from);
    }
  }
}
