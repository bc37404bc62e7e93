package io.saltflow.polls;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Whose question is answered when not all are. By chance alone some job of a thousand is refused a
 * dozen times in a row, and a job about which nobody is answered for 75 s counts as forgotten. A
 * node tells its siblings whom it could not answer, so that it does not matter which of them is
 * asked next.
 *
 * <p>Memory: some 100 bytes for each of the jobs last asked about, of which there are at most
 * {@value #MOST_KNOWN}.
 */
public final class Fairness {
  /** What becomes of a question. */
  public enum Verdict {
    /** Not now: its user was answered just before, or there are too many. */
    REFUSED,
    /** Answered when nothing else waits for it. */
    GIVES_WAY,
    /** Its job has waited for so long that it goes with the work of others. */
    OVERDUE
  }

  /**
   * How many may be under way.
   *
   * @param some from here on those that were answered just now are refused
   * @param most from here on all are that were answered lately
   * @param all from here on every one is
   */
  public record Bounds(int some, int most, int all) {}

  private static final int MOST_KNOWN = 8000;

  /** Users ask roughly every 5 s: who was answered within this asks more often than that. */
  private static final Span JUST_NOW = Span.seconds(4);

  private static final Span LATELY = Span.seconds(10);

  /** A fifth of the time after which a job counts as forgotten. */
  private static final Span OVERDUE_AFTER = Span.seconds(15);

  /** So many at once go with others' work: an outage leaves all of them overdue. */
  private static final int MOST_OVERDUE = 32;

  /** So many the siblings are told of, and so long after the last question. */
  private static final int MOST_TOLD = 200;

  private static final Span TOLD_FOR = Span.seconds(40);

  private static final class Asked {
    Time answered = Time.LONG_AGO;

    /** When it was first refused since then. */
    Time refused = Time.NEVER;

    /** When it was last refused here. */
    Time refusedLast = Time.LONG_AGO;
  }

  private final Bounds bounds;
  private final Map<JobId, Asked> known =
      new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, Asked> eldest) {
          return size() > MOST_KNOWN;
        }
      };
  private int overdue;

  public Fairness(Bounds bounds) {
    this.bounds = bounds;
  }

  /**
   * A question about the job.
   *
   * @param underWay questions and requests that are not answered yet
   */
  public Verdict asked(JobId id, int underWay, Time now) {
    Asked a = known.computeIfAbsent(id, i -> new Asked());
    if (underWay < bounds.all
        && overdue < MOST_OVERDUE
        && now.since(a.refused).compareTo(OVERDUE_AFTER) >= 0) {
      overdue++;
      return Verdict.OVERDUE;
    }
    Span since = now.since(a.answered);
    boolean refuse =
        underWay >= bounds.all
            || (underWay >= bounds.most && LATELY.longerThan(since))
            || (underWay >= bounds.some && JUST_NOW.longerThan(since));
    if (refuse) {
      refused(a, now);
      return Verdict.REFUSED;
    }
    return Verdict.GIVES_WAY;
  }

  /** What became of one that was not refused. */
  public void ended(JobId id, Verdict as, boolean answered, Time now) {
    overdue -= as == Verdict.OVERDUE ? 1 : 0;
    Asked a = known.computeIfAbsent(id, i -> new Asked());
    if (answered) {
      a.answered = now;
      a.refused = Time.NEVER;
    } else {
      refused(a, now);
    }
  }

  private static void refused(Asked a, Time now) {
    a.refused = Time.earlier(a.refused, now);
    a.refusedLast = now;
  }

  /** The jobs about which questions were refused here, with since when, the longest first. */
  public Map<JobId, Span> unanswered(Time now) {
    Map<JobId, Span> out = new LinkedHashMap<>();
    known.entrySet().stream()
        .filter(e -> !e.getValue().refused.equals(Time.NEVER))
        .filter(e -> TOLD_FOR.longerThan(now.since(e.getValue().refusedLast)))
        .sorted(Comparator.comparing((Map.Entry<JobId, Asked> e) -> e.getValue().refused))
        .limit(MOST_TOLD)
        .forEach(e -> out.put(e.getKey(), now.since(e.getValue().refused)));
    return out;
  }

  /** A sibling has refused questions about the job for so long. */
  public void refusedElsewhere(JobId id, Span since, Time now) {
    Asked a = known.computeIfAbsent(id, i -> new Asked());
    Time from = new Time(now.ms() - since.ms());
    if (from.after(a.answered)) {
      a.refused = Time.earlier(a.refused, from);
    }
  }
}
