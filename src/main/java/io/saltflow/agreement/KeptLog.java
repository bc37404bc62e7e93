package io.saltflow.agreement;

import io.saltflow.protocol.AvroInput;
import io.saltflow.protocol.AvroOutput;
import io.saltflow.protocol.BadMessage;
import java.util.ArrayList;
import java.util.List;

/**
 * What a node has written down, built up from one {@link Ready.Save} after another, with the form
 * of each on the disk ({@code kept.avsc}). It is told what is durable and says what a node begins
 * with.
 */
public final class KeptLog {
  private long term;
  private String vote;
  private Snapshot snapshot;
  private final List<Entry> entries = new ArrayList<>();

  /** A node that has written nothing down yet, of a group that begins with these. */
  public KeptLog(List<String> members) {
    snapshot = Snapshot.empty(members);
  }

  /** The same as is kept elsewhere, to go on from there. */
  public KeptLog(Kept kept) {
    term = kept.term();
    vote = kept.vote();
    snapshot = kept.snapshot();
    entries.addAll(kept.entries());
  }

  /** What a node begins with. */
  public Kept kept() {
    return new Kept(term, vote, snapshot, List.copyOf(entries));
  }

  /** Up to where there is a snapshot. */
  public long snapshotIndex() {
    return snapshot.index();
  }

  /** A record that came back from the disk. */
  public void apply(byte[] record) throws BadMessage {
    AvroInput in = new AvroInput(record);
    long itsTerm = EntryForm.natural(in.number());
    String itsVote = in.text();
    long from = EntryForm.natural(in.number());
    List<Entry> its = EntryForm.read(in, from);
    if (!in.atEnd() || itsTerm < term || from < snapshot.index() + 1 || from > last() + 1) {
      throw new BadMessage("a record that does not follow upon what is kept");
    }
    take(itsTerm, itsVote.isEmpty() ? null : itsVote, from, its);
  }

  /** What was written down by now, that snapshot aside. */
  public void apply(Ready.Save save) {
    take(save.term(), save.vote(), save.from(), save.entries());
  }

  private void take(long newTerm, String newVote, long from, List<Entry> its) {
    term = newTerm;
    vote = newVote;
    entries.subList((int) (from - snapshot.index() - 1), entries.size()).clear();
    entries.addAll(its);
  }

  private long last() {
    return snapshot.index() + entries.size();
  }

  /** Entries up to the snapshot's go; those behind it stay if they follow upon it. */
  public void apply(Snapshot next) {
    boolean follows =
        next.index() <= last()
            && next.index() > snapshot.index()
            && entries.get((int) (next.index() - snapshot.index() - 1)).term() == next.term();
    if (follows) {
      entries.subList(0, (int) (next.index() - snapshot.index())).clear();
    } else if (next.index() != snapshot.index()) {
      entries.clear();
    }
    snapshot = next;
  }

  /** Everything behind the snapshot as one record, for the end of a snapshot on the disk. */
  public byte[] rest() {
    return encode(new Ready.Save(term, vote, snapshot, snapshot.index() + 1, entries));
  }

  /** The record of a save. */
  public static byte[] encode(Ready.Save save) {
    return AvroOutput.bytes(
        out -> {
          out.writeLong(save.term());
          out.writeString(save.vote() == null ? "" : save.vote());
          out.writeLong(save.from());
          EntryForm.write(out, save.entries());
        });
  }

  /** The record that a snapshot begins with on the disk: all of it but its bytes. */
  public static byte[] head(Snapshot s) {
    return AvroOutput.bytes(
        out -> {
          out.writeLong(s.index());
          out.writeLong(s.term());
          EntryForm.writeTexts(out, s.members());
          out.writeInt(s.bytes().length);
        });
  }

  /** The snapshot that begins so; its bytes, of that length, are still to be filled in. */
  public static Snapshot headed(byte[] head) throws BadMessage {
    AvroInput in = new AvroInput(head);
    long index = EntryForm.natural(in.number());
    long itsTerm = EntryForm.natural(in.number());
    List<String> members = EntryForm.texts(in);
    int length = in.count();
    if (length < 0 || !in.atEnd()) {
      throw new BadMessage("a snapshot that does not begin as it should");
    }
    return new Snapshot(index, itsTerm, members, new byte[length]);
  }
}
