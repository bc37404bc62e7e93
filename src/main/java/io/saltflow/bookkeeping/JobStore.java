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
  private static final String ARRIVED = "at";
  private static final String DONE_COUNT = "n";
  private static final String STARTED = "started";
  private static final String PHASE = "phase";

  /** Rank and name, where operators have set lanes up. */
  private static final String LANE = "lane";

  /** Of a job that was accepted in a bundle: its place, as its record is of a later revision. */
  private static final String PLACE = "place";

  private static final Span TRY = Span.millis(1500);
  private static final Span PAUSE = Span.millis(100);
  private static final Span PATIENCE = Span.millis(3500);

  /** What a user may be told of a job. */
  public record Known(JobId id, Phase phase, int done) {}

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

    /** There is a record of the job. */
    record Found(Known job) implements Outcome {}

    /** There is certainly none. */
    record Absent() implements Outcome {}

    /** It could not be told: to be asked again. */
    record Unknown() implements Outcome {}

    /** The record would exceed the state service's limit. */
    record TooLarge() implements Outcome {}
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
  private final Set<String> toldOf = new HashSet<>();
  private final Map<JobId, Known> over =
      new LinkedHashMap<>(64, 0.75f, false) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, Known> eldest) {
          return size() > REMEMBERED;
        }
      };

  /**
   * @param txnOps how many writes a transaction of the state service may have
   * @param process differs from that of every other process that was ever started
   * @param lanes by which jobs are accepted
   */
  public JobStore(
      Routine parent,
      Loop loop,
      StateClient state,
      double valueKb,
      int txnOps,
      String process,
      Lanes lanes) {
    super(parent);
    this.lanes = lanes;
    this.loop = loop;
    this.state = state;
    int valueBytes = (int) (valueKb * 1024);
    live = new LiveCheck(this, loop, state, txnOps);
    firstLooks = new FirstLooks(this, loop, state, live);
    admissions = new Admissions(this, loop, state, live, this::find, valueBytes, txnOps, process);
  }

  /** Writes a new job down, or finds that it is known. */
  public void admit(JobSpec spec, long wallMs, Consumer<Outcome> then) {
    admissions.add(spec.id(), encode(spec, wallMs, lanes.of(spec)), then);
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
    live.ask(
        id,
        rank,
        verdict -> {
          switch (verdict) {
            case LIVE -> then.accept(new Outcome.Found(new Known(id, Phase.LIVE, 0)));
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

  /** Together with others where there are many: after that its version is known here. */
  private void firstLook(JobId id, Consumer<Outcome> then) {
    StateClient.Rank rank = StateClient.Rank.POLLS;
    firstLooks.ask(
        id,
        new FirstLooks.Asker() {
          @Override
          public void live() {
            // Its end may have been recorded, and told, here while the list was on its way.
            Known ended = over.get(id);
            then.accept(new Outcome.Found(ended == null ? new Known(id, Phase.LIVE, 0) : ended));
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
            then.accept(new Outcome.Found(new Known(id, Phase.LIVE, 0)));
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

  private static Body ending(Known k) {
    return Body.of().with(PHASE, k.phase().name()).with(DONE_COUNT, k.done());
  }

  /** Records the end of finished jobs; each is guarded by the leader's key. */
  void finish(Txn txn, JobId id, int tasks) {
    txn.guard(Keys.over(id), Stamp.ABSENT)
        .put(Keys.over(id), ending(new Known(id, Phase.DONE, tasks)))
        .delete(Keys.live(id));
  }

  void remember(JobId id, int tasks) {
    live.forget(id);
    over.put(id, new Known(id, Phase.DONE, tasks));
  }

  private static Body encode(JobSpec spec, long wallMs, Lane lane) {
    Body body = Body.of().with(SPEC, JobCodec.encode(spec)).with(ARRIVED, wallMs);
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
    JobSpec spec = JobCodec.decode(record.map(SPEC));
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
