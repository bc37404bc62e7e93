package io.saltflow.bookkeeping;

import io.saltflow.lanes.Lane;
import io.saltflow.lanes.Lanes;
import io.saltflow.lanes.Place;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.JobCodec;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The job records: {@code live/ID} while a job is not over, {@code over/ID} for good once it is. A
 * job's end moves it from one to the other in one transaction, guarded by there being no end yet.
 */
public final class JobStore extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(JobStore.class);
  private static final int REMEMBERED = 4000;
  private static final int MOST_TOLD = 100;
  private static final String SPEC = "spec";

  /**
   * Instead of {@link #SPEC} in the record of a job that depends on others. Versions that know no
   * dependencies ignore the field {@code awaits} and would start the job at once; without a field
   * {@code spec} they can't read the record, so they don't start it, and answer that it is pending.
   */
  private static final String DEPENDENT_SPEC = "dependentSpec";

  private static final String ARRIVED = "at";
  private static final String DONE_COUNT = "n";
  private static final String STARTED = "started";
  private static final String PHASE = "phase";

  /** When a job was done, as a time of day: former versions neither write nor read it. */
  private static final String ENDED_AT = "endedAt";

  /** Rank and name, where operators have set lanes up. */
  private static final String LANE = "lane";

  /** Of a job that was accepted in a bundle: its place, as its record is of a later revision. */
  private static final String PLACE = "place";

  private static final Span TRY = Span.millis(1500);
  private static final Span PAUSE = Span.millis(100);
  private static final Span PATIENCE = Span.millis(3500);

  /** What a user may be told of a job. */
  public record Known(JobId id, Phase phase, int done) {}

  /**
   * How a job ended, by its record.
   *
   * @param atMs the time of day; negative: a former version recorded the end without it
   */
  public record Ended(Phase phase, long atMs) {}

  /** Where a job stands, by its record. */
  public enum Phase {
    LIVE,
    DONE,
    CANCELLED
  }

  /** The outcome of a question that the state service may have left open. */
  public sealed interface Outcome {
    /** A new record was written. */
    record Created(JobId id) implements Outcome {}

    /** Accepted, and cancelled at once as it depends on a cancelled job. */
    record CreatedCancelled(JobId id) implements Outcome {}

    /** There is a record of the job. */
    record Found(Known job) implements Outcome {}

    /** There is certainly none. */
    record Absent() implements Outcome {}

    /** It could not be told: to be asked again. */
    record Unknown() implements Outcome {}

    /** The record would exceed the state service's limit. */
    record TooLarge() implements Outcome {}

    /** Refused, as it depends on a job that was never accepted. */
    record NeverAccepted(JobId dependency) implements Outcome {}
  }

  /** A live job as it was recorded. */
  public record Recorded(
      JobSpec spec, long arrivedWallMs, boolean marked, Lane lane, Place place) {}

  private final Loop loop;
  private final StateClient state;
  private final Lanes lanes;
  private final LiveCheck live;
  private final FirstLooks firstLooks;
  private final Admissions admissions;
  private final DependentAdmission dependents;
  private final OrphanLookup orphans;
  private final Set<String> toldOf = new HashSet<>();
  private final Map<JobId, Known> over =
      new LinkedHashMap<>(64, 0.75f, false) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, Known> eldest) {
          return size() > REMEMBERED;
        }
      };

  /**
   * @param process differs from that of every other process that was ever started
   * @param lanes by which jobs are accepted
   */
  public JobStore(Routine parent, Loop loop, StateClient state, String process, Lanes lanes) {
    super(parent);
    this.lanes = lanes;
    this.loop = loop;
    this.state = state;
    live = new LiveCheck(this, loop, state);
    firstLooks = new FirstLooks(this, loop, state, live);
    admissions = new Admissions(this, loop, state, live, this::find, process);
    DependencyLookup lookup = new DependencyLookup(this, loop, state, new Ends());
    dependents = new DependentAdmission(this, loop, state, lookup, new DependentRecords());
    orphans = new OrphanLookup(state, lookup);
  }

  /**
   * Writes a new job down, or finds that it is known. One that this node knows is looked up first:
   * a transaction that is refused counts against the rate of changes like one that is not.
   */
  public void admit(JobSpec spec, long wallMs, Consumer<Outcome> then) {
    if (spec.awaits().isEmpty()) {
      record(spec, wallMs, then);
    } else {
      dependents.admit(spec, wallMs, then);
    }
  }

  /** The live jobs that depend on cancelled ones; null when that can't be told. */
  public void findOrphans(Consumer<Set<JobId>> then) {
    orphans.find(then);
  }

  /** The open dependencies in a record; none where they can't be read. */
  static List<JobId> dependencies(Body record) {
    if (record.get(DEPENDENT_SPEC) == null) {
      return List.of();
    }
    try {
      List<String> names = record.map(DEPENDENT_SPEC).texts(Wire.AWAITS);
      return names.stream().filter(JobId::valid).map(JobId::new).toList();
    } catch (BadMessage e) {
      LOG.error("dependencies can't be read: {}", e.getMessage());
      return List.of();
    }
  }

  /** For the lookup of dependencies. */
  private final class Ends implements DependencyLookup.Ends {
    @Override
    public Known known(JobId id) {
      return over.get(id);
    }

    @Override
    public void read(JobId id, Consumer<Outcome> then) {
      Runnable absent = () -> then.accept(new Outcome.Unknown());
      readOver(id, StateClient.Rank.USER, then, absent);
    }
  }

  /** For the acceptance of jobs that depend on others. */
  private final class DependentRecords implements DependentAdmission.Records {
    @Override
    public boolean seen(JobId id) {
      return over.containsKey(id) || live.knows(id);
    }

    @Override
    public void find(JobId id, Consumer<Outcome> then) {
      JobStore.this.find(id, then);
    }

    @Override
    public void accept(JobSpec spec, long wallMs, Consumer<Outcome> then) {
      record(spec, wallMs, then);
    }

    @Override
    public void cancelled(Known end) {
      over.put(end.id(), end);
      live.forget(end.id());
    }
  }

  private void record(JobSpec spec, long wallMs, Consumer<Outcome> then) {
    JobId id = spec.id();
    if (!over.containsKey(id) && !live.knows(id)) {
      write(spec, wallMs, then);
      return;
    }
    find(
        id,
        outcome -> {
          if (outcome instanceof Outcome.Absent) {
            write(spec, wallMs, then);
          } else {
            then.accept(outcome);
          }
        });
  }

  private void write(JobSpec spec, long wallMs, Consumer<Outcome> then) {
    JobId id = spec.id();
    admissions.add(
        id,
        encode(spec, wallMs, lanes.of(spec)),
        outcome -> tellNewest(id, StateClient.Rank.USER, outcome, then));
  }

  /** A request that got no clear answer is tried again at once, or given up on at once. */
  private void again(StateClient.Answer a, Time deadline, Runnable retry, Consumer<Outcome> then) {
    boolean worthIt = a.status() == 0 || a.status() == 429 || a.status() == 409;
    // What was refused for its rate was not executed, and the next try is answered quickly.
    Span next = a.status() == 429 ? PAUSE : TRY;
    if (worthIt && loop.now().plus(PAUSE).plus(next).before(deadline)) {
      loop.after(PAUSE, this, retry);
    } else {
      then.accept(new Outcome.Unknown());
    }
  }

  /** Looks a job up; absent only when the state service says so. */
  public void find(JobId id, Consumer<Outcome> then) {
    find(id, StateClient.Rank.USER, then);
  }

  /** How it ended, where this node knows; null: it may be live, or have ended elsewhere. */
  public Known ended(JobId id) {
    return over.get(id);
  }

  /** The same for one who only asks and will ask again: what others do goes first. */
  public void poll(JobId id, Consumer<Outcome> then) {
    find(id, StateClient.Rank.POLLS, then);
  }

  private void find(JobId id, StateClient.Rank rank, Consumer<Outcome> then) {
    Known known = over.get(id);
    if (known != null) {
      then.accept(new Outcome.Found(known));
      return;
    }
    look(id, rank, outcome -> tellNewest(id, rank, outcome, then));
  }

  /**
   * What was read may be older than what this node has told somebody since, as another request of
   * its was answered first: an end that it knows stands, and a job that it has accepted or seen
   * meanwhile is looked up again before it is called absent.
   */
  private void tellNewest(
      JobId id, StateClient.Rank rank, Outcome outcome, Consumer<Outcome> then) {
    Known ended = over.get(id);
    if (ended != null) {
      then.accept(new Outcome.Found(ended));
    } else if (outcome instanceof Outcome.Absent && live.knows(id)) {
      find(id, rank, then);
    } else {
      then.accept(outcome);
    }
  }

  private void look(JobId id, StateClient.Rank rank, Consumer<Outcome> then) {
    live.ask(
        id,
        rank,
        verdict -> {
          switch (verdict) {
            case LIVE -> then.accept(live(id));
            case UNKNOWN -> then.accept(new Outcome.Unknown());
            case TO_READ -> {
              if (rank == StateClient.Rank.POLLS) {
                firstLook(id, then);
              } else {
                read(id, rank, then, () -> findBundled(id, rank, then));
              }
            }
          }
        });
  }

  private static Outcome live(JobId id) {
    return new Outcome.Found(new Known(id, Phase.LIVE, 0));
  }

  /** Together with others where there are many: after that its version is known here. */
  private void firstLook(JobId id, Consumer<Outcome> then) {
    StateClient.Rank rank = StateClient.Rank.POLLS;
    firstLooks.ask(
        id,
        new FirstLooks.Asker() {
          @Override
          public void live() {
            then.accept(JobStore.live(id));
          }

          @Override
          public void alone() {
            // One that the list had in a bundle is compared, which also says that it has not ended.
            JobStore.this.live.ask(
                id,
                rank,
                verdict -> {
                  switch (verdict) {
                    case LIVE -> live();
                    case UNKNOWN -> unknown();
                    case TO_READ -> read(id, rank, then, () -> findBundled(id, rank, then));
                  }
                });
          }

          @Override
          public void unknown() {
            then.accept(new Outcome.Unknown());
          }
        });
  }

  /** Reads in the order in which a job moves, so that it is not missed between two reads. */
  private void read(JobId id, StateClient.Rank rank, Consumer<Outcome> then, Runnable ifAbsent) {
    state.get(
        rank,
        Keys.live(id),
        TRY,
        e -> {
          if (e == null) {
            then.accept(new Outcome.Unknown());
          } else if (e.value() != null) {
            live.seen(id, e.version());
            then.accept(new Outcome.Found(new Known(id, Phase.LIVE, count(e.value()))));
          } else {
            readOver(id, rank, then, ifAbsent);
          }
        });
  }

  private void readOver(
      JobId id, StateClient.Rank rank, Consumer<Outcome> then, Runnable ifAbsent) {
    state.get(
        rank,
        Keys.over(id),
        TRY,
        e -> {
          if (e == null) {
            then.accept(new Outcome.Unknown());
          } else if (e.value() == null) {
            ifAbsent.run();
          } else {
            Known k = ended(id, e.value());
            if (k == null) {
              LOG.error("record {} can't be read", Keys.over(id));
              then.accept(new Outcome.Unknown());
            } else {
              over.put(id, k);
              then.accept(new Outcome.Found(k));
            }
          }
        });
  }

  /**
   * It has no record of its own and had not ended: it lies in a bundle, or was never accepted, or
   * was given a record while we looked. Only after the bundles is another look at the records proof
   * that it is absent, since jobs move from those to these.
   */
  private void findBundled(JobId id, StateClient.Rank rank, Consumer<Outcome> then) {
    state.list(
        rank,
        Bundles.PREFIX,
        bundles -> {
          if (bundles == null) {
            then.accept(new Outcome.Unknown());
            return;
          }
          boolean found = false;
          String unreadable = null;
          for (StateClient.Entry e : bundles.entries()) {
            // What can't be read of one bundle says nothing of the others, nor of its other jobs.
            unreadable = Bundles.whole(e.value()) ? unreadable : e.key();
            for (JobId each : Bundles.ids(e.value())) {
              found |= each.equals(id);
              if (!over.containsKey(each)) {
                live.seenIn(each, e.key(), e.version());
              }
            }
          }
          if (!found && unreadable != null) {
            tellOnce(id, unreadable);
            then.accept(new Outcome.Unknown());
          } else if (found) {
            then.accept(live(id));
          } else {
            read(id, rank, then, () -> then.accept(new Outcome.Absent()));
          }
        });
  }

  /** For people: what to look at, and for whom. Once for each bundle. */
  private void tellOnce(JobId id, String bundle) {
    if (toldOf.size() < MOST_TOLD && toldOf.add(bundle)) {
      LOG.error(
          "whether {} was accepted can't be told: a part of {} can't be read. Restore that key from"
              + " a backup, or delete its unreadable field and ask its users to submit again",
          id,
          bundle);
    }
  }

  /** How a job ended; null when the record does not say so clearly. */
  private static Known ended(JobId id, Body record) {
    for (Phase phase : List.of(Phase.DONE, Phase.CANCELLED)) {
      if (phase.name().equals(record.get(PHASE))) {
        return new Known(id, phase, count(record));
      }
    }
    return null;
  }

  private static int count(Body record) {
    return record.get(DONE_COUNT) instanceof Long n ? n.intValue() : 0;
  }

  public void cancel(JobId id, Consumer<Outcome> then) {
    cancel(id, loop.now().plus(PATIENCE), then);
  }

  private void cancel(JobId id, Time deadline, Consumer<Outcome> then) {
    ifLive(
        id,
        then,
        found -> {
          Known ended = new Known(id, Phase.CANCELLED, found.job().done());
          Txn txn =
              new Txn()
                  .guard(Keys.over(id), Stamp.ABSENT)
                  .put(Keys.over(id), ending(ended))
                  .delete(Keys.live(id));
          state.commit(
              StateClient.Rank.USER,
              txn,
              TRY,
              a -> {
                if (a.ok()) {
                  over.put(id, ended);
                  live.forget(id);
                  then.accept(new Outcome.Found(ended));
                } else {
                  again(a, deadline, () -> cancel(id, deadline, then), then);
                }
              });
        });
  }

  /** Goes on with a live job; any other outcome is the answer. */
  private void ifLive(JobId id, Consumer<Outcome> then, Consumer<Outcome.Found> act) {
    find(
        id,
        outcome -> {
          if (outcome instanceof Outcome.Found found && found.job().phase() == Phase.LIVE) {
            act.accept(found);
          } else {
            then.accept(outcome);
          }
        });
  }

  static Body ending(Known k) {
    return Body.of().with(PHASE, k.phase().name()).with(DONE_COUNT, k.done());
  }

  /** Records the end of finished jobs; each is guarded by the leader's key. */
  void finish(Txn txn, JobId id, int tasks, long wallMs) {
    end(txn, new Known(id, Phase.DONE, tasks), wallMs);
  }

  /** Records that a job is cancelled because one that it needs is. None of its tasks ever ran. */
  void cancelDependent(Txn txn, JobId id, long wallMs) {
    end(txn, new Known(id, Phase.CANCELLED, 0), wallMs);
  }

  private static void end(Txn txn, Known ended, long wallMs) {
    txn.guard(Keys.over(ended.id()), Stamp.ABSENT)
        .put(Keys.over(ended.id()), ending(ended).with(ENDED_AT, wallMs))
        .delete(Keys.live(ended.id()));
  }

  void remember(JobId id, int tasks) {
    remember(new Known(id, Phase.DONE, tasks));
  }

  /** It was recorded as cancelled because of a job that it needs. */
  void rememberCancelled(JobId id) {
    remember(new Known(id, Phase.CANCELLED, 0));
  }

  private void remember(Known ended) {
    live.forget(ended.id());
    over.put(ended.id(), ended);
  }

  /** What a record under {@code over/} says; null when that is not clear. */
  static Ended endOf(JobId id, Body record) {
    Known known = ended(id, record);
    long atMs = record.get(ENDED_AT) instanceof Long at ? at : -1;
    return known == null ? null : new Ended(known.phase(), atMs);
  }

  private static Body encode(JobSpec spec, long wallMs, Lane lane) {
    String field = spec.awaits().isEmpty() ? SPEC : DEPENDENT_SPEC;
    Body body = Body.of().with(field, JobCodec.encode(spec)).with(ARRIVED, wallMs);
    // The lane of an urgency says nothing that the description does not.
    return lane.name().isEmpty() ? body : body.with(LANE, List.of(lane.rank(), lane.name()));
  }

  /** The record of a job that a bundle held, with the place that it was accepted at. */
  static Body withPlace(Body record, Place place) {
    return new Body(new LinkedHashMap<>(record.fields()))
        .with(PLACE, List.of(place.revision(), place.index()));
  }

  /**
   * A record as it stands.
   *
   * @param version of its key: what was written at the acceptance is of its revision
   */
  public static Recorded decode(Body record, Stamp version) throws BadMessage {
    String field = record.get(DEPENDENT_SPEC) == null ? SPEC : DEPENDENT_SPEC;
    JobSpec spec = JobCodec.decode(record.map(field));
    Place place = new Place(version.number(), 0);
    if (record.get(PLACE) instanceof List<?> l
        && l.size() == 2
        && l.get(0) instanceof Long revision
        && l.get(1) instanceof Long index) {
      place = new Place(revision, index.intValue());
    }
    // Records of earlier versions say in themselves that a job may have been started.
    return new Recorded(
        spec,
        record.integer(ARRIVED),
        record.flagOr(STARTED, false),
        lane(record.get(LANE), Lane.of(spec.priority())),
        place);
  }

  /** A lane as it is recorded; what can't be read is the other. */
  static Lane lane(Object recorded, Lane otherwise) {
    return recorded instanceof List<?> l
            && l.size() == 2
            && l.get(0) instanceof Long rank
            && l.get(1) instanceof String name
            && rank >= 0
            && rank < 1000
        ? new Lane(rank.intValue(), name)
        : otherwise;
  }

  /**
   * An operator moves a live job to another lane, or in front of its own; any node may write that.
   *
   * @param lane null: its lane stays
   * @param then what was found: a live job was moved, any other outcome changed nothing
   */
  public void move(JobId id, Lane lane, Consumer<Outcome> then) {
    ifLive(
        id,
        then,
        found -> {
          state.get(
              StateClient.Rank.USER,
              Keys.moved(id),
              TRY,
              before -> {
                if (before == null) {
                  then.accept(new Outcome.Unknown());
                  return;
                }
                // Guarded by the act before it: one that got no answer, and was said anew or
                // otherwise since, would take that away when it is carried out late.
                Txn txn =
                    new Txn()
                        .guard(Keys.over(id), Stamp.ABSENT)
                        .guard(Keys.moved(id), before.version())
                        .put(Keys.moved(id), OrderBooks.encode(lane));
                state.commit(
                    StateClient.Rank.USER,
                    txn,
                    TRY,
                    a -> then.accept(a.ok() ? found : new Outcome.Unknown()));
              });
        });
  }

  /** Whether a key found among the live jobs is that of a bundle of them. */
  public static boolean isBundle(String key) {
    return Bundles.is(key);
  }

  /** Every job that is not over, bundles too, and the revision from which to watch. */
  public void listLive(Consumer<StateClient.Listing> then) {
    state.list(StateClient.Rank.LEADERSHIP, Keys.LIVE, then);
  }

  /** Where the record of a job is that is not over. */
  public static String keyOfLive(JobId id) {
    return Keys.live(id);
  }

  /** The job of a record's key; null: it is another's, or a bundle's. */
  public static JobId idOfLive(String key) {
    return key.startsWith(Keys.LIVE) && !Bundles.is(key)
        ? new JobId(key.substring(Keys.LIVE.length()))
        : null;
  }

  public void watchLive(long after, Span hold, Consumer<StateClient.Answer> then) {
    state.watch(Keys.LIVE, after, hold, then);
  }
}
