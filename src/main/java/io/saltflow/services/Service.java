package io.saltflow.services;

import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Size;
import io.saltflow.rollouts.Plan;
import io.saltflow.rollouts.Rollout;
import java.util.ArrayList;
import java.util.List;

/**
 * A named service: what its replicas need, its versions, and the roll-out under way, if any. This
 * is its record; it is replaced as a whole.
 *
 * @param serving the version that serves when no roll-out is under way
 * @param current the roll-out that is under way, or the last one; null: there was none
 * @param history how earlier roll-outs ended, a sentence each, the latest last
 */
public record Service(
    String name,
    String team,
    Priority priority,
    int replicas,
    Size size,
    double imageGb,
    boolean spot,
    List<Version> versions,
    int serving,
    Current current,
    List<String> history) {

  private static final int MOST_VERSIONS = 20;
  private static final int MOST_HISTORY = 20;

  /**
   * A version.
   *
   * @param number from 1
   * @param image what its tasks run
   * @param by who made it known
   * @param generation how often it was rolled out: each time its tasks are a job of their own,
   *     since a job that was ended never comes back
   */
  public record Version(int number, String image, String by, long wallMs, int generation) {
    Version again() {
      return new Version(number, image, by, wallMs, generation + 1);
    }
  }

  /** A roll-out from one version to another, with the plan's own text. */
  public record Current(int from, int to, String planText, Plan plan, Rollout rollout) {
    Current with(Rollout next) {
      return new Current(from, to, planText, plan, next);
    }

    boolean under() {
      return !rollout.phase().over();
    }
  }

  Version version(int number) {
    for (Version v : versions) {
      if (v.number() == number) {
        return v;
      }
    }
    throw new IllegalArgumentException(name + " has no version " + number);
  }

  boolean rolling() {
    return current != null && current.under();
  }

  /** How many replicas of a version there should be. */
  int wanted(int number) {
    if (current == null || (!current.under() && current.rollout().phase() != Rollout.Phase.STUCK)) {
      return number == serving ? replicas : 0;
    }
    if (number == current.from()) {
      return current.rollout().wantedOld();
    }
    return number == current.to() ? current.rollout().wantedNew() : 0;
  }

  Service withCurrent(Current next) {
    return new Service(
        name, team, priority, replicas, size, imageGb, spot, versions, serving, next, history);
  }

  /** Another roll-out begins; old versions that nothing needs are forgotten. */
  Service beginning(List<Version> all, Current next) {
    List<Version> kept = new ArrayList<>(all);
    kept.removeIf(
        v ->
            v.number() != serving
                && v.number() != next.to()
                && v.number() <= all.size() - MOST_VERSIONS);
    return new Service(
        name, team, priority, replicas, size, imageGb, spot, kept, serving, next, history);
  }

  /** The roll-out is over; what it came to is kept as a sentence. */
  Service ended(Current last, String sentence) {
    List<String> told = new ArrayList<>(history);
    told.add(sentence);
    while (told.size() > MOST_HISTORY) {
      told.remove(0);
    }
    int now = last.rollout().phase() == Rollout.Phase.DONE ? last.to() : serving;
    return new Service(
        name, team, priority, replicas, size, imageGb, spot, versions, now, last, told);
  }

  Service scaled(int count, Current next) {
    return new Service(
        name, team, priority, count, size, imageGb, spot, versions, serving, next, history);
  }
}
