package io.saltflow.deadlines;

import io.saltflow.protocol.JobId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * From one look at a morning to the next: whether the forecast is bad, and what is pushed in which
 * order. Nothing is pushed while the forecast is good. A job that is pushed stays so, and before
 * those that it was before, until it is done or can't be saved any more; another comes in where its
 * length puts it.
 */
public final class Pushing {
  /** For people; and what a record of eight kilobytes has room for. */
  private static final int MOST_LATE = 20;

  private static final int MOST_PUSHED = 200;

  /** A forecast that turned bad is good again when so much more than the share is in time. */
  private static final double MARGIN = 0.02;

  private Pushing() {}

  /**
   * The morning after this look.
   *
   * @param members that are not ready, in the order in which they are worked on
   * @param ready how many are
   * @param seen the latest revision at which one of them was accepted
   */
  public static Morning look(
      Morning before, List<Member> members, int ready, long seen, Supply supply, long nowMs) {
    double toDueS = Math.max(0, (before.dueMs() - nowMs) / 1000.0);
    Forecast f = Forecast.of(members, supply, toDueS);
    int all = ready + members.size();
    int inTime = ready + f.inTime();
    double part = all == 0 ? 1 : (double) inTime / all;
    boolean wasBad = before.badSinceMs() > 0;
    boolean bad = part < before.share() + (wasBad ? MARGIN : 0) && part < 1;
    long since = !bad ? 0 : wasBad ? before.badSinceMs() : nowMs;
    List<JobId> push = bad || !before.push().isEmpty() ? pushed(before.push(), f, bad) : List.of();
    return new Morning(
        before.queue(),
        before.day(),
        before.openedMs(),
        before.dueMs(),
        before.share(),
        ready,
        members.size(),
        inTime,
        Math.max(seen, before.seen()),
        since,
        push,
        late(before, members, f, nowMs),
        null);
  }

  private static List<JobId> pushed(List<JobId> before, Forecast f, boolean bad) {
    Map<JobId, Integer> rank = new HashMap<>();
    for (JobId id : f.best()) {
      rank.put(id, rank.size());
    }
    List<JobId> out = new ArrayList<>();
    for (JobId id : before) {
      if (rank.containsKey(id)) {
        out.add(id);
      }
    }
    Set<JobId> already = new HashSet<>(out);
    // Where those that are late can't be saved, an order saves nobody.
    for (JobId id : bad && f.savable() > 0 ? f.best() : List.<JobId>of()) {
      if (already.contains(id)) {
        continue;
      }
      int at = 0;
      while (at < out.size() && rank.get(out.get(at)) < rank.get(id)) {
        at++;
      }
      out.add(at, id);
    }
    return List.copyOf(out.subList(0, Math.min(MOST_PUSHED, out.size())));
  }

  private static List<Morning.Late> late(
      Morning before, List<Member> members, Forecast f, long nowMs) {
    Map<JobId, Long> since = new HashMap<>();
    before.late().forEach(l -> since.put(l.id(), l.sinceMs()));
    List<Morning.Late> out = new ArrayList<>();
    for (Member m : members) {
      Forecast.Verdict v = f.of(m.id());
      if (v != Forecast.Verdict.IN_TIME && out.size() < MOST_LATE) {
        String how =
            switch (v) {
              case LOST -> "can't be saved, ";
              case TOO_MUCH -> "too much for what is left, ";
              default -> "late, ";
            };
        out.add(new Morning.Late(m.id(), since.getOrDefault(m.id(), nowMs), how + m.why()));
      }
    }
    return out;
  }
}
