package io.saltflow.raft;

import io.saltflow.protocol.InvalidMessageException;
import java.util.Arrays;

/** Fuzzes the decoding of authenticated frame bodies. A body is either rejected or round-trips. */
public final class RaftMessageFuzzTarget {
  static final RaftMessageCodec CODEC = new RaftMessageCodec("g", new GroupKey(new byte[16]));

  private RaftMessageFuzzTarget() {}

  /** Runs the target on one input. */
  public static void run(byte[] data) {
    try {
      RaftMessage message = CODEC.read(data);
      byte[] encoded = CODEC.encode(message);
      if (!Arrays.equals(encoded, CODEC.encode(CODEC.decode(encoded)))) {
        throw new IllegalStateException("re-encoded message differs after decoding");
      }
    } catch (InvalidMessageException exception) {
      // Malformed input is rejected.
    }
  }
}
