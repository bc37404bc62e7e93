package io.saltflow.kvserver;

import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.raft.DurableLog;
import io.saltflow.raft.DurableState;
import io.saltflow.raft.Ready;
import io.saltflow.raft.Snapshot;
import io.saltflow.wal.StorageDirectory;
import io.saltflow.wal.WriteAheadLog;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;

/**
 * Stores a member's Raft state in a write-ahead log: an entry for each save, and a log snapshot
 * that holds the Raft snapshot in chunks followed by the rest of the Raft log. Saves are atomic and
 * durable: a save survives any crash once {@link #save} has returned, and an interrupted save is
 * recovered either completely or not at all.
 */
final class RaftStorage implements WriteAheadLog.ReplayHandler {
  private static final int CHUNK_BYTES = 64 * 1024;
  private static final long MAX_SEGMENT_BYTES = 16 << 20;

  private DurableLog durableLog;
  private WriteAheadLog log;
  private Snapshot recoveredSnapshot;
  private int recoveredBytes;

  private RaftStorage(List<String> members) {
    durableLog = new DurableLog(members);
  }

  /**
   * Opens the log and recovers the state, or creates a log in an empty directory.
   *
   * @param members the group's initial members
   * @param storeId the two halves of the store's identity, used if a log is created
   * @throws IOException if the state cannot be recovered
   */
  static RaftStorage open(StorageDirectory directory, List<String> members, long[] storeId)
      throws IOException {
    RaftStorage storage = new RaftStorage(members);
    storage.log = WriteAheadLog.open(directory, MAX_SEGMENT_BYTES, storeId[0], storeId[1], storage);
    return storage;
  }

  /** Returns the state that the node restarts from. */
  DurableState state() {
    return durableLog.state();
  }

  /** Returns messages for the operator about what recovery found and repaired. */
  List<String> recoveryNotes() {
    return log.recoveryNotes();
  }

  /** Makes a save durable. The same save may be retried after an exception. */
  void save(Ready.Save save) throws IOException {
    if (save.snapshot().index() <= durableLog.snapshotIndex()) {
      log.append(List.of(DurableLog.encode(save)));
      durableLog.apply(save);
      return;
    }
    DurableLog next = new DurableLog(durableLog.state());
    next.apply(save.snapshot());
    next.apply(save);
    writeSnapshot(save.snapshot(), next.encodeTail());
    durableLog = next;
  }

  private void writeSnapshot(Snapshot snapshot, byte[] tail) throws IOException {
    WriteAheadLog.SnapshotWriter out = log.beginSnapshot();
    out.append(List.of(DurableLog.encodeSnapshotHeader(snapshot)));
    for (int offset = 0; offset < snapshot.data().length; offset += CHUNK_BYTES) {
      int end = Math.min(snapshot.data().length, offset + CHUNK_BYTES);
      out.append(List.of(Arrays.copyOfRange(snapshot.data(), offset, end)));
    }
    out.append(List.of(tail));
    out.finish();
  }

  /** Checks whether the disk accepts writes again after a failed write. */
  void probe() throws IOException {
    log.probe();
  }

  /** Records for the next recovery that all earlier writes are durable. */
  void writeDurabilityMark() throws IOException {
    log.writeDurabilityMark();
  }

  @Override
  public void onSnapshotPart(byte[] part) throws IOException {
    try {
      if (recoveredSnapshot == null) {
        recoveredSnapshot = DurableLog.decodeSnapshotHeader(part);
        recoveredBytes = 0;
      } else if (recoveredBytes < recoveredSnapshot.data().length) {
        if (part.length > recoveredSnapshot.data().length - recoveredBytes) {
          throw new InvalidMessageException("Raft snapshot is longer than the size in its header");
        }
        System.arraycopy(part, 0, recoveredSnapshot.data(), recoveredBytes, part.length);
        recoveredBytes += part.length;
      } else {
        durableLog.apply(recoveredSnapshot);
        durableLog.apply(part);
      }
    } catch (InvalidMessageException exception) {
      throw incompatibleVersion(exception);
    }
  }

  @Override
  public void onSnapshotEnd(long nextSequence) throws IOException {
    if (recoveredSnapshot == null || durableLog.snapshotIndex() != recoveredSnapshot.index()) {
      throw new IOException("Raft snapshot is incomplete");
    }
    recoveredSnapshot = null;
  }

  @Override
  public void onEntry(long sequence, byte[] entry) throws IOException {
    try {
      durableLog.apply(entry);
    } catch (InvalidMessageException exception) {
      throw incompatibleVersion(exception);
    }
  }

  private static IOException incompatibleVersion(InvalidMessageException exception) {
    return new IOException(
        "Raft record was written by an incompatible version: " + exception.getMessage(), exception);
  }
}
