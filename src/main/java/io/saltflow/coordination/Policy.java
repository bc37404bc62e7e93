package io.saltflow.coordination;

import io.saltflow.deadlines.Rule;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Span;
import io.saltflow.shares.Rules;
import java.util.List;
import java.util.Map;

/** What the platform says and what operators may set, as the core needs it. */
public record Policy(
    double cpuShare,
    Span report,
    Span lease,
    Span keepAfterSync,
    Map<String, Team> teams,
    Map<String, Span> dueByClass,
    Map<String, Span> startByClass,
    Span guaranteeWithin,
    double scaleDown,
    Span scaleThreshold,
    Priority preemptFrom,
    Span patience,
    Span pressedSlack,
    double lengthWeight,
    Rules shares,
    Span beginWithin,
    double dearFactor,
    double dearShare,
    Span horizon,
    Span ordinaryHorizon,
    double idleReturnBoots,
    Span minimumCharge,
    Span silence,
    double bootPatience,
    int faultyAfter,
    List<Rule> mornings) {

  /** A team's guarantee and limit; a limit of 0 means none, a guarantee of 0 too. */
  public record Team(String name, double cores, double coresLimit, double gpus, double gpusLimit) {}

  /**
   * How much of one core a round costs for each job, machine and task that it looks at, in
   * milliseconds, times what keeps rounds to a small part of the processor.
   */
  private static final double ROUND_PAUSE_MS = 0.02;

  /** How long to leave between two whole rounds over so many jobs, machines and tasks. */
  Span roundPause(int items) {
    return Span.millis((long) (items * ROUND_PAUSE_MS / cpuShare));
  }

  /** A report that has not come after this is overdue. */
  public Span reportOverdue() {
    return report.times(1.25).plus(Span.seconds(1));
  }

  /** After this a worker that was last answered now has certainly dropped its tasks. */
  public Span leaseSurelyOver() {
    return lease.certainlyElsewhere().plus(Span.millis(500));
  }
}
