package io.saltflow.model;

import java.math.BigInteger;
import java.nio.ByteBuffer;

/** A job's id, chosen by its user: {@code req-} followed by digits. */
public record JobId(String text) implements Comparable<JobId> {
  /** Prefix of every id. */
  public static final String PREFIX = "req-";

  private static final int MAX_LENGTH = 64;
  private static final int BITS = 128;

  /** Returns the id that encodes 128 bits; equal bits give equal ids. */
  public static JobId of(long high, long low) {
    byte[] bytes = ByteBuffer.allocate(BITS / 8).putLong(high).putLong(low).array();
    // Setting a bit above the others keeps all ids the same length.
    return new JobId(PREFIX + new BigInteger(1, bytes).setBit(BITS));
  }

  /** Returns whether a text has the form of an id. */
  public static boolean valid(String text) {
    if (!text.startsWith(PREFIX) || text.length() > MAX_LENGTH) {
      return false;
    }
    for (int i = PREFIX.length(); i < text.length(); i++) {
      char digit = text.charAt(i);
      if (digit < '0' || digit > '9') {
        return false;
      }
    }
    return text.length() > PREFIX.length();
  }

  @Override
  public int compareTo(JobId other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
