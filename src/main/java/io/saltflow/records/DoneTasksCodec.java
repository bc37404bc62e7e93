package io.saltflow.records;

import io.saltflow.protocol.InvalidMessageException;
import java.util.Arrays;
import java.util.Base64;
import java.util.BitSet;

/**
 * Encodes the set of a job's done tasks as text. The text starts with the number of consecutive
 * done tasks from the first task, followed by a plus sign and the bits of the remaining tasks in
 * Base64.
 */
public final class DoneTasksCodec {
  private static final Base64.Encoder BASE64 = Base64.getEncoder().withoutPadding();

  private DoneTasksCodec() {}

  /** Returns the maximum length of the text for a job with this number of tasks. */
  public static int maxLength(int tasks) {
    return 12 + (tasks + 5) / 6;
  }

  /**
   * Encodes done tasks in at most {@code maxLength} characters. If the set does not fit, its last
   * tasks are omitted.
   */
  public static String encode(BitSet done, int maxLength) {
    int first = done.nextClearBit(0);
    byte[] bits = done.get(first, Math.max(first, done.length())).toByteArray();
    int maxBytes = Math.max(0, (maxLength - 12) * 6 / 8);
    return first
        + "+"
        + BASE64.encodeToString(Arrays.copyOf(bits, Math.min(bits.length, maxBytes)));
  }

  /**
   * Decodes the done tasks of a job.
   *
   * @param tasks number of tasks that the job has
   * @throws InvalidMessageException if the text is malformed or names tasks that the job lacks
   */
  public static BitSet decode(String text, int tasks) throws InvalidMessageException {
    try {
      int plus = text.indexOf('+');
      int first = Integer.parseInt(text.substring(0, plus));
      BitSet rest = BitSet.valueOf(Base64.getDecoder().decode(text.substring(plus + 1)));
      if (first < 0 || first + rest.length() > tasks) {
        throw new InvalidMessageException("done tasks include tasks that the job does not have");
      }
      BitSet done = new BitSet();
      done.set(0, first);
      for (int i = rest.nextSetBit(0); i >= 0; i = rest.nextSetBit(i + 1)) {
        done.set(first + i);
      }
      return done;
    } catch (IllegalArgumentException | IndexOutOfBoundsException exception) {
      throw new InvalidMessageException("malformed text of done tasks");
    }
  }
}
