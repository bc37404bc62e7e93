package io.saltflow.deadlines;

import io.saltflow.protocol.JobId;
import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.List;

/**
 * A queue's morning as it is recorded. When it is due is fixed when it opens: no later change of
 * the clock or of settings moves it.
 *
 * @param day the day on which it is due, there
 * @param ready jobs that were done while it was open
 * @param waiting jobs that are not
 * @param inTime how many of all are forecast to be ready
 * @param seen the latest revision at which one of its jobs was accepted: of those up to it, who is
 *     neither waiting nor counted as ready has ended since
 * @param badSinceMs since when too few are; 0: enough are
 * @param push what goes first, in this order
 * @param late for people: the first of those that will be late by forecast
 * @param ended null: it is open
 */
public record Morning(
    String queue,
    String day,
    long openedMs,
    long dueMs,
    double share,
    int ready,
    int waiting,
    int inTime,
    long seen,
    long badSinceMs,
    List<JobId> push,
    List<Late> late,
    Ended ended) {

  private static final DateTimeFormatter FORM = DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm");

  /** A job that will be late. */
  public record Late(JobId id, long sinceMs, String why) {}

  /**
   * How it ended.
   *
   * @param missing jobs that were not ready when it was due
   * @param atMs when enough were ready, or when it was due
   */
  public record Ended(int missing, boolean enough, long atMs) {}

  static Morning opened(String queue, String day, long from, long due, double share) {
    return new Morning(queue, day, from, due, share, 0, 0, 0, 0, 0, List.of(), List.of(), null);
  }

  /**
   * For people, as it is recorded: the same by every node, before and after a takeover.
   *
   * @param zone whose time of day they live by
   */
  public String told(long wallMs, ZoneId zone) {
    StringBuilder s = new StringBuilder();
    s.append(queue).append(", due ").append(at(dueMs, zone)).append(": ");
    s.append(ready).append(" of ").append(ready + waiting).append(" ready");
    if (ended != null) {
      return s.append(ended.enough() ? "; it was ready" : "; it was missed").toString();
    }
    s.append(", ").append(Math.max(0, (dueMs - wallMs) / 60_000)).append(" min left, ");
    s.append(inTime).append(" in time by forecast");
    if (badSinceMs > 0) {
      s.append(", too few since ").append(at(badSinceMs, zone));
    }
    if (!push.isEmpty()) {
      s.append("; pushed: ").append(push.size()).append(" jobs, first ").append(push.get(0));
    }
    late.forEach(l -> s.append("\n  ").append(l.id()).append(": ").append(l.why()));
    return s.toString();
  }

  private static String at(long wallMs, ZoneId zone) {
    return FORM.format(Instant.ofEpochMilli(wallMs).atZone(zone));
  }

  /** Its name among all records. */
  public String name() {
    return queue + "/" + day;
  }

  public Morning ended(Ended how) {
    return new Morning(
        queue,
        day,
        openedMs,
        dueMs,
        share,
        ready,
        waiting,
        inTime,
        seen,
        badSinceMs,
        push,
        late,
        how);
  }
}
