package io.saltflow.packing;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.MachineId;
import java.util.List;

/**
 * A plan as it is recorded before its first step and after its last. What became of each step shows
 * in the reports alone: a replica is where it was, where it is to go, or on neither.
 *
 * @param name never used again
 * @param wish the job for whose task room is made
 * @param plannedMs by the time of day, for people and for how long it has taken
 * @param ended null: it goes on
 */
public record Kept(
    String name, JobId wish, MachineId clear, List<Move> moves, long plannedMs, Ended ended) {

  /** How it ended, in words. */
  public record Ended(boolean done, String why, long atMs) {}

  public Kept ended(boolean done, String why, long atMs) {
    return new Kept(name, wish, clear, moves, plannedMs, new Ended(done, why, atMs));
  }
}
