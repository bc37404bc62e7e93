package io.saltflow.wal;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * An in-memory directory that simulates crashes, full disks and failed syncs. After a crash,
 * unsynced blocks may be lost and unsynced changes of names may be undone.
 */
public final class SimulatedDirectory implements StorageDirectory {
  private static final int BLOCK_BYTES = 64;

  /** Simulates a crash of the machine. */
  public static final class Crash extends RuntimeException {
    Crash() {
      super("crash", null, false, false);
    }
  }

  private static final class SimulatedFile {
    byte[] content = new byte[0];
    byte[] syncedContent = new byte[0];
  }

  private Map<String, SimulatedFile> names = new TreeMap<>();
  private Map<String, SimulatedFile> syncedFiles = new TreeMap<>();

  /** Number of operations after which the machine crashes, or negative for no crash. */
  public int crashAfter = -1;

  /** Capacity in bytes, beyond which appends fail. */
  public long capacity = Long.MAX_VALUE;

  /** Whether syncs fail. */
  boolean failSyncs;

  /** Whether syncs of files have no effect, as an injected fault. */
  boolean skipSyncs;

  /** Whether syncs of the directory have no effect, as an injected fault. */
  boolean skipDirectorySyncs;

  /** Number of operations that changed or synced files so far. */
  public int operations;

  private void countOperation() {
    operations++;
    if (crashAfter >= 0 && operations > crashAfter) {
      throw new Crash();
    }
  }

  private SimulatedFile file(String name) throws IOException {
    SimulatedFile file = names.get(name);
    if (file == null) {
      throw new FileNotFoundException(name);
    }
    return file;
  }

  @Override
  public List<String> fileNames() {
    return new ArrayList<>(names.keySet());
  }

  @Override
  public long size(String name) throws IOException {
    return file(name).content.length;
  }

  @Override
  public byte[] read(String name, long offset, int maxBytes) throws IOException {
    byte[] content = file(name).content;
    int to = (int) Math.min(content.length, offset + (long) maxBytes);
    return offset >= content.length ? new byte[0] : Arrays.copyOfRange(content, (int) offset, to);
  }

  @Override
  public void append(String name, ByteBuffer bytes) throws IOException {
    countOperation();
    SimulatedFile file = names.computeIfAbsent(name, absent -> new SimulatedFile());
    long free = capacity - names.values().stream().mapToLong(other -> other.content.length).sum();
    int count = (int) Math.min(bytes.remaining(), Math.max(0, free));
    byte[] extended = Arrays.copyOf(file.content, file.content.length + count);
    boolean fits = count == bytes.remaining();
    bytes.get(extended, file.content.length, count);
    file.content = extended;
    if (!fits) {
      throw new IOException("No space left on device");
    }
  }

  @Override
  public void sync(String name) throws IOException {
    countOperation();
    if (failSyncs) {
      throw new IOException("Input/output error");
    }
    SimulatedFile file = file(name);
    file.syncedContent = skipSyncs ? file.syncedContent : file.content;
  }

  @Override
  public void truncate(String name, long size) throws IOException {
    countOperation();
    SimulatedFile file = file(name);
    file.content = Arrays.copyOf(file.content, (int) size);
  }

  @Override
  public void rename(String from, String to) throws IOException {
    countOperation();
    names.put(to, file(from));
    names.remove(from);
  }

  @Override
  public void delete(String name) {
    countOperation();
    names.remove(name);
  }

  @Override
  public void syncDirectory() throws IOException {
    countOperation();
    if (failSyncs) {
      throw new IOException("Input/output error");
    }
    syncedFiles = skipDirectorySyncs ? syncedFiles : new TreeMap<>(names);
  }

  /** Returns a directory with the contents that remain after a crash, chosen by the seed. */
  public SimulatedDirectory afterCrash(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    SimulatedDirectory next = new SimulatedDirectory();
    // Either all or none of the changes of names since the last sync survive.
    Map<String, SimulatedFile> surviving = random.nextBoolean() ? names : syncedFiles;
    surviving.forEach((name, file) -> next.names.put(name, contentAfterCrash(file, random)));
    next.syncedFiles = new TreeMap<>(next.names);
    return next;
  }

  private static SimulatedFile contentAfterCrash(SimulatedFile file, SplittableRandom random) {
    int kind = random.nextInt(3);
    byte[] bytes = kind == 0 ? file.syncedContent : file.content.clone();
    if (kind == 2) {
      // Any subset of the unsynced blocks survives, and any part of the new length.
      int common = Math.min(file.syncedContent.length, file.content.length);
      for (int position = common; position < bytes.length; position++) {
        if (position % BLOCK_BYTES == 0 || position == common) {
          if (random.nextBoolean()) {
            Arrays.fill(
                bytes,
                position,
                Math.min(bytes.length, (position / BLOCK_BYTES + 1) * BLOCK_BYTES),
                (byte) 0);
          }
        }
      }
      if (bytes.length > common) {
        bytes = Arrays.copyOf(bytes, common + random.nextInt(bytes.length - common + 1));
      }
      if (file.content.length < file.syncedContent.length && random.nextBoolean()) {
        // An unsynced truncation may be undone.
        bytes = file.syncedContent;
      }
    }
    SimulatedFile out = new SimulatedFile();
    out.content = bytes;
    out.syncedContent = bytes;
    return out;
  }

  /** Flips a bit of a file, both in its current and in its synced content. */
  void flipBit(String name, int position, int bit) {
    names.get(name).content[position] ^= (byte) (1 << bit);
    names.get(name).syncedContent = names.get(name).content;
  }

  SimulatedDirectory copy() {
    SimulatedDirectory copy = new SimulatedDirectory();
    names.forEach(
        (name, file) -> {
          SimulatedFile fileCopy = new SimulatedFile();
          fileCopy.content = file.content.clone();
          fileCopy.syncedContent = fileCopy.content;
          copy.names.put(name, fileCopy);
        });
    copy.syncedFiles = new TreeMap<>(copy.names);
    return copy;
  }
}
