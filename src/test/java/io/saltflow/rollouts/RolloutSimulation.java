package io.saltflow.rollouts;

import io.saltflow.healthgates.Gate;
import io.saltflow.healthgates.GateEvaluator;
import io.saltflow.healthgates.GateException;
import io.saltflow.healthgates.ReplicaObservations;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Seeded simulation of one rollout of a healthy or broken build, in steps of a second, while probes
 * are lost and machines are drained.
 */
final class RolloutSimulation {
  /** The behaviour of the new build. */
  enum Build {
    HEALTHY,
    /** Replicas exit some seconds after they start. */
    CRASHES,
    /** Replicas answer ten times more slowly. */
    SLOW,
    /** Replicas exit after 25 to 35 s, about when a gate passes. */
    CRASHES_LATE,
    /** Replicas exit in one zone of three. */
    ONE_ZONE,
    /** Replicas fail once more than half of them are new. */
    FAILS_AT_SCALE,
    /** Replicas alternate between healthy and slow. */
    FLAPPING
  }

  /** How the build is rolled out. */
  enum Strategy {
    GATED,
    FIXED_DELAY,
    ALL_AT_ONCE
  }

  /** An additional fault during the rollout. */
  enum Fault {
    NONE,
    /** The key-value store is down for a minute during a step and for another at a rollback. */
    STORE_OUTAGE,
    /** A failover every 45 s; the new leader has only the record. */
    FAILOVERS,
    /** Half of all probes are lost. */
    PROBE_LOSS,
    /** A zone is partitioned for a while: its replicas serve but the leader cannot reach them. */
    ZONE_PARTITION,
    /** Other jobs use up the team's limit, so that no surge replica starts. */
    NO_SURGE_CAPACITY
  }

  static final int REPLICAS = 20;
  private static final int SECONDS = 2400;
  private static final int BOOT_S = 8;
  private static final int PROBE_EVERY_S = 5;
  private static final int FIXED_DELAY_S = 60;
  private static final int SETTLE_S = 20;
  private static final int ZONES = 3;
  private static final int FLOOR = REPLICAS - 1;
  private static final double LOST_PROBES = 0.05;

  private static final class Replica {
    final boolean fresh;
    final int zone;
    int readyAt;
    int diesAt;

    /** Whether its build does not limit its lifetime. */
    boolean healthyBuild;

    Replica(boolean fresh, int zone) {
      this.fresh = fresh;
      this.zone = zone;
    }
  }

  private final SplittableRandom random;
  private final Build build;
  private final List<Replica> replicas = new ArrayList<>();
  private final List<Integer> lossTimes = new ArrayList<>();
  private Rollout rollout = Rollout.begin(REPLICAS, 0);
  private int now;

  /** Seconds in which a replica was broken or missing, summed over replicas. */
  long unhealthyReplicaSeconds;

  /** Seconds below the plan's minimum of ready replicas, not counting recently lost machines. */
  int secondsBelowFloor;

  private final Fault fault;
  private ReplicaObservations observations = new ReplicaObservations();
  private int rollbackStartedAt;

  RolloutSimulation(long seed, Build build) {
    this(seed, build, Fault.NONE);
  }

  RolloutSimulation(long seed, Build build, Fault trouble) {
    random = new SplittableRandom(seed);
    this.build = build;
    this.fault = trouble;
    for (int i = 0; i < REPLICAS; i++) {
      Replica replica = new Replica(false, i % ZONES);
      replica.diesAt = Integer.MAX_VALUE;
      replicas.add(replica);
    }
  }

  static RolloutPlan plan() throws GateException {
    return new RolloutPlan(
        List.of(
            new RolloutPlan.Step(1, false, false),
            new RolloutPlan.Step(20, true, false),
            new RolloutPlan.Step(50, true, false),
            new RolloutPlan.Step(100, true, false)),
        2,
        1,
        RolloutPlan.Pace.withoutRateLimit(4),
        false,
        TimeSpan.seconds(SETTLE_S),
        TimeSpan.seconds(240),
        TimeSpan.seconds(600),
        Gate.parse(
            "ready >= 95% for 40s recovers for 60s and failures(2m) < 2"
                + " and probe(\"/\").p90 < 200ms for 20s and probe(\"/\").count >= 3"),
        Gate.parse("failures(2m) >= 3 or probe(\"/\").p50 > 1s for 30s"),
        MaintenanceWindows.ALWAYS);
  }

