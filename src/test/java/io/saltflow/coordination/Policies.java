package io.saltflow.coordination;

import io.saltflow.deadlines.Rule;
import io.saltflow.protocol.Priority;
import io.saltflow.protocol.Span;
import io.saltflow.shares.Rules;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The settings that tests run under. */
final class Policies {
  private Policies() {}

  static Policy of(Span lease, Span keepAfterSync, double thresholdS, Policy.Team... teams) {
    return of(Map.of(), lease, keepAfterSync, thresholdS, teams);
  }

  /** With times in which tasks of some classes should have started. */
  static Policy of(
      Map<String, Span> startByClass,
      Span lease,
      Span keepAfterSync,
      double thresholdS,
      Policy.Team... teams) {
    Map<String, Policy.Team> byName = new LinkedHashMap<>();
    for (Policy.Team team : teams) {
      byName.put(team.name(), team);
    }
    return new Policy(
        1,
        Span.seconds(3),
        lease,
        keepAfterSync,
        byName,
        Map.of(),
        startByClass,
        Span.seconds(5),
        0.2,
        Span.seconds(thresholdS),
        Priority.HIGH,
        Span.seconds(6),
        Span.seconds(30),
        1,
        new Rules(0.5, Span.seconds(120), 0.25),
        Span.seconds(240),
        1.8,
        0.25,
        Span.seconds(45),
        Span.seconds(90),
        1,
        Span.seconds(60),
        Span.seconds(10),
        3,
        2,
        List.of());
  }

  /** The same settings on a machine with a part of a core: whole rounds keep some way apart. */
  static Policy onPartOfACore(Policy p, double share) {
    return with(p, share, p.shares(), p.beginWithin());
  }

  /** Least parts by themselves: nobody's first task goes ahead. */
  static Policy withShares(Policy p, Rules shares) {
    return with(p, p.cpuShare(), shares, Span.seconds(1e6));
  }

  /** With what queues are to be ready by. */
  static Policy withMornings(Policy p, List<Rule> mornings) {
    return with(p, p.cpuShare(), p.shares(), p.beginWithin(), mornings);
  }

  private static Policy with(Policy p, double share, Rules shares, Span beginWithin) {
    return with(p, share, shares, beginWithin, p.mornings());
  }

  private static Policy with(
      Policy p, double share, Rules shares, Span beginWithin, List<Rule> mornings) {
    return new Policy(
        share,
        p.report(),
        p.lease(),
        p.keepAfterSync(),
        p.teams(),
        p.dueByClass(),
        p.startByClass(),
        p.guaranteeWithin(),
        p.scaleDown(),
        p.scaleThreshold(),
        p.preemptFrom(),
        p.patience(),
        p.pressedSlack(),
        p.lengthWeight(),
        shares,
        beginWithin,
        p.dearFactor(),
        p.dearShare(),
        p.horizon(),
        p.ordinaryHorizon(),
        p.idleReturnBoots(),
        p.minimumCharge(),
        p.silence(),
        p.bootPatience(),
        p.faultyAfter(),
        mornings);
  }
}
