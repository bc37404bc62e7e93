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

  /** A job of each team for whose task the others of its team leave room within the limit. */
  private final Map<String, Job> held = new HashMap<>();

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

  /** Until {@link #holdNothing} what the team's others give back is left for one task of it. */
  void hold(Job job) {
    held.putIfAbsent(job.spec.team(), job);
  }

  void holdNothing() {
    held.clear();
  }

  private Size heldFrom(Job job) {
    Job first = held.get(job.spec.team());
    return first == null || first == job || !first.waitsForItsFirst()
        ? Size.ZERO
        : first.spec.size();
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