  Rollout rollout() {
    return rollout;
  }

  void run(Strategy strategy) throws GateException {
    RolloutPlan plan = plan();
    RolloutStateMachine machine = new RolloutStateMachine(plan);
    GateEvaluator gate = new GateEvaluator(plan.gate(), TimeSpan.seconds(60));
    GateEvaluator stop = new GateEvaluator(plan.stop(), TimeSpan.seconds(3600));
    int stepOf = 0;
    for (now = 1; now <= SECONDS; now++) {
      stepReplicas();
      adjustReplicas(true, rollout.desiredNew());
      adjustReplicas(false, rollout.desiredOld());
      measureAvailability();
      if (now % PROBE_EVERY_S != 0) {
        continue;
      }
      observe();
      if (strategy != Strategy.GATED) {
        runUngated(strategy);
      } else if (!rollout.phase().isFinal()) {
        if (fault == Fault.FAILOVERS && now % 45 == 0) {
          gate = new GateEvaluator(plan.gate(), TimeSpan.seconds(60));
          stop = new GateEvaluator(plan.stop(), TimeSpan.seconds(3600));
          observations = new ReplicaObservations();
        }
        Rollout next = machine.next(rollout, seen(gate, stop));
        if (storeUnavailable(next)) {
          // A state that cannot be recorded does not take effect.
          continue;
        }
        if (next.step() != stepOf) {
          // Each step is evaluated afresh.
          stepOf = next.step();
          gate = new GateEvaluator(plan.gate(), TimeSpan.seconds(60));
        }
        rollout = next;
      }
    }
  }

  private boolean storeUnavailable(Rollout next) {
    if (fault != Fault.STORE_OUTAGE) {
      return false;
    }
    if (next.phase() == Rollout.Phase.BACK && rollbackStartedAt == 0) {
      rollbackStartedAt = now;
    }
    return (now >= 100 && now < 160) || (rollbackStartedAt > 0 && now < rollbackStartedAt + 60);
  }

  private boolean partitioned(Replica replica) {
    return fault == Fault.ZONE_PARTITION && replica.zone == 1 && now >= 150 && now < 240;
  }

  private int unreachable(boolean fresh) {
    return (int) replicas.stream().filter(r -> r.fresh == fresh && partitioned(r)).count();
  }

  private int seenReady(boolean fresh, int then) {
    return (int)
        replicas.stream()
            .filter(r -> r.fresh == fresh && r.readyAt <= then && !partitioned(r))
            .count();
  }

  private ReplicaStatus seen(GateEvaluator gate, GateEvaluator stop) {
    MonotonicTime at = time();
    return new ReplicaStatus(
        seenReady(false, now - SETTLE_S),
        unreachable(false),
        seenReady(true, now - SETTLE_S),
        unreachable(true),
        gate.evaluate(observations, at),
        stop.evaluate(observations, at),
        null,
        now * 1000L);
  }

  private MonotonicTime time() {
    return new MonotonicTime(now * 1000L);
  }

  /** Moves by fixed delays, or as fast as replicas start. */
  private void runUngated(Strategy strategy) {
    int target = REPLICAS;
    if (strategy == Strategy.FIXED_DELAY) {
      int[] steps = {1, REPLICAS / 5, REPLICAS / 2, REPLICAS};
      target = steps[Math.min(steps.length - 1, now / FIXED_DELAY_S)];
    }
    rollout = rollout.withDesired(REPLICAS - target, target);
    if (target == REPLICAS && ready(true) == REPLICAS) {
      rollout = rollout.phase(Rollout.Phase.DONE, 0, now * 1000L);
    }
  }

  private int ready(boolean fresh) {
    return readySince(fresh, now);
  }

  private int readySince(boolean fresh, int then) {
    return (int) replicas.stream().filter(r -> r.fresh == fresh && r.readyAt <= then).count();
  }

