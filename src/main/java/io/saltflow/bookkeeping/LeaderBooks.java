package io.saltflow.bookkeeping;

import io.saltflow.coordination.Authority;
import io.saltflow.coordination.Job;
import io.saltflow.coordination.Leader;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.CloudCodec;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JsonSize;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.Time;
import io.saltflow.transport.Routine;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What the leader writes. Every write is guarded by its own leader key, so none is ever late. */
public final class LeaderBooks extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderBooks.class);
  private static final Span TRY = Span.millis(1500);

  /** The colon and the comma of an entry of a page, and the braces of the page, in JSON. */
  private static final int ENTRY_FRAME = 2;

  private static final int PAGE_FRAME = 2;

  /** The part of all writes that one page may take when something new comes all the time. */
  private static final double PART_FOR_A_PAGE = 0.1;

  private final StateClient state;
  private final JobStore jobs;
  private final Authority authority;
  private final Supplier<Time> now;
  private final Pages<Leader.LedgerEntry> ledger;
  private final Pages<Job> progress;
  private final Unpacking unpacking = new Unpacking();
  private final PlanBooks plans;
  private final DependencyBooks dependencies;
  private Leader leader;
  private int underWay;
  private boolean unpackingStep;

  /** The machine types that are on record, as far as this leader knows. */
  private List<List<Object>> recordedTypes = List.of();

  public LeaderBooks(
      Routine parent, StateClient state, JobStore jobs, Authority authority, Supplier<Time> now) {
    super(parent);
    this.state = state;
    this.jobs = jobs;
    this.authority = authority;
    this.now = now;
    dependencies = new DependencyBooks(this, state, jobs, this::guarded, now);
    plans = new PlanBooks(this, state, this::guarded, now);
    ledger =
        new Pages<>(this, state, this::guarded, Keys.FLEET, this::pause, now, new LedgerForm());
    progress =
        new Pages<>(
            this, state, this::guarded, Keys.PROGRESS, this::pause, now, new ProgressForm());
  }

  private Span pause() {
    return Span.seconds(1 / (state.limits().changesPerS() * PART_FOR_A_PAGE));
  }

  private Txn guarded() {
    return new Txn().guard(Keys.LEADER, authority.stamp());
  }

  /** A machine in the ledger. */
  private final class LedgerForm implements Pages.Form<Leader.LedgerEntry> {
    @Override
    public String name(Leader.LedgerEntry e) {
      return e.id().text();
    }

    @Override
    public Object encode(Leader.LedgerEntry e) {
      return Arrays.asList(e.type(), e.zone(), e.spot());
    }

    @Override
    public int longest(Leader.LedgerEntry e) {
      return JsonSize.of(name(e)) + JsonSize.of(encode(e)) + ENTRY_FRAME;
    }

    @Override
    public boolean keeps(Leader.LedgerEntry e, Object value) {
      return true;
    }

    @Override
    public void written(List<Leader.LedgerEntry> items, List<Object> values, boolean ok) {
      if (ok) {
        leader.ledgered(items);
      }
    }
  }

  /** A job that may have been started, with its done tasks. */
  private final class ProgressForm implements Pages.Form<Job> {
    private int mostText(Job job) {
      int besides = JsonSize.of(name(job)) + JsonSize.of("") + ENTRY_FRAME + PAGE_FRAME;
      int room = state.limits().valueBytes() - besides;
      return Math.min(DoneTasks.longest(job.spec().tasks()), room);
    }

    @Override
    public String name(Job job) {
      return job.id().text();
    }

    @Override
    public Object encode(Job job) {
      return DoneTasks.encode(job.doneTasks(), mostText(job));
    }

    @Override
    public int longest(Job job) {
      return JsonSize.of(name(job)) + JsonSize.of("") + mostText(job) + ENTRY_FRAME;
    }

    @Override
    public boolean keeps(Job job, Object value) {
      boolean whole = DoneTasks.longest(job.spec().tasks()) <= mostText(job);
      return whole || job.recordedWithin(decode(job, value));
    }

    private static BitSet decode(Job job, Object value) {
      try {
        return DoneTasks.decode((String) value, job.spec().tasks());
      } catch (BadMessage e) {
        throw new IllegalStateException("what was just written can't be read", e);
      }
    }

    @Override
    public void written(List<Job> items, List<Object> values, boolean ok) {
      if (!ok) {
        return;
      }
      for (int i = 0; i < items.size(); i++) {
        Job job = items.get(i);
        // What was written, not what is done: a long set may have lost its end.
        leader.recorded(job, decode(job, values.get(i)));
      }
    }
  }

  /** Whose decisions are written from now on. */
  public void serve(Leader core) {
    leader = core;
    dependencies.serve(core);
  }

  /** Room for another flush: writes that are not answered yet hold the next ones back. */
  public boolean busy() {
    return underWay >= 3;
  }

  private void commit(StateClient.Rank rank, Txn txn, Consumer<StateClient.Answer> then) {
    underWay++;
    state.commit(
        rank,
        txn,
        TRY,
        a -> {
          underWay--;
          if (!cancelled()) {
            then.accept(a);
          }
        });
  }

  /** Jobs that are over: one transaction for as many as it holds. */
  public void finish() {
    List<Job> all = leader.toFinish();
    // Asked anew each time: as many as were taken once were refused for ever after that.
    int each = Math.max(1, state.limits().operations() / 2);
    for (int i = 0; i < all.size() && !busy(); i += each) {
      List<Job> some = all.subList(i, Math.min(all.size(), i + each));
      Txn txn = guarded();
      for (Job job : some) {
        leader.finishing(job, true);
        jobs.finish(txn, job.id(), job.spec().tasks(), leader.wallMs(now.get()));
      }
      commit(
          StateClient.Rank.USER,
          txn,
          a -> {
            for (Job job : some) {
              if (a.ok()) {
                jobs.remember(job.id(), job.spec().tasks());
                leader.finished(job, now.get());
              } else if (a.notExecuted()) {
                leader.finishing(job, false);
              } else {
                checkEnd(job);
              }
            }
          });
    }
  }

  /**
   * The end was not confirmed: another end, a cancel, may have come first. What needs the job goes
   * on only when its record says that it is done.
   */
  private void checkEnd(Job job) {
    state.get(
        StateClient.Rank.BOOKS,
        Keys.over(job.id()),
        TRY,
        e -> {
          if (cancelled()) {
            return;
          }
          JobStore.Ended end =
              e == null || e.value() == null ? null : JobStore.endOf(job.id(), e.value());
          if (end != null && end.phase() == JobStore.Phase.DONE) {
            leader.finished(job, now.get());
            return;
          }
          leader.finishing(job, false);
          if (end != null) {
            leader.cancelledRead(job.id(), now.get());
          } else if (e != null && e.value() != null) {
            LOG.error("the end of {} can't be read: what needs it stays pending", job.id());
            leader.jobGone(job.id(), now.get());
          }
        });
  }

  /** Ends that dependent jobs wait for, and cancellations that follow from others. */
  public DependencyBooks dependencies() {
    return dependencies;
  }

  /** Jobs may be launched once their record says so: a successor then knows to look for them. */
  public void mark() {
    for (Job job : leader.toMark()) {
      progress.changed(job, true);
    }
    progress.flush(false);
  }

  /** Progress of live jobs, and machines that have left: there is time for both. */
  public void record() {
    progress.keepOnly(job -> leader.job(job.id()) == job);
    for (Job job : leader.toRecord()) {
      leader.recording(job);
      progress.changed(job, false);
    }
    progress.flush(true);
    ledger.flush(true);
  }

  /** A bundle of jobs was found among the live ones. */
  public void bundle(String key, Body value, Stamp version) {
    unpacking.found(key, value, version);
  }

  /** Jobs that were admitted in bundles get records of their own; then they can be started. */
  public void unpack() {
    if (unpacking.isEmpty() || unpackingStep) {
      return;
    }
    Unpacking.Step step = unpacking.next(state.limits());
    if (step.writes() == 0) {
      return;
    }
    unpackingStep = true;
    state.commit(
        StateClient.Rank.UNPACKING,
        step.into(guarded()),
        TRY,
        a -> {
          unpackingStep = false;
          if (cancelled()) {
            return;
          }
          if (a.ok()) {
            unpacking.done(step);
            unpack();
          } else if (a.status() == 409) {
            unpacking.refused(step, a);
          } else if (a.refusedForGood()) {
            unpacking.refusedForGood(step, state.limits());
          }
        });
  }

  /** Machines are written down before they are used. */
  public void ledger() {
    for (Leader.LedgerEntry e : leader.toLedger()) {
      ledger.changed(e, true);
    }
    ledger.flush(false);
  }

  /** What is decided beside launches. */
  public PlanBooks plans() {
    return plans;
  }

  /** Machines that are gone leave the ledger when there is time. */
  public void gone(List<MachineId> ids) {
    for (MachineId id : ids) {
      ledger.gone(id.text(), true);
    }
  }

  /** What former leaders wrote down; what can't be read of it is never taken for absence. */
  public static final class Inherited {
    private final Map<MachineId, Leader.LedgerEntry> machines = new LinkedHashMap<>();

    /**
     * By job and page. One that was on its way to another page is on both, and what is done may be
     * told by either.
     */
    private final Map<JobId, Map<String, String>> started = new HashMap<>();

    private PlanBooks.Plans plans;
    private boolean ledgerWhole = true;
    private boolean progressWhole = true;

    public List<Leader.LedgerEntry> machines() {
      return List.copyOf(machines.values());
    }

    /** What former leaders had decided. */
    public PlanBooks.Plans plans() {
      return plans;
    }

    /** Whether every machine of the ledger could be read. */
    public boolean ledgerWhole() {
      return ledgerWhole;
    }

    /** Whether a former leader may have launched some of it. */
    public boolean maybeStarted(JobStore.Recorded r) {
      return !progressWhole || r.marked() || started.containsKey(r.spec().id());
    }

    public Job job(JobStore.Recorded r) {
      JobId id = r.spec().id();
      BitSet done = new BitSet();
      for (String text : started.getOrDefault(id, Map.of()).values()) {
        try {
          done.or(DoneTasks.decode(text, r.spec().tasks()));
        } catch (BadMessage e) {
          LOG.error("progress of {}: {}; its tasks are asked for again", id, e.getMessage());
        }
      }
      Job job = new Job(r.spec(), r.arrivedWallMs(), done, maybeStarted(r));
      job.stands(r.lane(), r.place());
      // A page that can't be read says of no job that it was started: that it may have been is
      // enough to look for its tasks, but not to start more of them.
      return job.dependenciesMet(started.containsKey(id));
    }
  }

  /** Reads what former leaders wrote down; null when the state service does not answer. */
  public void inherit(Consumer<Inherited> then) {
    Inherited in = new Inherited();
    state.list(
        StateClient.Rank.LEADERSHIP,
        Keys.FLEET,
        machines -> {
          if (cancelled() || machines == null) {
            then.accept(null);
            return;
          }
          machines.entries().forEach(e -> readMachines(in, e));
          state.list(
              StateClient.Rank.LEADERSHIP,
              Keys.PROGRESS,
              pages -> {
                if (cancelled() || pages == null) {
                  then.accept(null);
                  return;
                }
                pages.entries().forEach(e -> readProgress(in, e));
                readPlans(in, then);
              });
        });
  }

  private void readPlans(Inherited in, Consumer<Inherited> then) {
    state.list(
        StateClient.Rank.LEADERSHIP,
        Keys.PLANS,
        plans -> {
          if (cancelled() || plans == null) {
            then.accept(null);
            return;
          }
          in.plans = PlanBooks.read(plans);
          then.accept(in);
        });
  }

  private void readMachines(Inherited in, StateClient.Entry page) {
    ledger.found(page.key(), page.version());
    for (Map.Entry<String, Object> e : page.value().fields().entrySet()) {
      if (e.getValue() instanceof List<?> l
          && l.size() == 3
          && l.get(0) instanceof String type
          && l.get(1) instanceof String zone
          && l.get(2) instanceof Boolean spot) {
        Leader.LedgerEntry m = new Leader.LedgerEntry(new MachineId(e.getKey()), type, zone, spot);
        in.machines.put(m.id(), m);
        ledger.loaded(page.key(), m);
      } else {
        LOG.error("ledger {}: machine {} can't be read", page.key(), e.getKey());
        in.ledgerWhole = false;
      }
    }
  }

  private void readProgress(Inherited in, StateClient.Entry page) {
    progress.found(page.key(), page.version());
    for (Map.Entry<String, Object> e : page.value().fields().entrySet()) {
      if (JobId.valid(e.getKey()) && e.getValue() instanceof String text) {
        in.started
            .computeIfAbsent(new JobId(e.getKey()), id -> new LinkedHashMap<>())
            .put(page.key(), text);
      } else {
        LOG.error("{}: the entry {} can't be read", page.key(), e.getKey());
        in.progressWhole = false;
      }
    }
  }

  /** Jobs that are still live stay on the pages on which they were found. */
  public void adopt(Inherited in) {
    plans.adopt(in.plans, leader.decided());
    for (Job job : leader.jobs()) {
      for (String page : in.started.getOrDefault(job.id(), Map.of()).keySet()) {
        progress.loaded(page, job);
      }
    }
  }

  /**
   * Writes the machine types down for controllers that start anew while the cloud can't be asked,
   * unless this leader has certainly written the same before. Prices, which move, don't matter.
   */
  public void recordTypes(List<MachineType> types) {
    List<List<Object>> known =
        types.stream().map(t -> List.<Object>of(t.name(), t.size(), t.zones())).toList();
    if (known.equals(recordedTypes)) {
      return;
    }
    Body value = CloudCodec.encodeTypes(types);
    if (!state.limits().fits(value)) {
      // A part of them would be taken for all.
      state
          .limits()
          .tooLarge(Keys.TYPES, JsonSize.of(value), "each node asks the cloud for the types");
      return;
    }
    commit(
        StateClient.Rank.BOOKS,
        guarded().put(Keys.TYPES, value),
        a -> recordedTypes = a.ok() ? known : recordedTypes);
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
