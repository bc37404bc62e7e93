package io.saltflow.coordination;

import io.saltflow.deadlines.Member;
import io.saltflow.deadlines.Morning;
import io.saltflow.deadlines.Pushing;
import io.saltflow.deadlines.Rule;
import io.saltflow.deadlines.Supply;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The mornings of the queues that operators have set up, under this leader: what belongs to them,
 * what is forecast, what is pushed. Jobs are pushed only as it is recorded.
 */
final class Mornings {
  private static final Logger LOG = LoggerFactory.getLogger(Mornings.class);
  private static final Span LOOK = Span.seconds(1);

  /** So far apart are two writes, over all queues: at most a fifth of a change a second. */
  private static final Span WRITE = Span.seconds(5);

  private static final int KEPT = 30;

  private final List<Rule> rules;
  private final Estimates estimates;
  private final TeamUse use;
  private final Map<String, Policy.Team> teams;

  /** By queue: as it is looked at, and as it is recorded. */
  private final Map<String, Morning> open = new LinkedHashMap<>();

  private final Map<String, Morning> recorded = new HashMap<>();

  /** All that are recorded, by name, the oldest first. */
  private final Map<String, Set<String>> names = new HashMap<>();

  private final List<Morning> ended = new ArrayList<>();
  private final List<String> toForget = new ArrayList<>();
  private final Map<String, Integer> ready = new HashMap<>();
  private final Map<JobId, Integer> pushed = new HashMap<>();

  private Time lastLook = Time.LONG_AGO;
  private Time lastWrite = Time.LONG_AGO;
  private boolean writing;

  Mornings(List<Rule> rules, Estimates estimates, TeamUse use, Map<String, Policy.Team> teams) {
    this.rules = rules;
    this.estimates = estimates;
    this.use = use;
    this.teams = teams;
  }

  /**
   * What ended after the last write of a leader that is gone, by what it had counted as waiting.
   */
  private int endedSince(Morning m, Collection<Job> jobs) {
    int still = 0;
    for (Rule r : rules) {
      for (Job job : r.queue().equals(m.queue()) ? jobs : List.<Job>of()) {
        still += belongs(r, job, m) && job.place().revision() <= m.seen() ? 1 : 0;
      }
    }
    return Math.max(0, m.waiting() - still);
  }

  /**
   * What former leaders recorded.
   *
   * @param jobs that are live
   */
  void inherit(Collection<Morning> mornings, Collection<Job> jobs) {
    for (Morning m : mornings) {
      names.computeIfAbsent(m.queue(), q -> new TreeSet<>()).add(m.name());
      if (m.ended() == null) {
        open.put(m.queue(), m);
        recorded.put(m.queue(), m);
        ready.put(m.queue(), m.ready() + endedSince(m, jobs));
      }
    }
    rank();
  }

  /** In which order recorded mornings push jobs. */
  private void rank() {
    pushed.clear();
    for (Morning m : new TreeMap<>(recorded).values()) {
      if (m.ended() == null) {
        m.push().forEach(id -> pushed.putIfAbsent(id, pushed.size()));
      }
    }
  }

  /** Its number among those that are pushed; as large as can be: it is not. */
  int rank(Job job) {
    return pushed.isEmpty() ? Integer.MAX_VALUE : pushed.getOrDefault(job.id(), Integer.MAX_VALUE);
  }

  /** The instant by which a pushed job is to be ready, by the wall; 0: it is not pushed. */
  long dueMs(Job job) {
    if (!pushed.containsKey(job.id())) {
      return 0;
    }
    for (Morning m : recorded.values()) {
      if (m.ended() == null && m.push().contains(job.id())) {
        return m.dueMs();
      }
    }
    return 0;
  }

  /** A job has ended with all its tasks done. */
  void done(Job job) {
    for (Rule r : rules) {
      if (open.containsKey(r.queue()) && r.has(job.spec.jobClass(), job.spec.team())) {
        ready.merge(r.queue(), 1, Integer::sum);
      }
    }
  }

