package io.saltflow.kvserver;

import io.saltflow.wal.StorageDirectory;
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

/** A file system directory that at most one process can open for writing at a time. */
public final class FileSystemDirectory implements StorageDirectory, AutoCloseable {
  private static final String LOCK_FILE = "lock";

  private final Path path;
  private final FileChannel lock;
  private final Map<String, FileChannel> openChannels = new HashMap<>();

  private FileSystemDirectory(Path path, FileChannel lock) {
    this.path = path;
    this.lock = lock;
  }

  /**
   * Opens and locks a directory, creating it if it does not exist.
   *
   * @throws IOException if the directory cannot be used or another process has it open
   */
  public static FileSystemDirectory open(Path path) throws IOException {
    try {
      Files.createDirectories(path);
      FileChannel lock =
          FileChannel.open(
              path.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      if (!tryLock(lock)) {
        lock.close();
        throw new IOException(path + ": in use by another process");
      }
      return new FileSystemDirectory(path, lock);
    } catch (FileSystemException exception) {
      String reason =
          exception.getReason() == null
              ? exception.getClass().getSimpleName()
              : exception.getReason();
      throw new IOException(exception.getFile() + ": cannot be used: " + reason, exception);
    }
  }

  private static boolean tryLock(FileChannel file) throws IOException {
    try {
      FileLock acquired = file.tryLock();
      return acquired != null;
    } catch (OverlappingFileLockException exception) {
      return false;
    }
  }

  /** Opens an existing directory for reading, without locking it. */
  static FileSystemDirectory openReadOnly(Path path) throws IOException {
    if (!Files.isDirectory(path)) {
      throw new IOException(path + ": no such directory");
    }
    return new FileSystemDirectory(path, null);
  }

  @Override
  public List<String> fileNames() throws IOException {
    try (Stream<Path> files = Files.list(path)) {
      return files.map(path -> path.getFileName().toString()).sorted().toList();
    }
  }

  @Override
  public long size(String name) throws IOException {
    return Files.size(path.resolve(name));
  }

  @Override
  public byte[] read(String name, long offset, int maxBytes) throws IOException {
    try (FileChannel in = FileChannel.open(path.resolve(name), StandardOpenOption.READ)) {
      long available = Math.max(0, Math.min(maxBytes, in.size() - offset));
      if (available > Integer.MAX_VALUE - 16) {
        throw new IOException(name + ": file is too large to be read at once");
      }
      ByteBuffer buffer = ByteBuffer.allocate((int) available);
      while (buffer.hasRemaining() && in.read(buffer, offset + buffer.position()) >= 0) {
        // A read may return fewer bytes than requested.
      }
      return buffer.hasRemaining()
          ? java.util.Arrays.copyOf(buffer.array(), buffer.position())
          : buffer.array();
    }
  }

  private FileChannel channel(String name) throws IOException {
    FileChannel channel = openChannels.get(name);
    if (channel == null) {
      channel =
          FileChannel.open(path.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      channel.position(channel.size());
      openChannels.put(name, channel);
    }
    return channel;
  }

  private void close(String name) throws IOException {
    FileChannel channel = openChannels.remove(name);
    if (channel != null) {
      channel.close();
    }
  }

  @Override
  public void append(String name, ByteBuffer bytes) throws IOException {
    FileChannel channel = channel(name);
    while (bytes.hasRemaining()) {
      channel.write(bytes);
    }
  }

  @Override
  public void sync(String name) throws IOException {
    channel(name).force(false);
  }

  @Override
  public void truncate(String name, long size) throws IOException {
    FileChannel channel = channel(name);
    channel.truncate(size);
    channel.position(size);
  }

  @Override
  public void rename(String from, String to) throws IOException {
    close(from);
    close(to);
    Files.move(
        path.resolve(from),
        path.resolve(to),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void delete(String name) throws IOException {
    close(name);
    Files.deleteIfExists(path.resolve(name));
  }

  @Override
  public void syncDirectory() throws IOException {
    try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    for (FileChannel channel : openChannels.values()) {
      channel.close();
    }
    openChannels.clear();
    if (lock != null) {
      lock.close();
    }
  }
}
