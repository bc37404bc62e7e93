package io.saltflow.statestore;

import io.saltflow.agreement.Kept;
import io.saltflow.agreement.KeptLog;
import io.saltflow.agreement.Ready;
import io.saltflow.agreement.Snapshot;
import io.saltflow.journal.Disk;
import io.saltflow.journal.Journal;
import io.saltflow.protocol.BadMessage;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;

/**
 * What a node of a group writes down, in a journal: an entry for each save, and the group's
 * snapshot in parts together with what of the log is behind it. When {@link #save} has returned,
 * all of it is there after any crash; when it was interrupted, all of it or none.
 */
final class GroupBooks implements Journal.Reader {
  private static final int PART_BYTES = 64 * 1024;
  private static final long MOST_SEGMENT = 16 << 20;

  private KeptLog log;
  private Journal journal;
  private Snapshot arriving;
  private int arrived;

  private GroupBooks(List<String> members) {
    log = new KeptLog(members);
  }

  /**
   * Opens what a former process left, or begins.
   *
   * @param members of the group when it began
   * @param identity of a journal that begins now
   */
  static GroupBooks open(Disk disk, List<String> members, long[] identity) throws IOException {
    GroupBooks books = new GroupBooks(members);
    books.journal = Journal.open(disk, MOST_SEGMENT, identity[0], identity[1], books);
    return books;
  }

  /** What the node begins with. */
  Kept kept() {
    return log.kept();
  }

  /** What opening found, in sentences. */
  List<String> notes() {
    return journal.notes();
  }

  /** Makes it durable. It may throw, and then may be tried again, whole. */
  void save(Ready.Save save) throws IOException {
    if (save.snapshot().index() <= log.snapshotIndex()) {
      journal.append(List.of(KeptLog.encode(save)));
      log.apply(save);
      return;
    }
    KeptLog next = new KeptLog(log.kept());
    next.apply(save.snapshot());
    next.apply(save);
    write(save.snapshot(), next.rest());
    log = next;
  }

  private void write(Snapshot s, byte[] rest) throws IOException {
    Journal.Snapshot out = journal.snapshot();
    out.part(List.of(KeptLog.head(s)));
    for (int at = 0; at < s.bytes().length; at += PART_BYTES) {
      int to = Math.min(s.bytes().length, at + PART_BYTES);
      out.part(List.of(Arrays.copyOfRange(s.bytes(), at, to)));
    }
    out.part(List.of(rest));
    out.done();
  }

  /** After a write failed: whether the disk takes something again. */
  void mend() throws IOException {
    journal.mend();
  }

  /** When nothing else comes: tells what is durable, for the next opening. */
  void mark() throws IOException {
    journal.mark();
  }

  @Override
  public void part(byte[] part) throws IOException {
    try {
      if (arriving == null) {
        arriving = KeptLog.headed(part);
        arrived = 0;
      } else if (arrived < arriving.bytes().length) {
        if (part.length > arriving.bytes().length - arrived) {
          throw new BadMessage("a snapshot longer than it says");
        }
        System.arraycopy(part, 0, arriving.bytes(), arrived, part.length);
        arrived += part.length;
      } else {
        log.apply(arriving);
        log.apply(part);
      }
    } catch (BadMessage e) {
      throw otherVersion(e);
    }
  }

  @Override
  public void snapshotRead(long next) throws IOException {
    if (arriving == null || log.snapshotIndex() != arriving.index()) {
      throw new IOException("a group's snapshot that ends too early");
    }
    arriving = null;
  }

  @Override
  public void entry(long number, byte[] entry) throws IOException {
    try {
      log.apply(entry);
    } catch (BadMessage e) {
      throw otherVersion(e);
    }
  }

  private static IOException otherVersion(BadMessage e) {
    return new IOException("a group's record of another version: " + e.getMessage(), e);
  }
}
