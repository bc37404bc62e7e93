package io.saltflow.coordination;

import io.saltflow.protocol.Attempt;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.TaskId;
import io.saltflow.protocol.Time;

/** An attempt that is, or might be, on a machine. While it exists its task starts nowhere else. */
public final class Presence {
  /** How far the attempt is known to have come. */
  enum State {
    /** Launched, not yet seen. */
    SENT,
    FETCHING,
    RUNNING,
    SAVING
  }

  final Job job;
  final int index;
  final Attempt attempt;
  final Machine machine;
  final Time launchedAt;
  final long sentSession;
  final long sentSequence;
  State state;
  Time runningSince;

  /** Found in a report and not launched by this leader: since when it runs is not known. */
  boolean found;

  boolean backfilled;
  boolean stopping;
  Time stopAt;
  Span grace = new Span(0);

  Presence(
      Job job,
      int index,
      Attempt attempt,
      Machine machine,
      Time launchedAt,
      long sentSession,
      long sentSequence,
      State state) {
    this.job = job;
    this.index = index;
    this.attempt = attempt;
    this.machine = machine;
    this.launchedAt = launchedAt;
    this.sentSession = sentSession;
    this.sentSequence = sentSequence;
    this.state = state;
  }

  TaskId task() {
    return new TaskId(job.id(), index);
  }

  /** Whether its run was seen from its start, of a task that had not run before, and goes on. */
  boolean wholeRunSeen() {
    // A task that a former leader launched ran longer than this one saw. Its time taken for the
    // whole, all work looked fifteen times shorter after each takeover: dear machines were returned
    // and none rented while a thousand tasks waited.
    return runningSince != null && !stopping && !found && !job.ranBefore.containsKey(index);
  }

  /** Asks for a stop; one that is under way is not asked for again, but may be hastened. */
  void stop(Time now, Span withGrace) {
    if (!stopping) {
      stopping = true;
      stopAt = now;
      grace = withGrace;
    } else if (withGrace.ms() < grace.ms()) {
      grace = withGrace;
    }
  }
}
