package io.saltflow.wal;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A record of entries that are written together. Its encoding starts with the length and a CRC-32C
 * that covers the length and the contents.
 *
 * @param durableUpTo the last sequence number that was durable when the record was written
 * @param firstSequence the sequence number of the first entry
 */
record LogRecord(long durableUpTo, long firstSequence, List<byte[]> entries) {
  private static final int PREFIX_BYTES = 8;
  private static final int FIXED_BYTES = 8 + 8 + 4;
  private static final int MAX_BYTES = 64 << 20;

  /** Returns the sequence number that follows the last entry. */
  long nextSequence() {
    return firstSequence + entries.size();
  }

  /**
   * Encodes the record.
   *
   * @param salt specific to the store, so that no stored value can contain a valid record
   */
  ByteBuffer encode(long salt) {
    int length = size() - PREFIX_BYTES;
    ByteBuffer out = ByteBuffer.allocate(PREFIX_BYTES + length);
    out.putInt(length).putInt(0).putLong(durableUpTo).putLong(firstSequence).putInt(entries.size());
    for (byte[] entry : entries) {
      out.putInt(entry.length).put(entry);
    }
    out.putInt(4, crc(out.array(), 0, length, salt));
    return out.flip();
  }

  /** Returns the checksum. It covers the length so that bit flips in it are detected. */
  private static int crc(byte[] bytes, int offset, int length, long salt) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(8).putLong(salt).flip());
    crc.update(bytes, offset, 4);
    crc.update(bytes, offset + PREFIX_BYTES, length);
    return (int) crc.getValue();
  }

  /** Decodes the record at an offset, or returns {@code null} if there is no valid record. */
  static LogRecord decodeAt(byte[] bytes, int offset, long salt) {
    if (bytes.length - offset < PREFIX_BYTES + FIXED_BYTES) {
      return null;
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    in.position(offset);
    int length = in.getInt();
    int checksum = in.getInt();
    if (length < FIXED_BYTES
        || length > MAX_BYTES
        || length > bytes.length - offset - PREFIX_BYTES) {
      return null;
    }
    if (crc(bytes, offset, length, salt) != checksum) {
      return null;
    }
    long durable = in.getLong();
    long first = in.getLong();
    int count = in.getInt();
    List<byte[]> entries = new ArrayList<>(Math.min(count, 1024));
    for (int i = 0; i < count; i++) {
      byte[] entry = new byte[in.getInt()];
      in.get(entry);
      entries.add(entry);
    }
    return new LogRecord(durable, first, entries);
  }

  /** Returns the size of the encoded record in bytes. */
  int size() {
    int size = PREFIX_BYTES + FIXED_BYTES;
    for (byte[] entry : entries) {
      size += 4 + entry.length;
    }
    return size;
  }
}
