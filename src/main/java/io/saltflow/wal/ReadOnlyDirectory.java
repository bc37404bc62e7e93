package io.saltflow.wal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** A view of a directory that ignores all writes, so that recovery leaves the files unchanged. */
public final class ReadOnlyDirectory implements StorageDirectory {
  private final StorageDirectory directory;

  /** Creates a view of a directory. */
  public ReadOnlyDirectory(StorageDirectory directory) {
    this.directory = directory;
  }

  @Override
  public List<String> fileNames() throws IOException {
    return directory.fileNames();
  }

  @Override
  public long size(String name) throws IOException {
    return directory.size(name);
  }

  @Override
  public byte[] read(String name, long offset, int maxBytes) throws IOException {
    return directory.read(name, offset, maxBytes);
  }

  @Override
  public void append(String name, ByteBuffer bytes) {}

  @Override
  public void sync(String name) {}

  @Override
  public void truncate(String name, long size) {}

  @Override
  public void rename(String from, String to) {}

  @Override
  public void delete(String name) {}

  @Override
  public void syncDirectory() {}
}
