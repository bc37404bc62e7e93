package io.saltflow.coordination;

import io.saltflow.protocol.Size;
import io.saltflow.protocol.Time;
import io.saltflow.shares.Ask;
import io.saltflow.shares.Party;
import io.saltflow.shares.Plan;
import io.saltflow.shares.Rules;
import io.saltflow.shares.Standing;
import io.saltflow.shares.Turn;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The least parts of classes and teams, over jobs and machines: who takes a turn before the queue's
 * order is asked, and what may not be stopped for more urgent work. Our extension: the paper's one
 * head is one job of tens of tasks among a thousand machines, and a stream of narrow tasks behind
 * it filled all that became free elsewhere, so that wide work of low priority was never served.
 */
final class LeastParts {
  /**
   * What stops for the sake of other work may cost a job, in parts of its whole work: beyond that
   * it is no longer stopped.
   */
  private static final double MOST_WASTE = 0.5;

  private final Rules rules;
  private final Estimates estimates;
  private final TeamUse use;
  private Plan plan = Plan.NONE;
  private Size fleet = Size.ZERO;

  /** What is under way to be stopped: held still, and soon no longer. */
  private final Map<Party, Size> stopping = new HashMap<>();

  LeastParts(Policy policy, Estimates estimates, TeamUse use) {
    this.rules = policy.shares();
    this.estimates = estimates;
    this.use = use;
  }

  private record Kind(String type, String zone, boolean spot, Size size) {}

  /**
   * Looks at who asks for what.
   *
   * @param startable of these jobs tasks may be started now
   */
  void look(Collection<Job> jobs, Set<Job> startable, List<Machine> usable, Time now) {
    fleet = Size.ZERO;
    stopping.clear();
    Map<Kind, Integer> kinds = new HashMap<>();
    for (Machine m : usable) {
      fleet = fleet.plus(m.type.size());
      kinds.merge(new Kind(m.typeName, m.zone, m.spot, m.type.size()), 1, Integer::sum);
      for (Presence p : m.presences.values()) {
        if (p.stopping) {
          stopped(p);
        }
      }
    }
    if (rules.leastPart() <= 0 || usable.isEmpty()) {
      plan = Plan.NONE;
      return;
    }
    List<Ask> asks = new ArrayList<>();
    for (Job job : jobs) {
      add(asks, job, startable.contains(job), kinds, now);
    }
    plan = Plan.of(asks, rules);
  }

  private void add(List<Ask> asks, Job job, boolean startable, Map<Kind, Integer> kinds, Time now) {
    // Replicas are placed by their own rules, and what fails everywhere serves nobody.
    if (job.service() || job.cancelled || job.finishing || job.failsEverywhere()) {
      return;
    }
    double each = part(job.spec.size());
    int held = job.heldCount();
    int pending = 0;
    if (startable && each > 0) {
      int most = (int) Math.min(use.mayStillGive(job), Math.ceil(1 / each));
      pending = job.startRecorded ? job.countPending(0, most, now) : 0;
    }
    if (pending == 0 && held == 0) {
      return;
    }
    double runS = estimates.predict(job, 0).toSeconds();
    double left = each * (job.pendingCount() + held / 2.0) * runS;
    asks.add(
        new Ask(
            job.id(),
            job.jobClass,
            job.team,
            job.priority(),
            each,
            pending,
            held,
            pending == 0 ? 0 : fits(job, kinds),
            left,
            job.countsFromMs,
            now.since(job.arrivedAt)));
  }

  /** The part of the fleet that a job's tasks may be on. */
  private double fits(Job job, Map<Kind, Integer> kinds) {
    Size sum = Size.ZERO;
    for (Map.Entry<Kind, Integer> e : kinds.entrySet()) {
      Kind k = e.getKey();
      if (job.spec.allows(k.type, k.zone, k.spot) && job.spec.size().fitsIn(k.size)) {
        sum = sum.plus(k.size.times(e.getValue()));
      }
    }
    return part(sum);
  }

  /** What part of the fleet that is, by the resource of which it takes most. */
  double part(Size size) {
    return Math.max(
        of(size.cores(), fleet.cores()),
        Math.max(of(size.gpus(), fleet.gpus()), of(size.memoryGb(), fleet.memoryGb())));
  }

  private static double of(double some, double all) {
    return all <= 0 ? 0 : Math.min(1, some / all);
  }

  /** Classes that are short: of these the jobs that can end soonest come first. */
  Set<String> shortClasses() {
    Set<String> out = new TreeSet<>();
    plan.standings().keySet().stream()
        .filter(p -> p.kind() == Party.Kind.CLASS && plan.isShort(p))
        .forEach(p -> out.add(p.name()));
    return out;
  }

  /** Whose turns come before those of the queue. */
  List<Turn> turns() {
    return plan.turns();
  }

  Map<Party, Standing> standings() {
    return plan.standings();
  }

  double held(Party party) {
    return part(use.known(party));
  }

  /** Whether the party has waited for long and still holds less than its least part. */
  boolean owed(Party party) {
    return plan.owed(party, held(party));
  }

  /** How many tasks of a job the party is owed beside what is to be reserved already. */
  int owedTasks(Party party, Collection<HeadReservation.Need> before, Job job) {
    double owed = plan.standings().get(party).least() - held(party);
    for (HeadReservation.Need n : before) {
      if (n.job.jobClass.equals(party) || n.job.team.equals(party)) {
        owed -= n.tasks * part(n.job.spec.size());
      }
    }
    return (int) Math.max(0, Math.ceil(owed / part(job.spec.size())));
  }

  /** Whether one more task leaves the job's class and team within an even share. */
  boolean belowEven(Job job) {
    double each = part(job.spec.size());
    return plan.belowEven(job.jobClass, held(job.jobClass), each)
        && plan.belowEven(job.team, held(job.team), each);
  }

  /** A task is told to stop. */
  void stopped(Presence p) {
    stopping.merge(p.job.jobClass, p.job.spec.size(), Size::plus);
    stopping.merge(p.job.team, p.job.spec.size(), Size::plus);
  }

  /**
   * Whether a task may be stopped for more urgent work beside those chosen before it: its class and
   * its team keep their least part, and it has not been stopped too often.
   */
  boolean spares(Presence p, List<Presence> chosen) {
    double wholeS = p.job.spec.tasks() * estimates.predict(p.job, p.index).toSeconds();
    return p.job.lostToOthersS <= MOST_WASTE * wholeS
        && keeps(p.job.jobClass, p, chosen)
        && keeps(p.job.team, p, chosen);
  }

  private boolean keeps(Party party, Presence p, List<Presence> chosen) {
    Standing s = plan.standings().get(party);
    if (s == null || !s.waits()) {
      return true;
    }
    Size left = use.known(party).minus(stopping.getOrDefault(party, Size.ZERO));
    left = left.minus(p.job.spec.size());
    for (Presence c : chosen) {
      if (c.job.jobClass.equals(party) || c.job.team.equals(party)) {
        left = left.minus(c.job.spec.size());
      }
    }
    return part(left) >= s.least();
  }
}
