package io.saltflow.coordination;

import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Which machines to give back, and why. */
final class Returns {
  /** Fewer that report without hearing are looked at one by one. */
  private static final int MANY_DEAF = 4;

  private final Policy policy;
  private final Account account;

  Returns(Policy policy, Account account) {
    this.policy = policy;
    this.account = account;
  }

  /**
   * Machines to return: silent, faulty, never up, taken soon and empty, or idle for too long.
   *
   * @param deafUntil until when reports may have come in vain: silence before it is not the
   *     machines' own, though none is waited for longer than its lease for that
   */
  List<MachineId> toReturn(
      Collection<Machine> machines, Time deafUntil, Time tookOver, Time accountedAt, Time now) {
    List<MachineId> out = new ArrayList<>();
    int heard = 0;
    int silent = 0;
    int old = 0;
    int unheard = 0;
    for (Machine m : machines) {
      if (m.up || m.mightHoldOldTasks) {
        heard++;
        if (silentFor(m, deafUntil, tookOver, now).longerThan(policy.reportOverdue())) {
          silent++;
        }
        old++;
        unheard += m.mightHoldOldTasks ? 1 : 0;
      }
    }
    // When many fall silent at once, the cut is more likely to be ours than theirs.
    boolean cut = silent >= 3 && silent * 2 > heard;
    long deaf = machines.stream().filter(Machine::deaf).count();
    // The same of many that do not hear: a network's trouble is not theirs.
    boolean deafTogether = deaf >= MANY_DEAF && deaf * 10 > heard;
    // A new leader that has heard nearly all waits less for the rest: they hold everything up.
    Span patience = policy.silence().times(unheard * 5 <= old ? 0.65 : 1);
    for (Machine m : machines) {
      if (m.deleteAsked || (deafTogether && m.deaf())) {
        continue;
      }
      String why = reason(m, cut, patience, deafUntil, tookOver, accountedAt, now);
      if (why != null) {
        account.happened("machines are returned: " + why, m.id + " " + m.kind());
        m.leaving = true;
        m.deleteAsked = true;
        out.add(m.id);
      }
    }
    return out;
  }

  /**
   * Whether the services with replicas here have enough without them; a machine that fails what it
   * is given is not kept for them for ever.
   */
  private boolean spared(Machine m, Time now) {
    if (now.since(m.faultySince).longerThan(policy.silence().times(2))) {
      return true;
    }
    for (Presence p : m.presences.values()) {
      if (p.job.service() && (p.job.disruptions == null || !p.job.disruptions.covers(0))) {
        return false;
      }
    }
    return true;
  }

  private Span silentFor(Machine m, Time deafUntil, Time tookOver, Time now) {
    Time heard = Time.later(m.lastWell(), tookOver);
    Time granted = Time.earlier(deafUntil, heard.plus(policy.leaseSurelyOver()));
    return now.since(Time.later(heard, granted));
  }

  private String reason(
      Machine m,
      boolean cut,
      Span patience,
      Time deafUntil,
      Time tookOver,
      Time accountedAt,
      Time now) {
    Span silence = silentFor(m, deafUntil, tookOver, now);
    Span most = m.mightHoldOldTasks ? patience : policy.silence();
    if (m.unlisted) {
      most = m.mightHoldOldTasks ? policy.report() : policy.reportOverdue();
    } else if (cut) {
      most = policy.leaseSurelyOver();
    }
    if ((m.up || m.mightHoldOldTasks) && silence.longerThan(most)) {
      return m.deaf() ? "they report and hear no answer" : "they have been silent for too long";
    }
    if (m.type == null) {
      return m.presences.isEmpty() ? "their type is not known" : null;
    }
    if (m.faulty && (silence.longerThan(policy.reportOverdue()) || spared(m, now))) {
      return "they fail what they are given";
    }
    Span age = now.since(m.rentedAt);
    if (m.booting()) {
      Span longest = m.type.boot().times(policy.bootPatience()).plus(Span.seconds(10));
      return age.longerThan(longest) ? "they never came up" : null;
    }
    if (!m.presences.isEmpty() || !m.assigned.isEmpty() || m.idleSince == null || !m.accounted) {
      return null;
    }
    if (m.noticeAt != null) {
      return "they are empty and the cloud is about to take them";
    }
    if (accountedAt == null) {
      // Until all is accounted for most tasks may not be launched: machines are empty for that.
      return null;
    }
    Span idle = now.since(Time.later(m.idleSince, accountedAt));
    // The first minute is charged whether it is used or not.
    boolean paid = now.since(m.paidFrom).longerThan(policy.minimumCharge());
    if (m.retiring && paid) {
      return "they are dear and no longer needed";
    }
    if (paid && idle.longerThan(m.type.boot().times(policy.idleReturnBoots()))) {
      // Kept for as long as it would take to rent another: longer costs more than it can save.
      return "they are idle";
    }
    return null;
  }
}
