package io.saltflow.services;

import io.saltflow.cluster.DesiredReplicas;
import io.saltflow.model.Priority;
import io.saltflow.rollouts.Rollout;
import io.saltflow.rollouts.RolloutPlan;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The immutable record of a service: its replica template, its versions and its last rollout.
 *
 * @param serving the version that serves while no rollout is in progress
 * @param current the rollout in progress or the last one; {@code null} if there was none
 * @param history the outcomes of earlier rollouts, one sentence each, the latest last
 */
public record Service(
    String name,
    String team,
    Priority priority,
    int replicas,
    ReplicaTemplate template,
    List<Version> versions,
    int serving,
    RolloutRecord current,
    List<String> history) {

  private static final int MAX_VERSIONS = 20;
  private static final int MAX_HISTORY = 20;

  /**
   * A version of the service.
   *
   * @param number the number of the version, from 1
   * @param image the image that its tasks run
   * @param parameters additional parameters of its tasks
   * @param port the first port that its tasks listen on, or 0 if they cannot be probed
   * @param createdBy the user who introduced it
   * @param generation how many times it was rolled out; each rollout creates a new job, as a
   *     cancelled job is never restarted
   */
  public record Version(
      int number,
      String image,
      Map<String, String> parameters,
      int port,
      String createdBy,
      long createdWallMs,
      int generation) {
    Version nextGeneration(int otherPort) {
      return new Version(
          number, image, parameters, otherPort, createdBy, createdWallMs, generation + 1);
    }

    boolean matches(String otherImage, Map<String, String> others) {
      return image.equals(otherImage) && parameters.equals(others);
    }

    /** Returns the image, followed by the parameters if there are any. */
    String description() {
      return parameters.isEmpty() ? image : image + " " + parameters;
    }
  }

  /** A rollout from one version to another with its start time and the text of its plan. */
  public record RolloutRecord(
      int from, int to, long beganWallMs, String planText, RolloutPlan plan, Rollout rollout) {
    RolloutRecord withRollout(Rollout next) {
      return new RolloutRecord(from, to, beganWallMs, planText, plan, next);
    }

    boolean inProgress() {
      return !rollout.phase().isFinal();
    }
  }

  Version version(int number) {
    for (Version version : versions) {
      if (version.number() == number) {
        return version;
      }
    }
    throw new IllegalArgumentException(name + " has no version " + number);
  }

  /** Returns how many replicas voluntary disruptions may take down at a time now. */
  int maxUnavailable() {
    return isRollingOut() ? current.plan().maxUnavailable() : template.maxUnavailable();
  }

  /** Returns the desired replicas of a version and the zones in which they change first. */
  DesiredReplicas desiredReplicas(Version version) {
    int count = desiredCount(version.number());
    if (!isRollingOut() || current.rollout().phase() == Rollout.Phase.BACK) {
      return DesiredReplicas.anywhere(count);
    }
    List<String> zones = current.rollout().openZones();
    return version.number() == current.to()
        ? DesiredReplicas.startingIn(zones, count)
        : DesiredReplicas.vacating(zones, count);
  }

  boolean isRollingOut() {
    return current != null && current.inProgress();
  }

  /** Returns the desired number of replicas of a version. */
  int desiredCount(int number) {
    if (current == null
        || (!current.inProgress() && current.rollout().phase() != Rollout.Phase.STUCK)) {
      return number == serving ? replicas : 0;
    }
    if (number == current.from()) {
      return current.rollout().desiredOld();
    }
    return number == current.to() ? current.rollout().desiredNew() : 0;
  }

  Service withCurrent(RolloutRecord next) {
    return new Service(name, team, priority, replicas, template, versions, serving, next, history);
  }

  /** Returns the record with a new rollout and without the oldest versions that it does not use. */
  Service withNewRollout(List<Version> all, RolloutRecord next) {
    List<Version> kept = new ArrayList<>(all);
    kept.removeIf(
        v ->
            v.number() != serving
                && v.number() != next.to()
                && v.number() <= all.size() - MAX_VERSIONS);
    return new Service(name, team, priority, replicas, template, kept, serving, next, history);
  }

  /** Returns the record with the rollout ended and its outcome added to the history. */
  Service withEndedRollout(RolloutRecord last, String sentence) {
    List<String> outcomes = new ArrayList<>(history);
    outcomes.add(sentence);
    while (outcomes.size() > MAX_HISTORY) {
      outcomes.remove(0);
    }
    int now = last.rollout().phase() == Rollout.Phase.DONE ? last.to() : serving;
    return new Service(name, team, priority, replicas, template, versions, now, last, outcomes);
  }

  Service withReplicas(int count, RolloutRecord next) {
    return new Service(name, team, priority, count, template, versions, serving, next, history);
  }

  /** Returns the record with the rollout's next state. A final state is added to the history. */
  Service withRollout(Rollout next) {
    RolloutRecord moved = current.withRollout(next);
    return next.phase().isFinal()
        ? withEndedRollout(moved, describeOutcome(moved))
        : withCurrent(moved);
  }

  private String describeOutcome(RolloutRecord current) {
    String to = "Version " + current.to() + " (" + version(current.to()).description() + ")";
    return switch (current.rollout().phase()) {
      case DONE -> to + " took over from version " + current.from() + ".";
      case ROLLED_BACK ->
          to
              + " was taken back, version "
              + current.from()
              + " serves: "
              + current.rollout().reason();
      default ->
          to
              + " and version "
              + current.from()
              + " are both in part: "
              + current.rollout().reason();
    };
  }
}
