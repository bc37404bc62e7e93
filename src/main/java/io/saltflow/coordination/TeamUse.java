package io.saltflow.coordination;

import io.saltflow.protocol.Size;
import io.saltflow.shares.Party;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What each team's tasks use of its limit, kept up to date as tasks come and go: summed over the
 * fleet at each launch it would cost the more the larger the fleet is.
 */
final class TeamUse {
  private final Map<String, Policy.Team> teams;
  private final Holdings present = new Holdings();
  private final Holdings given = new Holdings();
  private Size unknown = Size.ZERO;
  private List<Leader.Demand> messages = List.of();

  /** Beyond any limit: what a limit of 0 stands for. */
  private static final double UNLIMITED = 1e9;

  /** A reservation within each team's limit. */
  private final Map<String, LimitHold> held = new HashMap<>();

  TeamUse(Map<String, Policy.Team> teams) {
    this.teams = teams;
  }

  /** A task of the job is, or might be, on a machine. */
  void present(Job job) {
    present.add(job);
  }

  void gone(Job job) {
    present.take(job);
  }

  /** A round gave a task of the job to a machine that has not been told yet. */
  void given(Job job) {
    given.add(job);
    LimitHold hold = held.get(job.spec.team());
    if (hold != null) {
      hold.given(job);
    }
  }

  void takenBack(Job job) {
    given.take(job);
  }

  /** All of every machine that might hold tasks of a former leader counts against every team. */
  void unknown(Size most) {
    unknown = most;
  }

  /** What consumers of the queues have, and could take, of the teams' limits. */
  void messages(List<Leader.Demand> demands) {
    messages = demands;
  }

  /** What a native job leaves to messages: what they hold, and what those before it wait for. */
  private Size messagesBefore(Job job) {
    Size sum = Size.ZERO;
    for (Leader.Demand d : messages) {
      if (d.team().equals(job.spec.team())) {
        boolean first =
            d.priority().above(job.queuedAs())
                || (d.priority() == job.queuedAs() && d.arrivedWallMs() < job.countsFromMs);
        sum = sum.plus(first ? d.held().plus(d.wanted()) : d.held());
      }
    }
    return sum;
  }

  boolean limited(String name) {
    Policy.Team team = teams.get(name);
    return team != null && (team.coresLimit() > 0 || team.gpusLimit() > 0);
  }

  /** Whether a message of that size may go out, after native work of that size. */
  boolean mayDeliver(String team, Size size, Size nativeBefore) {
    Size used = most(team).plus(nativeBefore);
    for (Leader.Demand d : messages) {
      used = d.team().equals(team) ? used.plus(d.held()) : used;
    }
    return within(team, used.plus(size));
  }

  /** The most that the team may be using, with what has been given out. */
  Size most(String team) {
    return launched(team).plus(given.of(Party.ofTeam(team)));
  }

  private Size launched(String team) {
    return present.of(Party.ofTeam(team)).plus(unknown);
  }

  /** What the tasks of a class or team are known to take, with what has been given out. */
  Size known(Party party) {
    return present.of(party).plus(given.of(party));
  }

  /** Whether something is reserved within the team's limit. */
  boolean holds(String team) {
    return held.containsKey(team);
  }

  /** Until {@link #holdNothing} the team's others leave that room within the limit. */
  void hold(String team, LimitHold hold) {
    held.putIfAbsent(team, hold);
  }

  void holdNothing() {
    held.clear();
  }

  private Size heldFrom(Job job) {
    LimitHold hold = held.get(job.spec.team());
    return hold == null ? Size.ZERO : hold.keptFrom(job);
  }

  /** What the team's limit has left for a task of the job, with what has been given out. */
  Size left(Job job) {
    Policy.Team team = teams.get(job.spec.team());
    if (team == null) {
      return Size.ZERO;
    }
    Size limit =
        new Size(
            team.coresLimit() > 0 ? team.coresLimit() : UNLIMITED,
            team.gpusLimit() > 0 ? team.gpusLimit() : UNLIMITED,
            UNLIMITED);
    return limit.minus(most(job.spec.team())).minus(messagesBefore(job));
  }

  /** Whether one more task may be given out. */
  boolean mayGive(Job job) {
    return within(job, most(job.spec.team()).plus(heldFrom(job)));
  }

  /** Whether one more task may be launched, whatever else has been given out. */
  boolean mayLaunch(Job job) {
    return within(job, launched(job.spec.team()));
  }

  private boolean within(Job job, Size used) {
    Size after = used.plus(job.spec.size());
    return within(job.spec.team(), messages.isEmpty() ? after : after.plus(messagesBefore(job)));
  }

  private boolean within(String name, Size used) {
    Policy.Team team = teams.get(name);
    return team != null
        && (team.coresLimit() <= 0 || used.cores() <= team.coresLimit() + 1e-6)
        && (team.gpusLimit() <= 0 || used.gpus() <= team.gpusLimit() + 1e-6);
  }

  /** How many more of the job's tasks the team's limit lets run. */
  int mayStillGive(Job job) {
    Policy.Team team = teams.get(job.spec.team());
    if (team == null || team.coresLimit() <= 0 || job.spec.size().cores() <= 0) {
      return Integer.MAX_VALUE;
    }
    double used = most(job.spec.team()).plus(messagesBefore(job)).plus(heldFrom(job)).cores();
    double left = team.coresLimit() - used + 1e-6;
    return (int) Math.max(0, Math.floor(left / job.spec.size().cores()));
  }
}
