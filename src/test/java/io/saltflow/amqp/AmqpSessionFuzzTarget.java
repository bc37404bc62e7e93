package io.saltflow.amqp;

import io.saltflow.model.TimeSpan;
import java.util.Arrays;
import java.util.List;

/** A connection whose peer sends anything: it ends in order, or goes on. */
public final class AmqpSessionFuzzTarget {
  private static final int MAX_CHANNELS = 10;

  private AmqpSessionFuzzTarget() {}

  /** The first byte says whether the handshake is over and how the rest is cut. */
  public static void run(byte[] data) {
    if (data.length == 0) {
      return;
    }
    Peer peer = (data[0] & 1) == 0 ? new Peer().open() : new Peer();
    int piece = 1 + ((data[0] & 0xff) >> 1);
    for (int from = 1; from < data.length; from += piece) {
      peer.feed(Arrays.copyOfRange(data, from, Math.min(data.length, from + piece)));
      // The queues say what they have to in between.
      peer.deliver("t");
      peer.session.answerGet(1, null, 0);
      peer.session.confirmPublishes(1, List.of(1L, 2L));
      peer.session.flush();
    }
    if (peer.session.channelCount() > MAX_CHANNELS) {
      throw new IllegalStateException("more channels than agreed");
    }
    peer.session.tick(peer.now.plus(TimeSpan.seconds(1)));
    peer.session.disconnected();
    long ended = peer.lines.stream().filter(l -> l.equals("   connection ends")).count();
    if (ended > 1) {
      throw new IllegalStateException("it ended " + ended + " times");
    }
  }
}