  /**
   * Looks at each queue, once a second at the most.
   *
   * @param order the jobs that wait, in order
   * @param fleet what the usable machines have
   * @param wallMs the time of day, as far as it is believed
   */
  void look(
      Collection<Job> jobs,
      List<Scheduler.Waiting> order,
      Size fleet,
      boolean accounted,
      long wallMs,
      Time now) {
    if (rules.isEmpty() || !accounted || LOOK.longerThan(now.since(lastLook))) {
      return;
    }
    lastLook = now;
    double workOfAll = 0;
    for (Job job : jobs) {
      workOfAll += leftCoreS(job, now);
    }
    for (Rule rule : rules) {
      Morning m = open.get(rule.queue());
      if (m != null && wallMs >= m.dueMs()) {
        end(rule, m, jobs, wallMs);
        m = null;
      }
      if (m == null) {
        m = rule.openAt(wallMs);
        if (m == null) {
          continue;
        }
        if (names.getOrDefault(rule.queue(), Set.of()).contains(m.name())) {
          // It ended for good already; a clock that steps back opens nothing again.
          continue;
        }
        ready.put(rule.queue(), 0);
        LOG.info("queue {}: the morning of {} is open", m.queue(), m.day());
      }
      open.put(rule.queue(), look(rule, m, jobs, order, fleet, workOfAll, wallMs, now));
    }
  }

  private Morning look(
      Rule rule,
      Morning before,
      Collection<Job> jobs,
      List<Scheduler.Waiting> order,
      Size fleet,
      double workOfAll,
      long wallMs,
      Time now) {
    Map<JobId, Member> members = new LinkedHashMap<>();
    double work = 0;
    double held = 0;
    long seen = before.seen();
    Set<String> teamsOfIt = new TreeSet<>();
    // Those of which nothing waits are being worked on already: they are first.
    Set<JobId> waits = new java.util.HashSet<>();
    order.forEach(w -> waits.add(w.job().id()));
    for (Job job : jobs) {
      if (belongs(rule, job, before) && !waits.contains(job.id())) {
        members.put(job.id(), member(job, now));
      }
    }
    for (Scheduler.Waiting w : order) {
      if (belongs(rule, w.job(), before)) {
        members.put(w.job().id(), member(w.job(), now));
      }
    }
    for (Job job : jobs) {
      if (members.containsKey(job.id())) {
        work += members.get(job.id()).leftCoreS();
        held += job.heldCount() * job.spec.size().cores();
        teamsOfIt.add(job.spec.team());
        seen = Math.max(seen, job.place().revision());
      }
    }
    double even = workOfAll <= 0 ? fleet.cores() : fleet.cores() * work / workOfAll;
    double most = Math.min(fleet.cores(), limits(teamsOfIt));
    Supply supply = new Supply(Math.min(most, Math.max(held, even)), most);
    int done = ready.getOrDefault(rule.queue(), 0);
    Morning m = Pushing.look(before, List.copyOf(members.values()), done, seen, supply, wallMs);
    if (m.badSinceMs() > 0 && before.badSinceMs() == 0) {
      LOG.info(
          "queue {}: {} of {} will be ready in time by forecast, {} are pushed",
          m.queue(),
          m.inTime(),
          m.ready() + m.waiting(),
          m.push().size());
    } else if (m.badSinceMs() == 0 && before.badSinceMs() > 0) {
      LOG.info("queue {}: enough will be ready in time by forecast", m.queue());
    }
    return m;
  }

  private double limits(Set<String> names) {
    double sum = 0;
    for (String name : names) {
      Policy.Team t = teams.get(name);
      sum += t == null || t.coresLimit() <= 0 ? Double.MAX_VALUE / 64 : t.coresLimit();
    }
    return names.isEmpty() ? Double.MAX_VALUE / 64 : sum;
  }

