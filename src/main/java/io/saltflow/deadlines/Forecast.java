package io.saltflow.deadlines;

import io.saltflow.protocol.JobId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which jobs will be ready in time: as the queue goes now, and at best. All are due together, so
 * the fewest are late when the shortest go first: Moore's rule (Management Science 15, 1968) for
 * one machine with one due date. Here many machines work on one job, and a job has a least time of
 * its own, its longest task: what can't be in time by that is left out first.
 */
public final class Forecast {
  /** What becomes of a job. */
  public enum Verdict {
    IN_TIME,
    /** Late as things go, and in time when it is pushed. */
    TO_SAVE,
    /** Late whatever is done, though its longest task alone would be in time. */
    TOO_MUCH,
    /** Its longest task alone is past the morning. */
    LOST
  }

  private final Map<JobId, Verdict> verdicts = new HashMap<>();
  private final List<JobId> best = new ArrayList<>();
  private int inTime;
  private int savable;

  private Forecast() {}

  /**
   * The forecast.
   *
   * @param members in the order in which they are worked on now
   * @param toDueS seconds until the morning is due
   */
  public static Forecast of(List<Member> members, Supply supply, double toDueS) {
    Forecast f = new Forecast();
    List<Member> shortest = new ArrayList<>();
    double sum = 0;
    for (Member m : members) {
      if (m.failing() || m.longestS() > toDueS) {
        f.verdicts.put(m.id(), Verdict.LOST);
        continue;
      }
      shortest.add(m);
      sum += m.leftCoreS();
      boolean enough = sum <= toDueS * supply.now() + 1e-6;
      f.verdicts.put(m.id(), enough ? Verdict.IN_TIME : Verdict.TOO_MUCH);
      f.inTime += enough ? 1 : 0;
    }
    shortest.sort(
        Comparator.comparingDouble(Member::leftCoreS)
            .thenComparing(Member::longestS, Comparator.reverseOrder())
            .thenComparing(Member::id));
    double saved = 0;
    for (Member m : shortest) {
      saved += m.leftCoreS();
      f.best.add(m.id());
      if (saved <= toDueS * supply.pushed() + 1e-6) {
        f.savable += f.verdicts.replace(m.id(), Verdict.TOO_MUCH, Verdict.TO_SAVE) ? 1 : 0;
      }
    }
    return f;
  }

  public Verdict of(JobId id) {
    return verdicts.get(id);
  }

  /** How many will be ready as things go. */
  public int inTime() {
    return inTime;
  }

  /** How many will be late as things go, and in time when they are pushed. */
  public int savable() {
    return savable;
  }

  /** Jobs that could be in time by themselves, those first that leave most others in time. */
  public List<JobId> best() {
    return best;
  }
}