  /** Removes replicas that exit, and drains a random machine now and then. */
  private void stepReplicas() {
    for (Replica replica : List.copyOf(replicas)) {
      if (replica.diesAt <= now) {
        replicas.remove(replica);
        if (replica.healthyBuild) {
          lossTimes.add(now);
        }
        if (replica.fresh) {
          observations.recordExit("error", true, time());
        }
      }
    }
    if (random.nextInt(1200) == 0 && !replicas.isEmpty()) {
      // A drain does not count as a failure of the build.
      replicas.remove(random.nextInt(replicas.size()));
      lossTimes.add(now);
    }
  }

  private void adjustReplicas(boolean fresh, int wanted) {
    List<Replica> mine = new ArrayList<>(replicas.stream().filter(r -> r.fresh == fresh).toList());
    for (int n = mine.size(); n < wanted; n++) {
      if (fault == Fault.NO_SURGE_CAPACITY && replicas.size() >= REPLICAS) {
        break;
      }
      Replica replica = new Replica(fresh, leastLoadedZone(fresh));
      replica.readyAt = now + BOOT_S;
      replica.diesAt = now + BOOT_S + lifetime(replica);
      replicas.add(replica);
    }
    // Remove the most recently started replicas first.
    mine.sort((a, b) -> b.readyAt - a.readyAt);
    for (int i = 0; i < mine.size() - wanted; i++) {
      replicas.remove(mine.get(i));
    }
  }

  /** Returns the zone with the fewest replicas of the version. */
  private int leastLoadedZone(boolean fresh) {
    int[] count = new int[ZONES];
    replicas.stream().filter(r -> r.fresh == fresh).forEach(r -> count[r.zone]++);
    int zone = 0;
    for (int z = 1; z < ZONES; z++) {
      zone = count[z] < count[zone] ? z : zone;
    }
    return zone;
  }

  private int recentlyLost() {
    lossTimes.removeIf(at -> now - at > BOOT_S + PROBE_EVERY_S + 1);
    return lossTimes.size();
  }

  private int lifetime(Replica replica) {
    int normalLifetime = 5_000 + random.nextInt(50_000);
    int life = replica.fresh ? lifetime(replica, normalLifetime) : normalLifetime;
    replica.healthyBuild = life == normalLifetime;
    return life;
  }

  private int lifetime(Replica replica, int normalLifetime) {
    return switch (build) {
      case CRASHES -> 3 + random.nextInt(10);
      case CRASHES_LATE -> 25 + random.nextInt(10);
      case ONE_ZONE -> replica.zone == 0 ? 10 + random.nextInt(10) : normalLifetime;
      default -> normalLifetime;
    };
  }

  private boolean broken(Replica replica) {
    if (!replica.fresh) {
      return false;
    }
    return switch (build) {
      case HEALTHY, CRASHES, CRASHES_LATE, ONE_ZONE -> false;
      case SLOW -> true;
      case FAILS_AT_SCALE -> rollout.desiredNew() > REPLICAS / 2;
      case FLAPPING -> now / 20 % 2 == 0;
    };
  }

  private void measureAvailability() {
    int well = 0;
    for (Replica replica : replicas) {
      if (replica.readyAt <= now && !broken(replica)) {
        well++;
      }
    }
    unhealthyReplicaSeconds += Math.max(0, REPLICAS - well);
    secondsBelowFloor += ready(true) + ready(false) < FLOOR - recentlyLost() ? 1 : 0;
  }

  private void observe() {
    observations.ready(seenReady(true, now), rollout.desiredNew(), time());
    for (Replica replica : replicas) {
      double lost = fault == Fault.PROBE_LOSS ? 0.5 : LOST_PROBES;
      if (replica.fresh
          && replica.readyAt <= now
          && !partitioned(replica)
          && random.nextDouble() >= lost) {
        long ms = 20L + random.nextInt(60);
        observations.recordProbe("/", broken(replica) ? ms * 10 + 300 : ms, time());
      }
    }
    observations.dropExpired(time());
  }

  /** Returns whether the rollout completed. */
  boolean newVersionServes() {
    return rollout.phase() == Rollout.Phase.DONE;
  }
}
