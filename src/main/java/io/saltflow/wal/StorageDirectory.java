package io.saltflow.wal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * A directory of files with the durability guarantees of a file system: contents survive a crash
 * only after the file was synced, and names only after the directory was synced.
 */
public interface StorageDirectory {
  /** Returns the sorted names of the files. */
  List<String> fileNames() throws IOException;

  /** Returns the size of a file in bytes. */
  long size(String name) throws IOException;

  /** Reads up to {@code maxBytes} bytes starting at an offset. */
  byte[] read(String name, long offset, int maxBytes) throws IOException;

  /** Appends to a file, creating it if it does not exist. */
  void append(String name, ByteBuffer bytes) throws IOException;

  /** Makes the contents of a file durable. */
  void sync(String name) throws IOException;

  /** Truncates a file to a size in bytes. */
  void truncate(String name, long size) throws IOException;

  /** Renames a file, atomically replacing an existing file with the new name. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file if it exists. */
  void delete(String name) throws IOException;

  /** Makes the names of the files durable. */
  void syncDirectory() throws IOException;
}
