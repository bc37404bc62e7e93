package io.saltflow.bookkeeping;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import io.saltflow.transport.Loop;
import io.saltflow.transport.Routine;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls of jobs whose records this node has not seen: when many of them wait, all records are read
 * at once instead of up to three reads each. After a flood of small jobs, and after each takeover
 * of a load balancer's connections, single reads used the state service's whole rate for minutes,
 * and leaders lost their lease for it.
 *
 * <p>The list is asked for after the polls came, so a record that it has was there when they were
 * answered.
 */
final class FirstLooks extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(FirstLooks.class);

  /** So long they are collected. */
  private static final Span PACE = Span.millis(100);

  /** So far apart are two lists at least: each costs a request for some hundred records. */
  private static final Span LISTS = Span.seconds(1);

  /** Fewer are read one by one. */
  private static final int FEW = 8;

  private static final int MOST = 2000;

  /** Users wait 2 s for the answer to a poll: one that takes longer is refused before that. */
  private static final Span PATIENCE = Span.millis(1200);

  /** What becomes of a poll. */
  interface Asker {
    /** Its record was seen just now: it is live. */
    void live();

    /** Its record was not among the live ones, or is in a bundle: it is looked for by itself. */
    void alone();

    void unknown();
  }

  private final Loop loop;
  private final StateClient state;
  private final LiveCheck live;
  private Map<JobId, Asker> waiting = new LinkedHashMap<>();

  /** Those that the list under way is for. */
  private Map<JobId, Asker> read = new LinkedHashMap<>();

  private boolean planned;
  private boolean listing;
  private Time lastList = Time.LONG_AGO;

  FirstLooks(Routine parent, Loop loop, StateClient state, LiveCheck live) {
    super(parent);
    this.loop = loop;
    this.state = state;
    this.live = live;
  }

  void ask(JobId id, Asker then) {
    if (waiting.size() >= MOST || waiting.putIfAbsent(id, then) != null) {
      // The same job twice in a tenth of a second: whoever asks asks again.
      then.unknown();
      return;
    }
    plan(PACE);
    loop.after(PATIENCE, this, () -> giveUp(id, then));
  }

  private void giveUp(JobId id, Asker asker) {
    if (waiting.remove(id, asker) || read.remove(id, asker)) {
      asker.unknown();
    }
  }

  private void plan(Span in) {
    if (!planned && !listing) {
      planned = true;
      loop.after(in, this, this::flush);
    }
  }

  private void flush() {
    planned = false;
    Span since = loop.now().since(lastList);
    if (waiting.size() >= FEW && LISTS.longerThan(since)) {
      plan(LISTS.minus(since));
      return;
    }
    Map<JobId, Asker> some = waiting;
    waiting = new LinkedHashMap<>();
    if (some.size() < FEW) {
      some.values().forEach(Asker::alone);
      return;
    }
    listing = true;
    lastList = loop.now();
    read = some;
    state.list(StateClient.Rank.POLLS, Keys.LIVE, this::listed);
  }

  private void listed(StateClient.Listing listed) {
    listing = false;
    Map<JobId, Asker> some = read;
    read = new LinkedHashMap<>();
    if (listed == null) {
      some.values().forEach(Asker::unknown);
    } else {
      for (StateClient.Entry e : listed.entries()) {
        JobId own = JobStore.idOfLive(e.key());
        if (own != null) {
          live.seen(own, e.version());
          Asker asker = some.remove(own);
          if (asker != null) {
            asker.live();
          }
        } else {
          bundle(e);
        }
      }
      some.values().forEach(Asker::alone);
    }
    if (!waiting.isEmpty()) {
      plan(PACE);
    }
  }

  private void bundle(StateClient.Entry e) {
    try {
      for (JobId each : Bundles.decode(e.value()).keySet()) {
        if (!live.knows(each)) {
          live.seenIn(each, e.key(), e.version());
        }
      }
    } catch (BadMessage bad) {
      LOG.error("bundle {} can't be read: {}", e.key(), bad.getMessage());
    }
  }
}
