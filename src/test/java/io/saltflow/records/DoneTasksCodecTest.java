package io.saltflow.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.InvalidMessageException;
import java.util.BitSet;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the compact encoding of done tasks, which end in any order. */
class DoneTasksCodecTest {
  private static BitSet random(int tasks, double share) {
    SplitMix64 random = new SplitMix64(5);
    BitSet set = new BitSet();
    for (int i = 0; i < tasks; i++) {
      set.set(i, random.nextDouble() < share);
    }
    return set;
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 63, 64, 600, 1200})
  void encodedSetIsDecodedUnchanged(int tasks) throws InvalidMessageException {
    for (double share : new double[] {0, 0.1, 0.9, 1}) {
      BitSet done = random(tasks, share);
      String text = DoneTasksCodec.encode(done, DoneTasksCodec.maxLength(tasks));
      assertEquals(done, DoneTasksCodec.decode(text, tasks));
      assertTrue(text.length() <= DoneTasksCodec.maxLength(tasks), text);
    }
    assertTrue(DoneTasksCodec.maxLength(1200) < 220);
  }

  /** Tasks that do not fit into the encoding must count as not recorded, never as done. */
  @Test
  void oversizedSetIsTruncatedAtItsEnd() throws InvalidMessageException {
    BitSet done = random(100_000, 0.5);
    String text = DoneTasksCodec.encode(done, 3000);
    assertTrue(text.length() <= 3000, "length " + text.length());
    BitSet decoded = DoneTasksCodec.decode(text, 100_000);
    BitSet excess = (BitSet) decoded.clone();
    excess.andNot(done);
    assertTrue(excess.isEmpty());
    assertTrue(decoded.cardinality() > 8000, "decoded " + decoded.cardinality());
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "7", "x+", "-1+", "3+/w", "9+", "0+!"})
  void malformedTextIsRejected(String text) {
    assertThrows(InvalidMessageException.class, () -> DoneTasksCodec.decode(text, 8));
  }
}
