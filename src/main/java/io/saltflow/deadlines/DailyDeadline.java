package io.saltflow.deadlines;

import io.saltflow.model.JobId;
import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.List;

/**
 * A recorded deadline of a queue on one day. Its due time is fixed when it opens and is not
 * affected by later changes of the clock or the settings.
 *
 * @param day the day on which it is due, in the queue's time zone
 * @param openedMs the wall-clock time from which jobs count for it, in milliseconds
 * @param dueMs the wall-clock time at which it is due, in milliseconds
 * @param targetShare the share of its jobs that must complete in time, 0 to 1
 * @param readyJobs the number of jobs that completed while it was open
 * @param pendingJobs the number of jobs that are not complete
 * @param forecastInTime the number of all jobs that are forecast to complete in time
 * @param lastSeenRevision the latest revision at which one of its jobs was admitted; jobs admitted
 *     up to it that are neither pending nor counted as ready have ended since
 * @param atRiskSinceMs the wall-clock time since which too few jobs are forecast to complete in
 *     time, or 0 if enough are
 * @param boosted the jobs that run first, in this order
 * @param lateJobs the first jobs that are forecast to be late, for operators
 * @param outcome the outcome, or {@code null} while the deadline is open
 */
public record DailyDeadline(
    String queue,
    String day,
    long openedMs,
    long dueMs,
    double targetShare,
    int readyJobs,
    int pendingJobs,
    int forecastInTime,
    long lastSeenRevision,
    long atRiskSinceMs,
    List<JobId> boosted,
    List<LateJob> lateJobs,
    DeadlineOutcome outcome) {

  private static final DateTimeFormatter TIME_FORMAT =
      DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm");

  /** A job that is forecast to be late, with the time since when and the reason. */
  public record LateJob(JobId id, long sinceMs, String reason) {}

  /**
   * Outcome of a deadline.
   *
   * @param missedJobs the number of jobs that were not complete when it was due
   * @param met whether enough jobs completed in time
   * @param atMs the wall-clock time at which enough jobs were complete, or at which it was due
   */
  public record DeadlineOutcome(int missedJobs, boolean met, long atMs) {}

  static DailyDeadline opened(
      String queue, String day, long openedMs, long dueMs, double targetShare) {
    return new DailyDeadline(
        queue, day, openedMs, dueMs, targetShare, 0, 0, 0, 0, 0, List.of(), List.of(), null);
  }

  /**
   * Returns the deadline as text for operators. It is derived from the record alone, so that all
   * nodes return the same text, also after a failover.
   *
   * @param zone the operators' time zone
   */
  public String describe(long wallMs, ZoneId zone) {
    StringBuilder text = new StringBuilder();
    text.append(queue).append(", due ").append(formatTime(dueMs, zone)).append(": ");
    text.append(readyJobs).append(" of ").append(readyJobs + pendingJobs).append(" ready");
    if (outcome != null) {
      return text.append(outcome.met() ? "; it was ready" : "; it was missed").toString();
    }
    text.append(", ").append(Math.max(0, (dueMs - wallMs) / 60_000)).append(" min left, ");
    text.append(forecastInTime).append(" in time by forecast");
    if (atRiskSinceMs > 0) {
      text.append(", too few since ").append(formatTime(atRiskSinceMs, zone));
    }
    if (!boosted.isEmpty()) {
      text.append("; pushed: ")
          .append(boosted.size())
          .append(" jobs, first ")
          .append(boosted.get(0));
    }
    lateJobs.forEach(
        late -> text.append("\n  ").append(late.id()).append(": ").append(late.reason()));
    return text.toString();
  }

  private static String formatTime(long wallMs, ZoneId zone) {
    return TIME_FORMAT.format(Instant.ofEpochMilli(wallMs).atZone(zone));
  }

  /** Returns the name of the record, unique among all deadlines. */
  public String recordName() {
    return queue + "/" + day;
  }

  /** Returns a copy with this outcome. */
  public DailyDeadline withOutcome(DeadlineOutcome ended) {
    return new DailyDeadline(
        queue,
        day,
        openedMs,
        dueMs,
        targetShare,
        readyJobs,
        pendingJobs,
        forecastInTime,
        lastSeenRevision,
        atRiskSinceMs,
        boosted,
        lateJobs,
        ended);
  }

  /** Returns the deadline as recorded at its end, without boosted jobs. */
  public DailyDeadline closed(int ready, DeadlineOutcome ended) {
    return new DailyDeadline(
        queue,
        day,
        openedMs,
        dueMs,
        targetShare,
        ready,
        ended.missedJobs(),
        ready,
        lastSeenRevision,
        atRiskSinceMs,
        List.of(),
        lateJobs,
        ended);
  }
}
