package io.saltflow.bookkeeping;

import io.saltflow.levels.Active;
import io.saltflow.levels.Change;
import io.saltflow.levels.Entrance;
import io.saltflow.levels.Level;
import io.saltflow.levels.Raising;
import io.saltflow.levels.Range;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller's levels, kept in the state service: it announces its build before it serves,
 * follows what is active, and while it leads raises it. What to do is said by {@link Entrance} and
 * {@link Raising}; here it is read and written.
 */
public final class LevelBooks extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(LevelBooks.class);
  private static final Span TRY = Span.millis(1500);
  private static final Span AGAIN = Span.millis(300);
  private static final Span LOOK_AGAIN = Span.seconds(5);
  private static final Span HOLD = Span.seconds(30);
  private static final Span LEADER_LOOKS = Span.seconds(1);
  private static final Span LEADER_LOOKS_SELDOM = Span.seconds(30);

  /** Who this is. */
  public record Self(String host, String process, Range build, Set<String> configured) {}

  /**
   * What a leader brings along: its guard, whether the state is new, why it is no time to raise.
   */
  public record Office(Supplier<Txn> guarded, boolean untouched, Supplier<String> unwell) {}

  private final Loop loop;
  private final StateClient state;
  private final Self self;
  private final Raising.Rules rules;
  private final Consumer<Active> onActing;
  private final Entrance entrance;
  private Active active;
  private String told = "";
  private long lease;
  private Office office;
  private Raising.Watch watch = Raising.Watch.NONE;

  /**
   * @param onActing told when this controller may serve, and whenever what is active changes
   */
  public LevelBooks(
      Routine parent,
      Loop loop,
      StateClient state,
      Self self,
      Raising.Rules rules,
      Consumer<Active> onActing) {
    super(parent);
    this.loop = loop;
    this.state = state;
    this.self = self;
    this.rules = rules;
    this.onActing = onActing;
    this.entrance = new Entrance(self.build);
  }

  public void start() {
    take(entrance.begin());
    loop.every(rules.lease().times(0.25), this, this::renew);
    lead();
  }

  /** Whether this controller may serve. */
  public boolean acting() {
    return active != null;
  }

  /** Whether a behaviour may be used now. */
  public boolean allows(Change change) {
    return active != null && active.allows(change);
  }

  /** While it leads; null: no longer. */
  public void leads(Office now) {
    office = now;
    watch = Raising.Watch.NONE;
  }

  /** One line, when it is another than the last. */
  private void tell(String line) {
    if (!line.equals(told) && !line.isEmpty()) {
      LOG.info("{}", line);
    }
    told = line;
  }

  private void read(Consumer<LevelRecords.All> then) {
    state.list(
        StateClient.Rank.LEADERSHIP,
        Keys.LEVELS,
        listing -> {
          if (cancelled() || listing == null) {
            then.accept(null);
            return;
          }
          LevelRecords.All all = null;
          try {
            all = LevelRecords.decode(listing);
          } catch (BadMessage e) {
            tell(
                "the record of levels can't be read, nothing is concluded from it: "
                    + e.getMessage());
          }
          then.accept(all);
        });
  }

  private void take(Entrance.Step step) {
    if (step instanceof Entrance.Step.Read) {
      read(
          all -> {
            if (cancelled()) {
              return;
            }
            if (all == null) {
              loop.after(AGAIN, this, () -> take(new Entrance.Step.Read()));
            } else {
              take(entrance.read(all.active(), all.announcedBy(self.host)));
            }
          });
    } else if (step instanceof Entrance.Step.Announce announce) {
      announce(announce);
    } else if (step instanceof Entrance.Step.Unfit unfit) {
      active = null;
      tell("serves nothing: " + unfit.why());
      loop.after(LOOK_AGAIN, this, () -> take(new Entrance.Step.Read()));
    } else if (step instanceof Entrance.Step.Act act) {
      boolean changed = !act.active().equals(active);
      active = act.active();
      if (changed) {
        tell(
            "level "
                + active.used()
                + " is used"
                + (active.used().equals(active.raised())
                    ? ""
                    : ", " + active.raised() + " is raised")
                + "; this build acts on levels "
                + self.build);
        onActing.accept(active);
      }
      follow(active.version());
    }
  }

  private void announce(Entrance.Step.Announce announce) {
    if (!announce.leased()) {
      announce(announce, 0);
      return;
    }
    state.call(
        StateClient.Rank.LEADERSHIP,
        "POST",
        Wire.PATH_LEASES,
        Body.of().with(Wire.TTL_MS, rules.lease().ms()),
        0,
        TRY,
        a -> {
          if (cancelled()) {
            return;
          }
          if (a.ok() && a.body().get(Wire.LEASE) instanceof Long id) {
            announce(announce, id);
          } else {
            loop.after(AGAIN, this, () -> take(new Entrance.Step.Read()));
          }
        });
  }

  /**
   * @param id of the lease; 0: none, the announcement is for good
   */
  private void announce(Entrance.Step.Announce announce, long id) {
    Body record = LevelRecords.encode(self.build, self.process);
    String key = Keys.ANNOUNCED + self.host;
    Txn txn = new Txn().guard(Keys.ACTIVE, announce.active()).guard(key, announce.announced());
    state.commit(
        StateClient.Rank.LEADERSHIP,
        id == 0 ? txn.put(key, record) : txn.put(key, record, id),
        TRY,
        done -> {
          if (cancelled()) {
            return;
          }
          lease = done.ok() ? id : lease;
          Entrance.Step next = entrance.announced(done.ok());
          if (done.ok()) {
            take(next);
          } else {
            loop.after(AGAIN, this, () -> take(next));
          }
        });
  }

  /** Keeps the announcement; one that is gone is made anew, and meanwhile nothing can be raised. */
  private void renew() {
    if (lease == 0) {
      return;
    }
    long mine = lease;
    state.call(
        StateClient.Rank.LEADERSHIP,
        "POST",
        Wire.PATH_LEASES + "/" + mine + Wire.END_RENEW,
        Body.of().with(Wire.TTL_MS, rules.lease().ms()),
        0,
        TRY,
        a -> {
          if (!cancelled() && a.status() == 404 && mine == lease) {
            lease = 0;
            entrance.lapsed();
            take(new Entrance.Step.Read());
          }
        });
  }

  private void follow(Stamp seen) {
    state.watch(
        Keys.ACTIVE,
        seen.number(),
        HOLD,
        a -> {
          if (cancelled() || active == null || !active.version().equals(seen)) {
            return;
          }
          // Whatever it said: the record itself tells.
          loop.after(
              a.ok() ? Span.millis(0) : AGAIN,
              this,
              () ->
                  read(
                      all -> {
                        if (!cancelled()) {
                          take(
                              all == null
                                  ? new Entrance.Step.Act(active)
                                  : entrance.read(all.active(), all.announcedBy(self.host)));
                        }
                      }));
        });
  }

  /** The leader looks whether all have what is new, seldom when all use what this build knows. */
  private void lead() {
    boolean nothingNew = active != null && active.used().equals(self.build.to());
    loop.after(nothingNew ? LEADER_LOOKS_SELDOM : LEADER_LOOKS, this, this::lead);
    if (office == null || active == null) {
      return;
    }
    Office mine = office;
    read(
        all -> {
          if (cancelled() || all == null || mine != office) {
            return;
          }
          Raising.View view =
              new Raising.View(
                  all.active(),
                  all.announced(),
                  self.configured,
                  mine.unwell.get(),
                  mine.untouched && all.active().version().equals(Stamp.ABSENT));
          Raising.Outcome o = Raising.decide(rules, view, watch, loop.now());
          watch = o.watch();
          if (o.decision() instanceof Raising.Decision.Hold hold) {
            tell(hold.why());
          } else if (o.decision() instanceof Raising.Decision.Write write) {
            write(mine, all.active(), write);
          }
        });
  }

  private void write(Office mine, Active before, Raising.Decision.Write write) {
    Txn txn = mine.guarded.get().guard(Keys.ACTIVE, before.version());
    for (Map.Entry<String, Stamp> e : write.announced().entrySet()) {
      txn.guard(Keys.ANNOUNCED + e.getKey(), e.getValue());
    }
    state.commit(
        StateClient.Rank.LEADERSHIP,
        txn.put(Keys.ACTIVE, LevelRecords.encode(write.next())),
        TRY,
        a -> {
          Level raised = write.next().raised();
          LOG.info(
              "level {} raised, {} used: {}",
              raised,
              write.next().used(),
              a.ok() ? "written" : "not confirmed, status " + a.status());
        });
  }
}
