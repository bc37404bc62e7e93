package io.saltflow.store;

import io.saltflow.protocol.InvalidMessageException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses bytes into texts (DEFLATE, Base64) that each fit in a value of the key-value store,
 * and decompresses them. Tracks the compression ratio to estimate how many bytes fit in one
 * transaction.
 */
public final class CompressedValues {
  /** The protocol's size limit of a transaction less its framing. */
  private static final int MAX_TRANSACTION_BYTES = 62 * 1024;

  /** Reserved for the other fields of a value. */
  private static final int OTHER_FIELDS_BYTES = 160;

  /** Upper bound of the bytes that DEFLATE adds to incompressible input. */
  private static final int DEFLATE_OVERHEAD_BYTES = 64;

  private static final int MAX_DECOMPRESSED_BYTES = 64 << 20;
  private static final double MIN_COMPRESSION_RATIO = 0.2;

  /** Weight of the latest ratio if it is better than the previous ones. */
  private static final double LATEST_RATIO_WEIGHT = 0.2;

  private static final double PREVIOUS_RATIO_WEIGHT = 0.8;

  /** Fraction of the estimated capacity that is used, because compression ratios vary. */
  private static final double USED_ESTIMATE_FRACTION = 0.9;

  private final StoreLimits limits;
  private double compressionRatio = 1;

  /** Creates a compressor that reads the current limits for each batch. */
  public CompressedValues(StoreLimits limits) {
    this.limits = limits;
  }

  private int maxValueBytes() {
    return Math.min(limits.maxValueBytes(), MAX_TRANSACTION_BYTES);
  }

  private int maxTextBytes() {
    return (maxValueBytes() - OTHER_FIELDS_BYTES) / 4 * 4;
  }

  /** Returns the maximum number of texts in one transaction. */
  public int maxValuesPerTransaction() {
    return Math.max(1, Math.min(limits.maxOperations(), MAX_TRANSACTION_BYTES / maxValueBytes()));
  }

  private int compressedBytesPerValue() {
    return maxTextBytes() / 4 * 3;
  }

  /** Returns the number of bytes that fit in one transaction even if they do not compress. */
  public int guaranteedBytes() {
    return compressedBytesPerValue() * maxValuesPerTransaction() - DEFLATE_OVERHEAD_BYTES;
  }

  /** Estimates how many bytes fit in this number of texts, using the recent compression ratio. */
  public int expectedBytes(int values) {
    return (int)
        (compressedBytesPerValue()
            * Math.min(values, maxValuesPerTransaction())
            * USED_ESTIMATE_FRACTION
            / Math.max(MIN_COMPRESSION_RATIO, compressionRatio));
  }

  /** Compresses bytes into texts, whose order is significant. */
  public List<String> compress(byte[] bytes) {
    byte[] compressed = deflate(bytes);
    double latestRatio = compressed.length / (double) Math.max(1, bytes.length);
    // A worse ratio takes effect immediately, a better one gradually.
    compressionRatio =
        Math.min(
            1,
            latestRatio > compressionRatio
                ? latestRatio
                : compressionRatio * PREVIOUS_RATIO_WEIGHT + latestRatio * LATEST_RATIO_WEIGHT);
    String text = Base64.getEncoder().encodeToString(compressed);
    List<String> texts = new ArrayList<>();
    int maxTextBytes = maxTextBytes();
    for (int from = 0; from < text.length(); from += maxTextBytes) {
      texts.add(text.substring(from, Math.min(text.length(), from + maxTextBytes)));
    }
    return texts;
  }

  private static byte[] deflate(byte[] bytes) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
    try {
      deflater.setInput(bytes);
      deflater.finish();
      byte[] compressed = new byte[bytes.length + DEFLATE_OVERHEAD_BYTES];
      int length = 0;
      while (!deflater.finished()) {
        if (length == compressed.length) {
          compressed = Arrays.copyOf(compressed, length * 2);
        }
        length += deflater.deflate(compressed, length, compressed.length - length);
      }
      return Arrays.copyOf(compressed, length);
    } finally {
      deflater.end();
    }
  }

  /**
   * Restores the bytes from all of their texts, in order.
   *
   * @throws InvalidMessageException if the texts were not produced by {@link #compress}
   */
  public byte[] decompress(List<String> texts) throws InvalidMessageException {
    Inflater inflater = new Inflater(true);
    try {
      inflater.setInput(Base64.getDecoder().decode(String.join("", texts)));
      byte[] bytes = new byte[1 << 16];
      int length = 0;
      while (!inflater.finished()) {
        int inflated = inflater.inflate(bytes, length, bytes.length - length);
        length += inflated;
        if (inflated == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
          throw new InvalidMessageException("compressed batch is truncated");
        }
        if (length == bytes.length) {
          if (length >= MAX_DECOMPRESSED_BYTES) {
            throw new InvalidMessageException(
                "compressed batch exceeds the maximum decompressed size");
          }
          bytes = Arrays.copyOf(bytes, length * 2);
        }
      }
      return Arrays.copyOf(bytes, length);
    } catch (DataFormatException | IllegalArgumentException exception) {
      throw new InvalidMessageException("compressed batch is not valid Base64 or DEFLATE data");
    } finally {
      inflater.end();
    }
  }
}