  private static boolean belongs(Rule rule, Job job, Morning m) {
    return !job.spec.daemon()
        && !job.cancelled
        && !job.finishing
        && job.countsFromMs < m.dueMs()
        && rule.has(job.spec.jobClass(), job.spec.team());
  }

  private double leftCoreS(Job job, Time now) {
    if (job.spec.daemon() || job.cancelled) {
      return 0;
    }
    double runS = estimates.predict(job, 0).toSeconds();
    double s = job.pendingCount() * runS;
    for (Presence p : job.present.values()) {
      s += Math.max(0, estimates.end(p, now).since(now).toSeconds());
    }
    return s * job.spec.size().cores();
  }

  private Member member(Job job, Time now) {
    double longestS = job.pendingCount() > 0 ? estimates.predict(job, 0).toSeconds() : 0;
    boolean taken = false;
    for (Presence p : job.present.values()) {
      longestS = Math.max(longestS, estimates.end(p, now).since(now).toSeconds());
      taken |= p.machine.noticeAt != null;
    }
    String why = "it runs";
    if (job.failsEverywhere()) {
      why = "it fails wherever it is started";
    } else if (taken) {
      why = "its machines are being taken back";
    } else if (job.pendingCount() > 0) {
      why = use.mayGive(job) ? "it waits for machines" : "its team's limit is in use";
    }
    return new Member(job.id(), leftCoreS(job, now), longestS, job.failsEverywhere(), why);
  }

  private void end(Rule rule, Morning m, Collection<Job> jobs, long wallMs) {
    int missing = 0;
    for (Job job : jobs) {
      missing += belongs(rule, job, m) ? 1 : 0;
    }
    int done = ready.getOrDefault(rule.queue(), 0);
    boolean enough = done >= m.share() * (done + missing) - 1e-9;
    Morning over =
        new Morning(
                m.queue(),
                m.day(),
                m.openedMs(),
                m.dueMs(),
                m.share(),
                done,
                missing,
                done,
                m.seen(),
                m.badSinceMs(),
                List.of(),
                m.late(),
                null)
            .ended(new Morning.Ended(missing, enough, wallMs));
    LOG.info(
        "queue {}: the morning of {} is {}, {} of {} jobs were ready",
        m.queue(),
        m.day(),
        enough ? "ready" : "missed",
        done,
        done + missing);
    open.remove(rule.queue());
    recorded.remove(rule.queue());
    ended.add(over);
    Set<String> all = names.computeIfAbsent(rule.queue(), q -> new TreeSet<>());
    all.add(over.name());
    while (all.size() > KEPT) {
      String oldest = all.iterator().next();
      all.remove(oldest);
      toForget.add(oldest);
    }
    rank();
  }

  /** One record to write now, or null; {@link #written} tells what became of it. */
  Morning toRecord(Time now) {
    if (writing || WRITE.longerThan(now.since(lastWrite))) {
      return null;
    }
    Morning next = null;
    if (!ended.isEmpty()) {
      next = ended.get(0);
    } else {
      for (Morning m : open.values()) {
        Morning known = recorded.get(m.queue());
        if (known == null || differs(known, m)) {
          next = m;
          break;
        }
      }
    }
    if (next != null) {
      writing = true;
      lastWrite = now;
    }
    return next;
  }

  private static boolean differs(Morning a, Morning b) {
    return a.ready() != b.ready()
        || a.waiting() != b.waiting()
        || a.badSinceMs() != b.badSinceMs()
        || !a.push().equals(b.push());
  }

  void written(Morning m, boolean ok) {
    writing = false;
    if (!ok) {
      return;
    }
    if (m.ended() != null) {
      ended.remove(m);
    } else if (open.containsKey(m.queue()) && open.get(m.queue()).name().equals(m.name())) {
      recorded.put(m.queue(), m);
      rank();
    }
  }

  /** Names of records that are old enough to go. */
  List<String> takeToForget() {
    List<String> out = List.copyOf(toForget);
    toForget.clear();
    return out;
  }
}
