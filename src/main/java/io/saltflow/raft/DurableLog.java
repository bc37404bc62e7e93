package io.saltflow.raft;

import io.saltflow.protocol.AvroInput;
import io.saltflow.protocol.AvroOutput;
import io.saltflow.protocol.InvalidMessageException;
import java.util.List;

/**
 * The durable state of a node, accumulated from successive {@link Ready.Save}s, and the encoding of
 * its records on disk ({@code kept.avsc}). {@code kvserver.RaftStorage} writes the records.
 */
public final class DurableLog {
  private long term;
  private String votedFor;
  private final RaftLog log;

  /** Creates the empty log of a new group with these initial members. */
  public DurableLog(List<String> members) {
    log = new RaftLog(Snapshot.empty(members), List.of());
  }

  /** Creates a log that starts from a copy of this state. */
  public DurableLog(DurableState state) {
    term = state.term();
    votedFor = state.votedFor();
    log = new RaftLog(state.snapshot(), state.entries());
  }

  /** Returns the state that a node restarts from. */
  public DurableState state() {
    return new DurableState(term, votedFor, log.snapshot(), log.entries());
  }

  /** Returns the index of the last entry that the snapshot includes. */
  public long snapshotIndex() {
    return log.snapshot().index();
  }

  /**
   * Applies a record that was read from disk.
   *
   * @throws InvalidMessageException if it is malformed or does not continue the log
   */
  public void apply(byte[] record) throws InvalidMessageException {
    AvroInput in = new AvroInput(record);
    long newTerm = LogEntryCodec.checkRange(in.readLong());
    String newVote = in.readString();
    long firstIndex = LogEntryCodec.checkRange(in.readLong());
    List<LogEntry> newEntries = LogEntryCodec.read(in, firstIndex);
    if (!in.atEnd()
        || newTerm < term
        || firstIndex < log.firstIndex()
        || firstIndex > log.lastIndex() + 1) {
      throw new InvalidMessageException("record does not continue the durable log");
    }
    replaceFrom(newTerm, newVote.isEmpty() ? null : newVote, firstIndex, newEntries);
  }

  /** Applies a save that has become durable, except for its snapshot. */
  public void apply(Ready.Save save) {
    replaceFrom(save.term(), save.votedFor(), save.firstIndex(), save.entries());
  }

  private void replaceFrom(
      long newTerm, String newVote, long firstIndex, List<LogEntry> newEntries) {
    term = newTerm;
    votedFor = newVote;
    log.truncateFrom(firstIndex);
    newEntries.forEach(log::append);
  }

  /**
   * Replaces a prefix of the log by a newer snapshot. Later entries are kept if the log agrees with
   * the snapshot at its last index.
   */
  public void apply(Snapshot next) {
    log.compact(next);
  }

  /** Returns the encoded term, vote and entries after the snapshot, stored behind the snapshot. */
  public byte[] encodeTail() {
    return encode(new Ready.Save(term, votedFor, log.snapshot(), log.firstIndex(), log.entries()));
  }

  /** Returns the encoded record of a save, without its snapshot. */
  public static byte[] encode(Ready.Save save) {
    return AvroOutput.encode(
        out -> {
          out.writeLong(save.term());
          out.writeString(save.votedFor() == null ? "" : save.votedFor());
          out.writeLong(save.firstIndex());
          LogEntryCodec.write(out, save.entries());
        });
  }

  /** Returns the encoded snapshot without its data, which follows the header on disk. */
  public static byte[] encodeSnapshotHeader(Snapshot snapshot) {
    return AvroOutput.encode(
        out -> {
          out.writeLong(snapshot.index());
          out.writeLong(snapshot.term());
          LogEntryCodec.writeStrings(out, snapshot.members());
          out.writeInt(snapshot.data().length);
        });
  }

  /**
   * Decodes a snapshot's header. The returned snapshot's data has the final length, but the caller
   * must still fill it.
   *
   * @throws InvalidMessageException if it is malformed
   */
  public static Snapshot decodeSnapshotHeader(byte[] header) throws InvalidMessageException {
    AvroInput in = new AvroInput(header);
    long index = LogEntryCodec.checkRange(in.readLong());
    long snapshotTerm = LogEntryCodec.checkRange(in.readLong());
    List<String> members = LogEntryCodec.readStrings(in);
    int length = in.readInt();
    if (length < 0 || !in.atEnd()) {
      throw new InvalidMessageException("snapshot header is malformed");
    }
    return new Snapshot(index, snapshotTerm, members, new byte[length]);
  }
}
