package io.saltflow.statestore;

import io.saltflow.journal.Disk;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A folder of the file system, for one process at a time. */
public final class FileDisk implements Disk, AutoCloseable {
  private static final String LOCK = "lock";

  private final Path folder;
  private final FileChannel lock;
  private final Map<String, FileChannel> open = new HashMap<>();

  private FileDisk(Path folder, FileChannel lock) {
    this.folder = folder;
    this.lock = lock;
  }

  /** Takes the folder, which comes to be if it is not there; an error when it can't be had. */
  public static FileDisk of(Path folder) throws IOException {
    try {
      Files.createDirectories(folder);
      FileChannel lock =
          FileChannel.open(
              folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      if (!locked(lock)) {
        lock.close();
        throw new IOException(folder + ": in use by another process");
      }
      return new FileDisk(folder, lock);
    } catch (FileSystemException e) {
      String reason = e.getReason() == null ? e.getClass().getSimpleName() : e.getReason();
      throw new IOException(e.getFile() + ": can't be used: " + reason, e);
    }
  }

  private static boolean locked(FileChannel file) throws IOException {
    try {
      FileLock l = file.tryLock();
      return l != null;
    } catch (OverlappingFileLockException e) {
      return false;
    }
  }

  /** A folder that is only read, whoever uses it. */
  static FileDisk reading(Path folder) throws IOException {
    if (!Files.isDirectory(folder)) {
      throw new IOException(folder + ": no such folder");
    }
    return new FileDisk(folder, null);
  }

  @Override
  public List<String> names() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.map(p -> p.getFileName().toString()).sorted().toList();
    }
  }

  @Override
  public long size(String name) throws IOException {
    return Files.size(folder.resolve(name));
  }

  @Override
  public byte[] read(String name, long from, int most) throws IOException {
    try (FileChannel in = FileChannel.open(folder.resolve(name), StandardOpenOption.READ)) {
      long there = Math.max(0, Math.min(most, in.size() - from));
      if (there > Integer.MAX_VALUE - 16) {
        throw new IOException(name + ": longer than can be read at once");
      }
      ByteBuffer out = ByteBuffer.allocate((int) there);
      while (out.hasRemaining() && in.read(out, from + out.position()) >= 0) {
        // Reads may come short.
      }
      return out.hasRemaining()
          ? java.util.Arrays.copyOf(out.array(), out.position())
          : out.array();
    }
  }

  private FileChannel channel(String name) throws IOException {
    FileChannel c = open.get(name);
    if (c == null) {
      c =
          FileChannel.open(
              folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      c.position(c.size());
      open.put(name, c);
    }
    return c;
  }

  private void close(String name) throws IOException {
    FileChannel c = open.remove(name);
    if (c != null) {
      c.close();
    }
  }

  @Override
  public void append(String name, ByteBuffer bytes) throws IOException {
    FileChannel c = channel(name);
    while (bytes.hasRemaining()) {
      c.write(bytes);
    }
  }

  @Override
  public void sync(String name) throws IOException {
    channel(name).force(false);
  }

  @Override
  public void truncate(String name, long size) throws IOException {
    FileChannel c = channel(name);
    c.truncate(size);
    c.position(size);
  }

  @Override
  public void rename(String from, String to) throws IOException {
    close(from);
    close(to);
    Files.move(
        folder.resolve(from),
        folder.resolve(to),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void delete(String name) throws IOException {
    close(name);
    Files.deleteIfExists(folder.resolve(name));
  }

  @Override
  public void syncNames() throws IOException {
    try (FileChannel dir = FileChannel.open(folder, StandardOpenOption.READ)) {
      dir.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    for (FileChannel c : open.values()) {
      c.close();
    }
    open.clear();
    if (lock != null) {
      lock.close();
    }
  }
}
