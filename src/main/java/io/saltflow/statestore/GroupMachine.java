package io.saltflow.statestore;

import io.saltflow.agreement.Entry;
import io.saltflow.agreement.Kept;
import io.saltflow.agreement.Message;
import io.saltflow.agreement.Raft;
import io.saltflow.agreement.Ready;
import io.saltflow.agreement.Snapshot;
import io.saltflow.kv.KeyStore;
import io.saltflow.kv.Limits;
import io.saltflow.kv.StateCore;
import io.saltflow.kv.Step;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Time;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The state service on top of a group's log: the leader judges requests, what they come to is
 * agreed on as steps, and every node applies the same steps in the same order. It is told the time
 * and what came, and says through {@link Out} what to do; no sockets, disk or clock.
 *
 * <p>Each request first waits until it is certain that this node led when it came ({@link
 * Raft#read}), so neither a read nor a refusal nor a lease's renewal is ever a deposed leader's.
 */
final class GroupMachine {
  /** What is done outside. */
  interface Out {
    /** Makes it durable, then calls {@link GroupMachine#saved}. */
    void save(Ready.Save save);

    void send(Message message);

    /** The contents are another store's now: requests go to {@link GroupMachine#core}. */
    void replaced();

    /** Leads, and everything agreed on before is applied. */
    void serves(boolean is);

    /** Contents have changed: whoever watches is told. */
    void changed();
  }

  /** One of the two is run, once. */
  private record Asked(Runnable go, Runnable refuse) {}

  private final Raft raft;
  private final Limits limits;
  private final Out out;
  private final long snapshotBytes;
  private final Map<Long, Asked> asked = new HashMap<>();
  private StateCore core;
  private long applied;
  private long lastAsked;
  private Ready underWay;
  private boolean stepping;
  private boolean broken;
  private long servingTerm;
  private long proposed;
  private long sinceSnapshot;
  private KeyStore.Copy copy;
  private SnapshotForm.Writer copied;
  private long copyIndex;

  /**
   * Begins with what was durable.
   *
   * @param snapshotBytes after how much of the log the contents are put into a snapshot
   */
  GroupMachine(Raft raft, Kept kept, Limits limits, long snapshotBytes, Out out, Time now)
      throws BadMessage {
    this.raft = raft;
    this.limits = limits;
    this.snapshotBytes = snapshotBytes;
    this.out = out;
    restore(kept.snapshot(), now);
  }

  private void restore(Snapshot s, Time now) throws BadMessage {
    core = new StateCore(limits, now);
    core.setDown(true, now);
    SnapshotForm.read(s.bytes(), core.store(), now);
    applied = s.index();
    sinceSnapshot = 0;
    copy = null;
  }

  StateCore core() {
    return core;
  }

  Raft raft() {
    return raft;
  }

  boolean serving() {
    return servingTerm > 0 && !broken;
  }

  /** Time has gone by. */
  void tick(Time now) {
    if (!broken) {
      raft.tick(now);
      step(now);
    }
  }

  void received(Message m, Time now) {
    if (!broken) {
      raft.received(m, now);
      step(now);
    }
  }

  /** What the last {@link Out#save} was told is durable. */
  void saved(Time now) {
    Ready done = underWay;
    underWay = null;
    raft.saved(now);
    run(done, now);
  }

  /**
   * Runs one of the two: the first once it is certain that this node led when it was asked and all
   * that was agreed on before is applied, the second when that can't be known.
   */
  void whenLeading(Runnable go, Runnable refuse, Time now) {
    long number = ++lastAsked;
    if (!serving() || !raft.read(number, now)) {
      refuse.run();
      return;
    }
    asked.put(number, new Asked(go, refuse));
    step(now);
  }

  /** Proposes what was judged since the last batch, if that is agreed on. */
  void pump(Time now) {
    if (!serving() || proposed > 0) {
      return;
    }
    List<Step> steps = core.next();
    if (steps.isEmpty()) {
      return;
    }
    proposed = raft.propose(SnapshotForm.encode(steps), now);
    if (proposed == 0) {
      // It gives its office away: nothing was proposed, so nothing will happen.
      core.failed();
    }
    step(now);
  }

  private void step(Time now) {
    run(null, now);
  }

  /**
   * Does what is to be done, until there is nothing or the disk has to be waited for. What is
   * answered on the way may bring the next request: it is taken, and done after this.
   *
   * @param first whose save has just become durable, or null
   */
  private void run(Ready first, Time now) {
    if (stepping || broken) {
      return;
    }
    stepping = true;
    try {
      if (first != null) {
        finish(first, now);
      }
      standing(now);
      while (underWay == null) {
        Ready r = raft.ready();
        if (r == null) {
          break;
        }
        if (r.save() != null) {
          underWay = r;
          out.save(r.save());
        } else {
          finish(r, now);
        }
      }
    } finally {
      stepping = false;
    }
  }

  private void finish(Ready r, Time now) {
    r.messages().forEach(out::send);
    if (r.installed() != null) {
      install(r.installed(), now);
    }
    boolean changed = false;
    for (Entry e : r.committed()) {
      changed |= apply(e, now);
    }
    standing(now);
    for (Ready.Read read : r.reads()) {
      Asked a = asked.remove(read.number());
      if (a != null) {
        a.go.run();
      }
    }
    if (changed) {
      out.changed();
      pump(now);
    }
  }

  private void install(Snapshot s, Time now) {
    try {
      restore(s, now);
    } catch (BadMessage e) {
      throw unreadable("the snapshot up to entry " + s.index(), e);
    }
    out.replaced();
  }

  /**
   * What was agreed on can't be passed over, or the nodes would differ from here on: this one does
   * nothing any more, as if it had ended. It neither votes nor confirms, and the others go on.
   */
  private IllegalStateException unreadable(String what, BadMessage cause) {
    broken = true;
    core.setDown(true, Time.LONG_AGO);
    return new IllegalStateException(what + " can't be read; this node takes no part now", cause);
  }

  /** Whether contents have changed. */
  private boolean apply(Entry e, Time now) {
    applied = e.index();
    if (e.data() == null) {
      return false;
    }
    sinceSnapshot += e.data().length;
    if (serving() && e.index() == proposed && e.term() == servingTerm) {
      proposed = 0;
      core.durable(now);
      return true;
    }
    try {
      SnapshotForm.steps(e.data()).forEach(s -> core.store().apply(s, now));
    } catch (BadMessage bad) {
      throw unreadable("entry " + e.index(), bad);
    }
    return true;
  }

  /** Begins or ends serving. */
  private void standing(Time now) {
    if (serving() && (raft.role() != Raft.Role.LEADER || raft.term() != servingTerm)) {
      servingTerm = 0;
      proposed = 0;
      core.abandon();
      core.setDown(true, now);
      List<Asked> all = List.copyOf(asked.values());
      asked.clear();
      out.serves(false);
      all.forEach(a -> a.refuse.run());
    }
    if (!serving() && raft.settled() && applied >= raft.commit()) {
      servingTerm = raft.term();
      proposed = 0;
      core.setDown(false, now);
      core.restored(now);
      out.serves(true);
    }
  }

  /** A part of a snapshot, if one is due or under way; whether there is more of it to come. */
  boolean snapshotPart(int keys, Time now) {
    if (copy == null && sinceSnapshot > snapshotBytes && core.idle()) {
      copy = core.store().copy();
      copied = new SnapshotForm.Writer(copy.epoch());
      copyIndex = applied;
      sinceSnapshot = 0;
    }
    if (copy == null) {
      return false;
    }
    List<Step> steps = copy.next(keys);
    if (!steps.isEmpty()) {
      steps.forEach(copied::add);
      return true;
    }
    copy = null;
    raft.compacted(copyIndex, copied.bytes());
    step(now);
    return false;
  }
}
