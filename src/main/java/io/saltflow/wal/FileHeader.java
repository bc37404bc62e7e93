package io.saltflow.wal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The header of a segment, snapshot or backup file.
 *
 * @param storeIdHigh the first half of the store's identity; files of another store are rejected
 * @param firstSequence the sequence number of a segment's first entry, or of the first entry that a
 *     snapshot does not include
 */
record FileHeader(String kind, long storeIdHigh, long storeIdLow, long firstSequence) {
  static final int BYTES = 8 + 8 + 8 + 8 + 4;
  static final String SEGMENT = "SALTLOG1";
  static final String SNAPSHOT = "SALTSNP1";

  /** Returns the salt for the checksums of the file's records. */
  long salt() {
    return storeIdHigh * 31 + storeIdLow;
  }

  ByteBuffer encode() {
    ByteBuffer out = ByteBuffer.allocate(BYTES);
    out.put(kind.getBytes(StandardCharsets.US_ASCII))
        .putLong(storeIdHigh)
        .putLong(storeIdLow)
        .putLong(firstSequence);
    return out.putInt(crc(out.array())).flip();
  }

  private static int crc(byte[] bytes) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, 0, BYTES - 4);
    return (int) crc.getValue();
  }

  /** Decodes a header, or returns {@code null} if it is not valid. */
  static FileHeader decode(byte[] bytes) {
    if (bytes.length < BYTES) {
      return null;
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    byte[] kind = new byte[8];
    in.get(kind);
    FileHeader header =
        new FileHeader(
            new String(kind, StandardCharsets.US_ASCII), in.getLong(), in.getLong(), in.getLong());
    return in.getInt() == crc(bytes) ? header : null;
  }
}
