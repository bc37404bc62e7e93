package io.saltflow.amqp;

import io.saltflow.model.TimeSpan;
import java.util.Arrays;
import java.util.List;

/** Fuzz target for a session that receives arbitrary bytes. */
public final class AmqpSessionFuzzTarget {
  private static final int MAX_CHANNELS = 10;

  private AmqpSessionFuzzTarget() {}

  /**
   * Runs the target on one input. The first byte selects whether the handshake is complete, and the
   * size of the fragments.
   */
  public static void run(byte[] data) {
    if (data.length == 0) {
      return;
    }
    Peer peer = (data[0] & 1) == 0 ? new Peer().open() : new Peer();
    int fragmentSize = 1 + ((data[0] & 0xff) >> 1);
    for (int from = 1; from < data.length; from += fragmentSize) {
      peer.feed(Arrays.copyOfRange(data, from, Math.min(data.length, from + fragmentSize)));
      // Broker events occur between the fragments.
      peer.deliver("t");
      peer.session.answerGet(1, null, 0);
      peer.session.confirmPublishes(1, List.of(1L, 2L));
      peer.session.flush();
    }
    if (peer.session.channelCount() > MAX_CHANNELS) {
      throw new IllegalStateException("more open channels than negotiated");
    }
    peer.session.tick(peer.now.plus(TimeSpan.seconds(1)));
    peer.session.disconnected();
    long ended = peer.lines.stream().filter(l -> l.equals("   connection ends")).count();
    if (ended > 1) {
      throw new IllegalStateException("connection ended " + ended + " times");
    }
  }
}
