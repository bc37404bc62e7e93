package io.saltflow.agreement;

import io.saltflow.protocol.BadMessage;
import java.util.Arrays;

/**
 * What stands behind a signature, for one who has the key: it may be refused, and written again.
 */
public final class GroupTarget {
  static final GroupFrame FRAMES = new GroupFrame("g", new GroupKey(new byte[16]));

  private GroupTarget() {}

  public static void run(byte[] data) {
    try {
      Message m = FRAMES.read(data);
      byte[] again = FRAMES.encode(m);
      if (!Arrays.equals(again, FRAMES.encode(FRAMES.decode(again)))) {
        throw new IllegalStateException("not read as it was written");
      }
    } catch (BadMessage e) {
      // Refused, as it should be.
    }
  }
}
