package io.saltflow.shares;

import io.saltflow.protocol.Span;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Who has which least part, and in which order the jobs of those that wait take their turns.
 *
 * @param standings of all that ask, classes and teams
 * @param turns those who have waited longest for what is theirs first; while a party holds less
 *     than its least part, its jobs go in this order before all that is not guaranteed
 */
public record Plan(Map<Party, Standing> standings, List<Turn> turns) {
  public static final Plan NONE = new Plan(Map.of(), List.of());

  /** Bounds a round's work; those behind take their turn when one before them has started. */
  private static final int MOST_TURNS = 128;

  /** Jobs that can end soon come first: each serves somebody. Urgent work of a team before that. */
  private static final Comparator<Ask> SOONEST =
      Comparator.comparing(Ask::priority, Comparator.reverseOrder())
          .thenComparingDouble(Ask::leftS)
          .thenComparing(Ask::id);

  private static final Comparator<Ask> OLDEST =
      Comparator.comparingLong(Ask::arrivedWallMs).thenComparing(Ask::id);

  /** The plan for what is asked for now. */
  public static Plan of(Collection<Ask> asks, Rules rules) {
    if (rules.leastPart() <= 0 || asks.isEmpty()) {
      return NONE;
    }
    Map<Party, List<Ask>> classes = new LinkedHashMap<>();
    Map<Party, List<Ask>> teams = new LinkedHashMap<>();
    for (Ask a : asks) {
      classes.computeIfAbsent(a.jobClass(), p -> new ArrayList<>()).add(a);
      teams.computeIfAbsent(a.team(), p -> new ArrayList<>()).add(a);
    }
    Map<Party, Standing> standings = new LinkedHashMap<>();
    standings(classes, rules, standings);
    standings(teams, rules, standings);
    Map<Party, List<Ask>> all = new LinkedHashMap<>(classes);
    all.putAll(teams);
    return new Plan(standings, turns(all, standings, rules));
  }

  private static void standings(
      Map<Party, List<Ask>> parties, Rules rules, Map<Party, Standing> out) {
    Map<Party, Double> wanted = new LinkedHashMap<>();
    parties.forEach(
        (p, asks) -> wanted.put(p, Math.min(1, asks.stream().mapToDouble(Ask::wanted).sum())));
    double level = level(wanted.values());
    parties.forEach(
        (p, asks) -> {
          double even = Math.min(wanted.get(p), level);
          double fits = 0;
          int jobs = 0;
          Span longest = new Span(0);
          for (Ask a : asks) {
            if (a.pending() > 0) {
              fits = Math.max(fits, a.fits());
              jobs += a.waits().compareTo(rules.after()) >= 0 ? 1 : 0;
              longest = a.waits().longerThan(longest) ? a.waits() : longest;
            }
          }
          double least = rules.leastPart() * Math.min(even, fits);
          out.put(p, new Standing(wanted.get(p), even, least, jobs, longest));
        });
  }

  /** What each may have at most so that all together have no more than the fleet. */
  private static double level(Collection<Double> wanted) {
    List<Double> byWant = wanted.stream().sorted().toList();
    double left = 1;
    for (int i = 0; i < byWant.size(); i++) {
      double even = left / (byWant.size() - i);
      if (byWant.get(i) >= even) {
        return even;
      }
      left -= byWant.get(i);
    }
    return 1;
  }

  private static List<Turn> turns(
      Map<Party, List<Ask>> parties, Map<Party, Standing> standings, Rules rules) {
    List<Party> waiting = new ArrayList<>();
    Map<Party, Double> had = new HashMap<>();
    parties.forEach(
        (p, asks) -> {
          Standing s = standings.get(p);
          if (s.waits() && s.least() > 0) {
            waiting.add(p);
            double held = asks.stream().mapToDouble(a -> a.each() * a.held()).sum();
            had.put(p, held / s.least());
          }
        });
    waiting.sort(Comparator.comparing((Party p) -> had.get(p)));
    List<Turn> out = new ArrayList<>();
    for (Party p : waiting) {
      turnsOf(p, parties.get(p), standings.get(p).least(), rules, out);
    }
    return out;
  }

  private static void turnsOf(
      Party party, List<Ask> asks, double least, Rules rules, List<Turn> out) {
    List<Ask> open = new ArrayList<>(asks);
    open.removeIf(a -> a.pending() <= 0 || a.each() <= 0);
    // Whatever arrives behind it, the oldest goes on: every job's turn comes.
    Ask oldest = open.stream().min(OLDEST).orElseThrow();
    int most = (int) Math.ceil(rules.oldestPart() * least / oldest.each()) - oldest.held();
    if (most > 0) {
      out.add(new Turn(oldest.id(), party, Math.min(most, oldest.pending())));
    }
    open.sort(SOONEST);
    double sum = 0;
    int turns = 0;
    for (Ask a : open) {
      if (sum >= least || turns++ >= MOST_TURNS) {
        break;
      }
      sum += a.each() * a.pending();
      out.add(new Turn(a.id(), party, a.pending()));
    }
  }

  /** Whether the party has waited for long and wants more than an even share. */
  public boolean isShort(Party party) {
    Standing s = standings.get(party);
    return s != null && s.waits() && s.wanted() > s.even();
  }

  /** Whether the party has waited for long and holds less than its least part. */
  public boolean owed(Party party, double held) {
    Standing s = standings.get(party);
    return s != null && s.waits() && held < s.least();
  }

  /** Whether the party holds less than an even share would be with one more of that size. */
  public boolean belowEven(Party party, double held, double each) {
    Standing s = standings.get(party);
    return s != null && held + each <= s.even() + 1e-9;
  }
}
