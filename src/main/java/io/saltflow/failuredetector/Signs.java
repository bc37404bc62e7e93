package io.saltflow.failuredetector;

import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * Detects, on a follower, that the leader's process has ended before the leader's lease is over.
 * Several signs that don't depend on each other must agree: its system has closed the connection to
 * it and refuses new ones, it has said nothing since, and workers that it served turn up elsewhere.
 * Refused connections alone are none: a packet filter between controllers refuses them as well, and
 * so does a host without free sockets, but then the workers stay where they are.
 *
 * <p>A wrong verdict costs a takeover and breaks no rule ({@code docs/SAFETY.md}).
 */
public final class Signs {
  /** One refusal may be a burst that fills what waits to be accepted. */
  private static final int REFUSED = 2;

  /** One worker may have its own reason to look for another controller. */
  private static final int WORKERS = 2;

  /** Signs of so long ago say nothing of now: by then the lease is over anyway. */
  private static final Span LASTING = Span.seconds(6);

  private String leader;
  private Term term = Term.NONE;
  private Time lost = Time.NEVER;
  private int refused;
  private final Set<MachineId> workers = new HashSet<>();

  /** Somebody leads, or nobody: then the name is null. Signs of another say nothing of it. */
  public void leads(String name, Term of) {
    if (of.equals(term) && Objects.equals(name, leader)) {
      return;
    }
    leader = name;
    term = of;
    lost = Time.NEVER;
    forget();
  }

  private void forget() {
    refused = 0;
    workers.clear();
  }

  /** The connection to a sibling was closed from there. */
  public void linkLost(String sibling, Time now) {
    if (sibling.equals(leader)) {
      lost = now;
      forget();
    }
  }

  /** Its system refused another. */
  public void linkRefused(String sibling, Time now) {
    if (!sibling.equals(leader)) {
      return;
    }
    if (!suspects()) {
      // Its last beat was read after the end of the connection that it does not come by.
      lost = now;
      forget();
    }
    refused++;
  }

  /** It can be reached, or was heard. */
  public void alive(String sibling) {
    if (sibling.equals(leader)) {
      lost = Time.NEVER;
      forget();
    }
  }

  /** Whether it is of interest which workers come. */
  public boolean suspects() {
    return lost != Time.NEVER;
  }

  /**
   * A worker reported here.
   *
   * @param seen the highest token that it has seen
   */
  public void worker(MachineId id, Term seen) {
    // One that has just come up starts anywhere; one that knows this term was served in it.
    if (suspects() && seen.equals(term) && workers.size() < WORKERS) {
      workers.add(id);
    }
  }

  /** The leader whose process has ended; null: there is none, or too little speaks for it. */
  public String ended(Time now) {
    boolean fresh = suspects() && !now.since(lost).longerThan(LASTING);
    return fresh && refused >= REFUSED && workers.size() >= WORKERS ? leader : null;
  }
}
