package io.saltflow.cluster;

import io.saltflow.model.Attempt;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TaskId;
import io.saltflow.model.TimeSpan;

/**
 * An attempt that is or may be on a machine. While it exists, its task is not started elsewhere.
 */
public final class TaskPlacement {
  /** The last known state of an attempt. */
  public enum State {
    /** Launched, but not listed by a heartbeat yet. */
    LAUNCHED,
    /** The machine is fetching the image of the task. */
    FETCHING,
    /** The task is running. */
    RUNNING,
    /** The task is writing its checkpoint before it stops. */
    SAVING
  }

  public final Job job;
  public final int index;
  public final Attempt attempt;
  public final Machine machine;
  public final MonotonicTime launchedAt;
  public final long launchEpoch;
  public final long launchSequence;
  private State state;
  private MonotonicTime runningSince;
  private boolean foundInHeartbeat;
  private boolean backfilled;
  private boolean stopping;
  private MonotonicTime stopRequestedAt;
  private TimeSpan grace = new TimeSpan(0);

  /** Creates the placement of an attempt that is launched by the answer to the newest heartbeat. */
  public TaskPlacement(
      Job job, int index, Attempt attempt, Machine machine, MonotonicTime launchedAt) {
    this.job = job;
    this.index = index;
    this.attempt = attempt;
    this.machine = machine;
    this.launchedAt = launchedAt;
    this.launchEpoch = machine.heartbeats().agentEpoch();
    this.launchSequence = machine.heartbeats().sequence();
    this.state = State.LAUNCHED;
  }

  /** Returns the id of the task. */
  public TaskId taskId() {
    return new TaskId(job.id(), index);
  }

  /** Returns whether this leader observed the whole run of a task that had not run before. */
  public boolean fullRunObserved() {
    // This leader saw only the end of a run that an earlier term launched. Counting it as a whole
    // run would make estimates far too short after a failover and scale in needed machines. It once
    // made all work look fifteen times shorter, and nothing was scaled out while a thousand tasks
    // waited.
    return runningSince != null
        && !stopping
        && !foundInHeartbeat
        && !job.checkpointedRunTime.containsKey(index);
  }

  /** Requests a stop. If a stop was already requested, its grace period can only be shortened. */
  public void requestStop(MonotonicTime now, TimeSpan newGrace) {
    if (!stopping) {
      stopping = true;
      stopRequestedAt = now;
      grace = newGrace;
    } else if (newGrace.ms() < grace.ms()) {
      grace = newGrace;
    }
  }

  /** Returns the last known state of the attempt. */
  public State state() {
    return state;
  }

  /** Sets the last known state of the attempt. */
  public void setState(State state) {
    this.state = state;
  }

  /**
   * Returns the time at which the task was first seen running, or {@code null} if it has not been.
   */
  public MonotonicTime runningSince() {
    return runningSince;
  }

  /** Sets the time at which the task was first seen running. */
  public void setRunningSince(MonotonicTime runningSince) {
    this.runningSince = runningSince;
  }

  /**
   * Returns whether the attempt was found in a heartbeat rather than launched by this leader, so
   * that its start time is unknown.
   */
  public boolean isFoundInHeartbeat() {
    return foundInHeartbeat;
  }

  /** Sets whether the attempt was found in a heartbeat rather than launched by this leader. */
  public void setFoundInHeartbeat(boolean foundInHeartbeat) {
    this.foundInHeartbeat = foundInHeartbeat;
  }

  /** Returns whether the task was backfilled ahead of a reservation. */
  public boolean isBackfilled() {
    return backfilled;
  }

  /** Sets whether the task was backfilled ahead of a reservation. */
  public void setBackfilled(boolean backfilled) {
    this.backfilled = backfilled;
  }

  /** Returns whether a stop was requested. */
  public boolean isStopping() {
    return stopping;
  }

  /** Returns the time at which the stop was requested, or {@code null} if none was requested. */
  public MonotonicTime stopRequestedAt() {
    return stopRequestedAt;
  }

  /** Returns the grace period of the requested stop. */
  public TimeSpan grace() {
    return grace;
  }
}
