package io.saltflow.bookkeeping;

import io.saltflow.coordination.Authority;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Elects one leader through the state service: a key under a lease, and a counter of terms that is
 * raised in the same transaction. Whoever puts the key leads until its lease may have ended.
 */
public final class Leadership extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
  private static final String HOST = "host";
  private static final String NUMBER = "term";
  private static final String NONCE = "nonce";
  private static final String AGAIN = "again";
  private static final String SINCE = "since";

  /**
   * The holder looks at its key with each renewal. A build that does not would not notice that its
   * office is another's while its own lease lives, and would keep workers that are held to be over.
   */
  private static final String LOOKS = "looks";

  /** A term that lasted so long was no vain one: the host may take its own key over anew. */
  private static final Span NOT_IN_VAIN = Span.seconds(30);

  /** So many times in a row may a host take over its own dead key; then others have their turn. */
  private static final long MOST_AGAIN = 2;

  /** Longer than a sibling takes to be elected once the office is free. */
  private static final Span OTHERS_FIRST = Span.seconds(1);

  private static final Span TRY = Span.millis(1200);
  private static final Span HOLD = Span.seconds(8);

  /** What the node does when its standing changes. */
  public interface Listener {
    void elected();

    void deposed(String why);
  }

  private final Loop loop;
  private final StateClient state;
  private final String host;
  private final Span ttl;
  private final Authority authority;
  private final Listener listener;
  private final LongSupplier random;
  private final String nonce;
  private String leader;
  private Term leaderTerm = Term.NONE;
  private Time abstainUntil = Time.LONG_AGO;

  /** This host's processes ended again and again while they led: others go first, once. */
  private boolean wornOut;

  /** Counts the looks: what an earlier one still waits for says nothing any more. */
  private long looks;

  private long lease;
  private boolean renewing;
  private boolean standing;

  public Leadership(
      Routine parent,
      Loop loop,
      StateClient state,
      String host,
      Span ttl,
      Authority authority,
      LongSupplier random,
      Listener listener) {
    super(parent);
    this.loop = loop;
    this.state = state;
    this.host = host;
    this.ttl = ttl;
    this.authority = authority;
    this.random = random;
    this.listener = listener;
    this.nonce = host + "-" + Long.toHexString(random.getAsLong());
  }

  public void start() {
    look();
    loop.every(new Span(ttl.ms() / 5), this, this::renew);
  }

  /** The leader's name as last heard, or null. */
  public String leader() {
    return authority.leading() ? host : leader;
  }

  public Term leaderTerm() {
    return leaderTerm;
  }

  /** Told by a sibling: saves a wait when the state service is slow to say so. */
  public void heard(String name, Term term) {
    if (term.compareTo(leaderTerm) > 0) {
      leader = name;
      leaderTerm = term;
    }
  }

  private void later(Span delay, Runnable action) {
    loop.after(delay, this, action);
  }

  private Span jitter(long base, long spread) {
    return Span.millis(base + Math.floorMod(random.getAsLong(), spread));
  }

  /** Reads the leader's key; null: it can't be told. What an earlier look waits for is void. */
  private void readKey(Consumer<StateClient.Entry> then) {
    long mine = ++looks;
    state.get(
        StateClient.Rank.LEADERSHIP,
        Keys.LEADER,
        TRY,
        e -> {
          if (!authority.leading() && mine == looks) {
            then.accept(e);
          }
        });
  }

  /** Reads who leads; stands for election when nobody does. */
  private void look() {
    if (authority.leading() || standing) {
      return;
    }
    readKey(
        e -> {
          if (e == null) {
            later(jitter(300, 300), this::look);
          } else if (e.value() == null) {
            leader = null;
            if (wornOut) {
              wornOut = false;
              later(OTHERS_FIRST, this::look);
              return;
            }
            stand(Stamp.ABSENT, 0);
          } else if (e.value().get(NONCE) instanceof String n && n.startsWith(nonce + "/")) {
            // A key of ours that we no longer hold to: its lease will end by itself.
            leader = null;
            later(jitter(300, 200), this::look);
          } else if (mayReplace(e.value())) {
            // The key of a former process of this host, which has ended, or this one could not
            // serve here: there is no need to wait until its lease is over. Whatever it sent last
            // is fenced by the version of its key and by its token, as after any crash.
            leader = null;
            stand(e.version(), again(e.value()) + 1);
          } else {
            wornOut = host.equals(e.value().get(HOST));
            follow(e);
          }
        });
  }

  /** A host whose process ends again and again as a leader must not keep the office for ever. */
  private boolean mayReplace(Body key) {
    return host.equals(key.get(HOST)) && again(key) < MOST_AGAIN;
  }

  /** How often in a row a process of this host ended soon after it was elected. */
  private long again(Body key) {
    boolean lasted = key.get(SINCE) instanceof Long ms && loop.dayMs() - ms > NOT_IN_VAIN.ms();
    return !lasted && key.get(AGAIN) instanceof Long n ? n : 0;
  }

  private void follow(StateClient.Entry e) {
    if (e.value().get(HOST) instanceof String name && e.value().get(NUMBER) instanceof Long n) {
      if (!name.equals(leader)) {
        LOG.info("{} leads, term {}", name, n);
      }
      leader = name;
      leaderTerm = new Term(n);
    }
    watch(e.version().number(), looks);
  }

  private void watch(long after, long mine) {
    state.watch(
        Keys.LEADER,
        after,
        HOLD,
        a -> {
          if (authority.leading() || mine != looks) {
            return;
          }
          boolean quiet = false;
          try {
            quiet = a.ok() && a.body().maps(Wire.EVENTS).isEmpty();
          } catch (BadMessage bad) {
            LOG.error("watch of the leader's key: {}", bad.getMessage());
          }
          if (quiet) {
            watch(Math.max(after, a.revision()), mine);
          } else if (a.ok()) {
            look();
          } else {
            later(jitter(200, 200), this::look);
          }
        });
  }

  /**
   * The leader's process has ended by all signs: its key is replaced at its version, without
   * waiting for its lease. If it has not, it sees that its key is another's and leaves.
   */
  public void succeed(String gone) {
    if (authority.leading() || standing || !gone.equals(leader)) {
      return;
    }
    Term of = leaderTerm;
    readKey(
        e -> {
          boolean same =
              e != null
                  && e.value() != null
                  && gone.equals(e.value().get(HOST))
                  && Boolean.TRUE.equals(e.value().get(LOOKS))
                  && e.value().get(NUMBER) instanceof Long n
                  && n == of.number();
          if (same && !wornOut) {
            LOG.info(
                "{} has ended by all signs: its office is claimed before its lease is over", gone);
            stand(e.version(), 0);
          } else {
            look();
          }
        });
  }

  /** The leader's own key: as soon as it is another's, or gone, there is no office any more. */
  private void hold(Stamp mine, long after) {
    state.watch(
        Keys.LEADER,
        after,
        HOLD,
        a -> {
          if (!authority.leading() || !authority.stamp().equals(mine)) {
            return;
          }
          if (a.ok() && !touched(a)) {
            hold(mine, Math.max(after, a.revision()));
          } else if (a.ok() || a.status() == 410) {
            stepDown("its key is another's", Span.millis(0));
          } else {
            later(jitter(300, 200), () -> hold(mine, after));
          }
        });
  }

  private static boolean touched(StateClient.Answer a) {
    try {
      return !a.body().maps(Wire.EVENTS).isEmpty();
    } catch (BadMessage bad) {
      LOG.error("watch of the leader's key: {}", bad.getMessage());
      return false;
    }
  }

  /** Stands for election; the leader's key must still be of this version. */
  private void stand(Stamp key, long again) {
    if (loop.now().before(abstainUntil)) {
      later(jitter(500, 200), this::look);
      return;
    }
    standing = true;
    Time sent = loop.now();
    state.call(
        StateClient.Rank.LEADERSHIP,
        "POST",
        Wire.PATH_LEASES,
        Body.of().with(Wire.TTL_MS, ttl.ms()),
        0,
        TRY,
        a -> {
          if (a.ok() && a.body().get(Wire.LEASE) instanceof Long id) {
            readTerm(id, key, again, sent);
          } else {
            gaveUp(Span.millis(300));
          }
        });
  }

  private void readTerm(long newLease, Stamp key, long again, Time sent) {
    state.get(
        StateClient.Rank.LEADERSHIP,
        Keys.TERM,
        TRY,
        e -> {
          if (e == null) {
            gaveUp(Span.millis(300));
            return;
          }
          long last = e.value() != null && e.value().get(NUMBER) instanceof Long n ? n : 0;
          claim(newLease, new Term(last + 1), key, again, e.version(), sent);
        });
  }

  private void claim(
      long newLease, Term term, Stamp before, long again, Stamp termVersion, Time sent) {
    Body key =
        Body.of()
            .with(HOST, host)
            .with(NUMBER, term.number())
            .with(NONCE, nonce + "/" + term)
            .with(AGAIN, again)
            .with(SINCE, loop.dayMs())
            .with(LOOKS, true);
    Txn txn =
        new Txn()
            .guard(Keys.LEADER, before)
            .guard(Keys.TERM, termVersion)
            .put(Keys.LEADER, key, newLease)
            .put(Keys.TERM, Body.of().with(NUMBER, term.number()));
    state.commit(
        StateClient.Rank.LEADERSHIP,
        txn,
        TRY,
        a -> {
          if (a.ok()) {
            won(newLease, term, new Stamp(a.revision()), sent);
          } else if (a.status() == 0) {
            checkClaim(newLease, term, sent);
          } else {
            release(newLease);
            gaveUp(Span.millis(50));
          }
        });
  }

  /** The claim's answer was lost: whether it was carried out shows in the key. */
  private void checkClaim(long newLease, Term term, Time sent) {
    state.get(
        StateClient.Rank.LEADERSHIP,
        Keys.LEADER,
        TRY,
        e -> {
          if (e != null && e.value() != null && (nonce + "/" + term).equals(e.value().get(NONCE))) {
            won(newLease, term, e.version(), sent);
          } else {
            release(newLease);
            gaveUp(Span.millis(200));
          }
        });
  }

  private void gaveUp(Span pause) {
    standing = false;
    later(pause.plus(jitter(0, 150)), this::look);
  }

  private void won(long newLease, Term term, Stamp version, Time sent) {
    standing = false;
    lease = newLease;
    renewing = false;
    leader = host;
    leaderTerm = term;
    authority.won(term, version, sent);
    LOG.info("elected, term {}", term);
    hold(version, version.number());
    listener.elected();
  }

  private void renew() {
    if (!authority.leading() || renewing) {
      return;
    }
    renewing = true;
    Time sent = loop.now();
    long mine = lease;
    state.call(
        StateClient.Rank.LEADERSHIP,
        "POST",
        Wire.PATH_LEASES + "/" + mine + Wire.END_RENEW,
        Body.of().with(Wire.TTL_MS, ttl.ms()),
        0,
        new Span(Math.min(TRY.ms(), ttl.ms() / 4)),
        a -> {
          if (mine != lease || !authority.leading()) {
            renewing = false;
            return;
          }
          if (a.ok()) {
            confirm(mine, sent);
            return;
          }
          renewing = false;
          if (a.status() == 404) {
            stepDown("its lease has ended", Span.millis(0));
          }
        });
  }

  /**
   * A lease that is renewed says nothing of the key, which may have been replaced: only both
   * together count. So whatever rests on the last renewal ends as soon after a successor's claim as
   * it would after the end of the lease.
   */
  private void confirm(long mine, Time sent) {
    state.commit(
        StateClient.Rank.LEADERSHIP,
        new Txn().guard(Keys.LEADER, authority.stamp()),
        new Span(Math.min(TRY.ms(), ttl.ms() / 4)),
        a -> {
          renewing = false;
          if (mine != lease || !authority.leading()) {
            return;
          }
          if (a.ok()) {
            authority.renewed(sent);
          } else if (a.status() == 409) {
            stepDown("its key is another's", Span.millis(0));
          }
        });
  }

  /** Leaves office: the lease is released, and for a while others go first. */
  public void stepDown(String why, Span abstain) {
    if (!authority.leading()) {
      return;
    }
    LOG.info("steps down from term {}: {}", authority.term(), why);
    authority.lost();
    leader = null;
    abstainUntil = loop.now().plus(abstain);
    release(lease);
    lease = 0;
    listener.deposed(why);
    later(jitter(100, 100), this::look);
  }

  private void release(long id) {
    state.call(
        StateClient.Rank.LEADERSHIP,
        "DELETE",
        Wire.PATH_LEASES + "/" + id,
        null,
        0,
        TRY,
        a -> LOG.debug("lease {} released: {}", id, a.status()));
  }
}
