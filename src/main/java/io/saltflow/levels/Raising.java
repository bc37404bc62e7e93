package io.saltflow.levels;

import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The leader's part: when the level is raised, and when what it allows is used. Both are
 * transactions that are guarded by the leader's key, the key of the levels, and every announcement
 * that they rest on; carried out late, they change nothing.
 *
 * <p>Builds without levels announce nothing, also when one is put in the place of a build that did.
 * So while {@code used} is below {@link Level#ANNOUNCED}, announcements are under leases, which end
 * with their process, and a raise has two steps. An announcement that has kept its version from
 * before the time t1 until t1 and a lease later is of a process that ran at t1. What is raised is
 * used once that holds with a t1 after the raise: whoever starts a former build then does so behind
 * the raise.
 */
public final class Raising {
  /**
   * What operators may set.
   *
   * @param settle how long all must have had the new level, and been well, before the raise
   * @param lease of announcements
   */
  public record Rules(Span settle, Span lease) {}

  /**
   * What is known now.
   *
   * @param announced by all hosts that have, at one revision
   * @param configured every controller in this one's settings, itself too
   * @param unwell why this is no time to raise, in words; null: it is
   * @param untouched no leader has ever been elected on this state
   */
  public record View(
      Active active,
      List<Announcement> announced,
      Set<String> configured,
      String unwell,
      boolean untouched) {}

  /**
   * What a leader has seen to be steady: these announcements, beside this record of the levels, and
   * nothing that was unwell.
   */
  public record Watch(Map<String, Stamp> announced, Stamp active, Time since) {
    public static final Watch NONE = new Watch(Map.of(), Stamp.ABSENT, Time.LONG_AGO);
  }

  /** What to do now. */
  public sealed interface Decision {
    /** Nothing; why, in one line; empty: there is nothing to do. */
    record Hold(String why) implements Decision {}

    /** Write this record, if the key of the levels and the announcements are of these versions. */
    record Write(Active next, Map<String, Stamp> announced) implements Decision {}
  }

  /** A decision, and what to bring along to the next. */
  public record Outcome(Decision decision, Watch watch) {}

  private Raising() {}

  /** What to do, by what is known now and has been steady since. */
  public static Outcome decide(Rules rules, View view, Watch before, Time now) {
    Map<String, Stamp> versions = new TreeMap<>();
    Map<String, Level> known = new TreeMap<>();
    view.configured.forEach(host -> known.put(host, Range.UNANNOUNCED.to()));
    for (Announcement a : view.announced) {
      versions.put(a.host(), a.version());
      known.put(a.host(), a.range().to());
    }
    Watch watch = before;
    boolean steady =
        versions.equals(before.announced) && view.active.version().equals(before.active);
    if (!steady || view.unwell != null) {
      watch = new Watch(versions, view.active.version(), now);
    }
    return new Outcome(decide(rules, view, known, watch, now), watch);
  }

  private static Decision decide(
      Rules rules, View view, Map<String, Level> known, Watch watch, Time now) {
    Active active = view.active;
    Span steady = now.since(watch.since);
    if (active.used().below(active.raised())) {
      String wait = "level " + active.raised() + " is raised and not used yet";
      if (!watch.announced.keySet().containsAll(view.configured)) {
        return new Decision.Hold(wait + ": " + behind(view, known, active.raised()));
      }
      if (!steady.longerThan(rules.lease.certainlyElsewhere())) {
        return new Decision.Hold(view.unwell == null ? wait : wait + ": " + view.unwell);
      }
      return write(active, active.raised(), active.raised(), watch);
    }
    Level all = known.values().stream().min(Level::compareTo).orElse(Level.FIRST);
    Level most = known.values().stream().max(Level::compareTo).orElse(Level.FIRST);
    if (!active.raised().below(all)) {
      return new Decision.Hold(
          active.raised().below(most)
              ? "level " + most + " waits: " + behind(view, known, most)
              : "");
    }
    if (view.untouched) {
      return write(active, all, all, watch);
    }
    if (view.unwell != null) {
      return new Decision.Hold("level " + all + " waits: " + view.unwell);
    }
    if (steady.compareTo(rules.settle) < 0) {
      return new Decision.Hold("level " + all + " waits until all have had it for long enough");
    }
    // Where all announce themselves before they act, one step is enough.
    boolean oneStep = !active.used().below(Level.ANNOUNCED);
    return write(active, all, oneStep ? all : active.used(), watch);
  }

  private static Decision write(Active active, Level raised, Level used, Watch watch) {
    Active next = new Active(raised, used, active.whole(), active.version());
    return new Decision.Write(next, watch.announced);
  }

  /** Who keeps the others from a level. */
  private static String behind(View view, Map<String, Level> known, Level level) {
    Set<String> silent = new TreeSet<>(view.configured);
    view.announced.forEach(a -> silent.remove(a.host()));
    List<String> out = new ArrayList<>();
    known.forEach(
        (host, to) -> {
          if (silent.contains(host)) {
            out.add(host + " has announced nothing");
          } else if (to.below(level)) {
            out.add(host + " knows levels up to " + to);
          }
        });
    return String.join(", ", out);
  }
}
