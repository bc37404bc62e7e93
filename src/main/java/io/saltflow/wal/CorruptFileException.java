package io.saltflow.wal;

import java.io.IOException;

/** Signals that durable data cannot be read, with the file and the offset of the corruption. */
public final class CorruptFileException extends IOException {
  private final String file;
  private final long offset;

  CorruptFileException(String file, long offset, String reason) {
    super(file + ": damaged at byte " + offset + ": " + reason);
    this.file = file;
    this.offset = offset;
  }

  /** Returns the corrupt file's name. */
  public String file() {
    return file;
  }

  /** Returns the offset of the first invalid byte. */
  public long offset() {
    return offset;
  }
}
