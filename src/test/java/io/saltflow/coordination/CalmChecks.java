package io.saltflow.coordination;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.TaskId;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * What the operators ask for once all troubles are over: no job waits for 90 s while a machine that
 * fits has room and its team is under its limit, none is unknown to the leader for 75 s, half of
 * each class, of each team and of each class's largest jobs is served, and the largest begin within
 * four minutes.
 */
final class CalmChecks {
  private static final long WAITS = 90_000;
  private static final long UNKNOWN = 75_000;
  private static final long LARGEST_BEGIN = 240_000;

  /**
   * By then half of what came before the calm is to be done. The largest drawn jobs keep their
   * team's limit busy for about four minutes.
   */
  private static final long HALF_SERVED = 600_000;

  private final World world;
  private final Map<JobId, Long> waitsSince = new HashMap<>();
  private final Map<JobId, Long> unknownSince = new HashMap<>();
  private final Map<JobId, Integer> heldBefore = new HashMap<>();
  private long calmSince = -1;
  private boolean asked;
  private boolean halvesSeen;

  /** How long a job waited at most though there was room, in the calm. */
  long longestWait;

  /** And which one did. */
  JobId longestWaiter;

  CalmChecks(World world) {
    this.world = world;
  }

  /** Nothing new goes wrong any more. */
  void begin() {
    asked = true;
  }

  /** After each step. */
  void look() {
    if (!asked) {
      return;
    }
    if (calmSince < 0) {
      if (world.troubled()) {
        return;
      }
      calmSince = world.now;
      world.say("all troubles are over");
    }
    Map<String, Double> used = coresByTeam();
    for (World.JobRecord r : world.records.values()) {
      if (r.over || r.spec.jobClass().equals(World.BROKEN)) {
        waitsSince.remove(r.spec.id());
        unknownSince.remove(r.spec.id());
      } else {
        waits(r, used.getOrDefault(r.spec.team(), 0.0));
        unknown(r);
      }
    }
    largestBegin();
    if (!halvesSeen && world.now - calmSince >= HALF_SERVED) {
      halvesSeen = true;
      halves("class", r -> r.spec.jobClass(), false);
      halves("team", r -> r.spec.team(), false);
      halves("largest of", r -> r.spec.jobClass(), true);
    }
  }

  private Map<String, Double> coresByTeam() {
    Map<String, Double> used = new HashMap<>();
    for (World.Worker w : world.workers.values()) {
      for (TaskId id : w.tasks.keySet()) {
        if (w.holds(id)) {
          JobSpec spec = world.records.get(id.job()).spec;
          used.merge(spec.team(), spec.size().cores(), Double::sum);
        }
      }
    }
    return used;
  }

  private void waits(World.JobRecord r, double teamCores) {
    JobId id = r.spec.id();
    Map<String, Integer> byZone = new TreeMap<>();
    int held = 0;
    for (World.Worker w : world.workers.values()) {
      for (TaskId task : w.tasks.keySet()) {
        if (task.job().equals(id) && w.holds(task)) {
          held++;
          byZone.merge(w.zone, 1, Integer::sum);
        }
      }
    }
    int before = heldBefore.getOrDefault(id, 0);
    heldBefore.put(id, held);
    boolean pending = held + r.ran.cardinality() < r.spec.tasks();
    if (!pending || held > before || !room(r.spec, byZone, held, teamCores)) {
      waitsSince.remove(id);
      return;
    }
    long since = waitsSince.computeIfAbsent(id, j -> world.now);
    if (world.now - since > longestWait) {
      longestWait = world.now - since;
      longestWaiter = id;
    }
    if (world.now - since == WAITS) {
      world.broken.add("left_waiting: " + id + " since " + since);
    }
  }

  private boolean room(JobSpec spec, Map<String, Integer> byZone, int held, double teamCores) {
    double limit = world.policy.teams().get(spec.team()).coresLimit();
    if (limit > 0 && teamCores + spec.size().cores() > limit) {
      return false;
    }
    for (World.Worker w : world.workers.values()) {
      int here = byZone.getOrDefault(w.zone, 0);
      Size free = World.TYPE.size().minus(w.used());
      if (w.well()
          && spec.allows(World.TYPE.name(), w.zone, w.spot)
          && spec.size().fitsIn(free)
          && !(spec.oneZone() && held > here)
          && !(spec.spread() && here + 1 > spec.spreadLimit())) {
        return true;
      }
    }
    return false;
  }

  private void unknown(World.JobRecord r) {
    JobId id = r.spec.id();
    Leader core = world.lead == null ? null : world.lead.core;
    if (core != null && core.job(id) != null) {
      unknownSince.remove(id);
    } else if (world.now - unknownSince.computeIfAbsent(id, j -> world.now) == UNKNOWN) {
      world.broken.add("forgotten: " + id + " at " + world.now);
    }
  }

  private static double size(World.JobRecord r) {
    return r.spec.tasks() * r.spec.size().cores();
  }

  private Map<String, Double> largestByClass() {
    Map<String, Double> largest = new HashMap<>();
    for (World.JobRecord r : world.records.values()) {
      largest.merge(r.spec.jobClass(), size(r), Math::max);
    }
    return largest;
  }

  private void largestBegin() {
    Map<String, Double> largest = largestByClass();
    for (World.JobRecord r : world.records.values()) {
      long from = Math.max(calmSince, r.at);
      boolean isLargest = size(r) == largest.get(r.spec.jobClass());
      if (isLargest && !r.over && r.startedAt < 0 && world.now - from == LARGEST_BEGIN) {
        world.broken.add("largest_late: " + r.spec.id() + " at " + world.now);
      }
    }
  }

  private void halves(String of, Function<World.JobRecord, String> by, boolean largestOnly) {
    Map<String, Double> largest = largestByClass();
    Map<String, int[]> counts = new TreeMap<>();
    for (World.JobRecord r : world.records.values()) {
      boolean counted = !largestOnly || size(r) >= largest.get(r.spec.jobClass()) / 2;
      if (counted && r.cancelledAt < 0 && r.at < calmSince && !isBroken(r)) {
        int[] n = counts.computeIfAbsent(by.apply(r), k -> new int[2]);
        n[0]++;
        n[1] += r.overAt >= 0 ? 1 : 0;
      }
    }
    counts.forEach(
        (name, n) -> {
          if (n[1] * 2 < n[0]) {
            world.broken.add("half: " + n[1] + " of " + n[0] + " of " + of + " " + name);
          }
        });
  }

  private static boolean isBroken(World.JobRecord r) {
    return r.spec.jobClass().equals(World.BROKEN);
  }
}
