package io.saltflow.statestore;

import io.saltflow.journal.Disk;
import io.saltflow.journal.Journal;
import io.saltflow.kv.KeyStore;
import io.saltflow.kv.Step;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Time;
import java.io.IOException;

/** Reads a journal into a store. */
final class Contents implements Journal.Reader {
  private final KeyStore store;
  private final Time now;
  private long epoch;

  private Contents(KeyStore store, Time now) {
    this.store = store;
    this.now = now;
  }

  /**
   * Opens a journal, and brings the store to where it ended.
   *
   * @param identity of a store that begins now
   */
  static Journal open(Disk disk, long mostSegment, long[] identity, KeyStore store, Time now)
      throws IOException {
    Contents c = new Contents(store, now);
    return Journal.open(disk, mostSegment, identity[0], identity[1], c);
  }

  static Step step(byte[] bytes) throws IOException {
    try {
      return Step.decode(bytes);
    } catch (BadMessage e) {
      throw new IOException("a record of another version: " + e.getMessage(), e);
    }
  }

  @Override
  public void part(byte[] part) throws IOException {
    Step s = step(part);
    // Keys come by name, each with the revision of its own last change.
    epoch = Math.max(epoch, s.epoch());
    store.apply(s, now);
  }

  @Override
  public void snapshotRead(long next) {
    store.restored(epoch);
  }

  @Override
  public void entry(long number, byte[] entry) throws IOException {
    store.apply(step(entry), now);
  }
}
