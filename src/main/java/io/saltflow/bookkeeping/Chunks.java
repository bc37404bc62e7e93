package io.saltflow.bookkeeping;

import io.saltflow.protocol.BadMessage;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Bytes packed into texts that each fit in a value of the state service, so many at the most in one
 * transaction. It learns how well what it packs can be packed.
 */
public final class Chunks {
  /** A transaction's limit in the protocol, less its frame. */
  private static final int MOST_TXN = 62 * 1024;

  /** The other fields of a value. */
  private static final int FIELDS = 160;

  private static final int MOST_UNPACKED = 64 << 20;
  private static final double MOST_PACKED = 0.2;

  private final StateLimits limits;
  private double ratio = 1;

  public Chunks(StateLimits limits) {
    this.limits = limits;
  }

  private int valueBytes() {
    return Math.min(limits.valueBytes(), MOST_TXN);
  }

  private int textBytes() {
    return (valueBytes() - FIELDS) / 4 * 4;
  }

  /** The most texts of one transaction. */
  int most() {
    return Math.max(1, Math.min(limits.operations(), MOST_TXN / valueBytes()));
  }

  /** Bytes that one text holds, packed. */
  private int bytesEach() {
    return textBytes() / 4 * 3;
  }

  /** What certainly fits in one transaction, however badly it packs. */
  public int certainBytes() {
    return bytesEach() * most() - 64;
  }

  /** About how many bytes so many texts will hold. */
  int wantedBytes(int texts) {
    return (int) (bytesEach() * Math.min(texts, most()) * 0.9 / Math.max(MOST_PACKED, ratio));
  }

  List<String> split(byte[] bytes) {
    byte[] packed = pack(bytes);
    double now = packed.length / (double) Math.max(1, bytes.length);
    // What packs worse is believed at once, what packs better by and by.
    ratio = Math.min(1, now > ratio ? now : ratio * 0.8 + now * 0.2);
    String text = Base64.getEncoder().encodeToString(packed);
    List<String> out = new ArrayList<>();
    int textBytes = textBytes();
    for (int from = 0; from < text.length(); from += textBytes) {
      out.add(text.substring(from, Math.min(text.length(), from + textBytes)));
    }
    return out;
  }

  private static byte[] pack(byte[] bytes) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
    try {
      deflater.setInput(bytes);
      deflater.finish();
      byte[] out = new byte[bytes.length + 64];
      int n = 0;
      while (!deflater.finished()) {
        if (n == out.length) {
          out = Arrays.copyOf(out, n * 2);
        }
        n += deflater.deflate(out, n, out.length - n);
      }
      return Arrays.copyOf(out, n);
    } finally {
      deflater.end();
    }
  }

  byte[] join(List<String> parts) throws BadMessage {
    Inflater inflater = new Inflater(true);
    try {
      inflater.setInput(Base64.getDecoder().decode(String.join("", parts)));
      byte[] out = new byte[1 << 16];
      int n = 0;
      while (!inflater.finished()) {
        int more = inflater.inflate(out, n, out.length - n);
        n += more;
        if (more == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
          throw new BadMessage("a batch is cut short");
        }
        if (n == out.length) {
          if (n >= MOST_UNPACKED) {
            throw new BadMessage("a batch is larger than any can be");
          }
          out = Arrays.copyOf(out, n * 2);
        }
      }
      return Arrays.copyOf(out, n);
    } catch (DataFormatException | IllegalArgumentException e) {
      throw new BadMessage("a batch is not packed as it should be");
    } finally {
      inflater.end();
    }
  }
}
