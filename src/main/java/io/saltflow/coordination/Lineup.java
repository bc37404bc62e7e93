package io.saltflow.coordination;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Priority;
import io.saltflow.shares.Party;
import io.saltflow.shares.Turn;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Who is asked in which order in a round, and on which account. */
final class Lineup {
  /**
   * Of so many jobs of one class that stand together in the queue, those whose image a machine has
   * go first on it: a fetch takes a good part of a short run, and they hardly differ in rank.
   */
  private static final int LOOK_AHEAD = 16;

  /** Why a job is asked when it is. */
  enum Why {
    /** The order of the queue. */
    QUEUE,
    /** Urgent, in a class and team within their even share: before what is owed to others. */
    URGENT,
    /** Its class or team has waited for long and holds less than its least part. */
    OWED,
    /** It has waited for long and nothing of it has begun: one task of it, before what is owed. */
    FIRST
  }

  /** A job's place in the order. One job may have several, on different accounts. */
  static final class Entry {
    final Job job;
    final Why why;
    private final Party party;

    /** So many of its tasks may start on this account. */
    private int most;

    private Entry(Job job, Why why, Party party, int most) {
      this.job = job;
      this.why = why;
      this.party = party;
      this.most = most;
    }

    int most() {
      return most;
    }

    /** Whether room that is gathered on a machine for such entries is this one's to use. */
    boolean gathers() {
      return why == Why.OWED || why == Why.FIRST;
    }

    /** On whose account; null: nobody's. */
    Party party() {
      return party;
    }

    void given() {
      most--;
    }

    /** Whether one more task may start on this account. */
    boolean inTurn(LeastParts parts) {
      return switch (why) {
        case QUEUE -> true;
        case URGENT -> parts.belowEven(job);
        case OWED -> most > 0 && parts.owed(party);
        case FIRST -> most > 0 && job.waitsForItsFirst();
      };
    }
  }

  private Lineup() {}

  /**
   * Guarantees, then urgent work within an even share, then one task of each job that has waited
   * too long for its first, then what is owed, then the queue.
   */
  static List<Entry> of(
      List<Job> order,
      Set<JobId> guaranteed,
      List<Job> firsts,
      List<Turn> turns,
      Priority urgentFrom) {
    List<Entry> out = new ArrayList<>();
    if (!turns.isEmpty() || !firsts.isEmpty()) {
      Map<JobId, Job> byId = new HashMap<>();
      for (Job job : order) {
        byId.put(job.id(), job);
        if (guaranteed.contains(job.id())) {
          out.add(inQueue(job));
        } else if (job.priority().compareTo(urgentFrom) >= 0) {
          out.add(new Entry(job, Why.URGENT, null, Integer.MAX_VALUE));
        }
      }
      for (Job job : firsts) {
        out.add(new Entry(job, Why.FIRST, null, 1));
      }
      for (Turn turn : turns) {
        if (!guaranteed.contains(turn.job())) {
          out.add(new Entry(byId.get(turn.job()), Why.OWED, turn.party(), turn.most()));
        }
      }
    }
    for (Job job : order) {
      out.add(inQueue(job));
    }
    return out;
  }

  private static Entry inQueue(Job job) {
    return new Entry(job, Why.QUEUE, null, Integer.MAX_VALUE);
  }

  /** The end of those that may change places: the next few of one class in the queue. */
  static int alike(List<Entry> entries, int from) {
    Entry first = entries.get(from);
    int to = from + 1;
    while (first.why == Why.QUEUE
        && to < entries.size()
        && to - from < LOOK_AHEAD
        && entries.get(to).why == Why.QUEUE
        && entries.get(to).job.jobClass.equals(first.job.jobClass)) {
      to++;
    }
    return to;
  }
}
