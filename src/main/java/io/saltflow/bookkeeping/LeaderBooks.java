package io.saltflow.bookkeeping;

import io.saltflow.coordination.Authority;
import io.saltflow.coordination.Job;
import io.saltflow.coordination.Leader;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.CloudCodec;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.Span;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What the leader writes. Every write is guarded by its own leader key, so none is ever late. */
public final class LeaderBooks extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderBooks.class);
  private static final Span TRY = Span.millis(1500);
  private static final String TYPE = "type";
  private static final String ZONE = "zone";
  private static final String SPOT = "spot";

  private final StateClient state;
  private final JobStore jobs;
  private final Authority authority;
  private final int txnOps;
  private final List<MachineId> gone = new ArrayList<>();
  private int underWay;

  public LeaderBooks(
      Routine parent, StateClient state, JobStore jobs, Authority authority, int txnOps) {
    super(parent);
    this.state = state;
    this.jobs = jobs;
    this.authority = authority;
    this.txnOps = Math.max(2, txnOps);
  }

  private Txn guarded() {
    return new Txn().guard(Keys.LEADER, authority.stamp());
  }

  /** Room for another flush: writes that are not answered yet hold the next ones back. */
  public boolean busy() {
    return underWay >= 3;
  }

  private void commit(StateClient.Rank rank, Txn txn, Consumer<Boolean> then) {
    underWay++;
    state.commit(
        rank,
        txn,
        TRY,
        a -> {
          underWay--;
          if (!cancelled()) {
            then.accept(a.ok());
          }
        });
  }

  /** Jobs that are over: one transaction for as many as it holds. */
  public void finish(Leader leader) {
    List<Job> all = leader.toFinish();
    int each = txnOps / 2;
    for (int i = 0; i < all.size() && !busy(); i += each) {
      List<Job> some = all.subList(i, Math.min(all.size(), i + each));
      Txn txn = guarded();
      for (Job job : some) {
        leader.finishing(job, true);
        jobs.finish(txn, job.id(), job.spec().tasks());
      }
      commit(
          StateClient.Rank.USER,
          txn,
          ok -> {
            for (Job job : some) {
              if (ok) {
                jobs.remember(job.id(), job.spec().tasks());
                leader.finished(job);
              } else {
                checkEnd(leader, job);
              }
            }
          });
    }
  }

  /** The end was not confirmed: another end, a cancel, may have come first. */
  private void checkEnd(Leader leader, Job job) {
    state.get(
        StateClient.Rank.BOOKS,
        Keys.over(job.id()),
        TRY,
        e -> {
          if (cancelled()) {
            return;
          }
          if (e != null && e.value() != null) {
            leader.finished(job);
          } else {
            leader.finishing(job, false);
          }
        });
  }

  /** Jobs may be launched once their record says so: a successor then knows to look for them. */
  public void mark(Leader leader) {
    List<Job> all = leader.toMark();
    for (int i = 0; i < all.size(); i += txnOps) {
      List<Job> some = all.subList(i, Math.min(all.size(), i + txnOps));
      Txn txn = guarded();
      for (Job job : some) {
        jobs.progress(txn, job.spec(), job.arrivedWallMs(), job.doneTasks());
      }
      commit(
          StateClient.Rank.USER,
          txn,
          ok -> {
            for (Job job : some) {
              leader.marked(job, ok);
            }
          });
    }
  }

  /** Progress of live jobs. */
  public void record(Leader leader) {
    List<Job> all = leader.toRecord();
    for (int i = 0; i < all.size() && !busy(); i += txnOps) {
      List<Job> some = all.subList(i, Math.min(all.size(), i + txnOps));
      List<BitSet> sets = new ArrayList<>();
      Txn txn = guarded();
      for (Job job : some) {
        leader.recording(job);
        BitSet set = (BitSet) job.doneTasks().clone();
        sets.add(set);
        jobs.progress(txn, job.spec(), job.arrivedWallMs(), set);
      }
      commit(
          StateClient.Rank.BOOKS,
          txn,
          ok -> {
            for (int k = 0; k < some.size(); k++) {
              if (ok) {
                leader.recorded(some.get(k), sets.get(k));
              } else {
                leader.notRecorded(some.get(k));
              }
            }
          });
    }
  }

  /** Machines are written down before they are used. */
  public void ledger(Leader leader) {
    List<Leader.LedgerEntry> all = leader.toLedger();
    for (int i = 0; i < all.size(); i += txnOps) {
      List<Leader.LedgerEntry> some = all.subList(i, Math.min(all.size(), i + txnOps));
      Txn txn = guarded();
      for (Leader.LedgerEntry e : some) {
        Body value = Body.of().with(TYPE, e.type()).with(ZONE, e.zone()).with(SPOT, e.spot());
        txn.put(Keys.machine(e.id()), value);
      }
      commit(StateClient.Rank.USER, txn, ok -> leader.ledgered(some, ok));
    }
  }

  /** Machines that are gone leave the ledger when there is time. */
  public void gone(List<MachineId> ids) {
    gone.addAll(ids);
  }

  public void strike() {
    if (gone.isEmpty() || busy()) {
      return;
    }
    List<MachineId> some = new ArrayList<>(gone.subList(0, Math.min(gone.size(), txnOps)));
    gone.subList(0, some.size()).clear();
    Txn txn = guarded();
    for (MachineId id : some) {
      txn.delete(Keys.machine(id));
    }
    commit(
        StateClient.Rank.BOOKS,
        txn,
        ok -> {
          if (!ok) {
            gone.addAll(some);
          }
        });
  }

  /** Every machine that a former leader may have used; null when it can't be read. */
  public void readLedger(Consumer<List<Leader.LedgerEntry>> then) {
    state.list(
        StateClient.Rank.LEADERSHIP,
        Keys.FLEET,
        listing -> {
          if (listing == null) {
            then.accept(null);
            return;
          }
          List<Leader.LedgerEntry> out = new ArrayList<>();
          for (StateClient.Entry e : listing.entries()) {
            try {
              out.add(
                  new Leader.LedgerEntry(
                      new MachineId(e.key().substring(Keys.FLEET.length())),
                      e.value().text(TYPE),
                      e.value().text(ZONE),
                      e.value().flag(SPOT)));
            } catch (BadMessage bad) {
              LOG.error("ledger entry {}: {}", e.key(), bad.getMessage());
            }
          }
          then.accept(out);
        });
  }

  public void writeTypes(List<MachineType> types) {
    commit(
        StateClient.Rank.BOOKS,
        guarded().put(Keys.TYPES, CloudCodec.encodeTypes(types)),
        ok -> LOG.debug("machine types written: {}", ok));
  }

  /**
   * The machine types as a leader wrote them down; null when there are none or none can be read.
   */
  public static void readTypes(StateClient state, Consumer<List<MachineType>> then) {
    state.get(
        StateClient.Rank.USER,
        Keys.TYPES,
        TRY,
        e -> {
          try {
            then.accept(e == null || e.value() == null ? null : CloudCodec.decodeTypes(e.value()));
          } catch (BadMessage bad) {
            LOG.error("machine types: {}", bad.getMessage());
            then.accept(null);
          }
        });
  }
}
