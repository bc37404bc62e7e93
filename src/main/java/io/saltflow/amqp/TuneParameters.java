package io.saltflow.amqp;

import io.saltflow.model.TimeSpan;

/**
 * The parameters that client and server negotiate by connection.tune and tune-ok.
 *
 * @param channelMax the highest channel number
 * @param frameMax the largest frame, in bytes
 * @param heartbeat the heartbeat interval, or 0 if heartbeats are disabled
 */
record TuneParameters(int channelMax, int frameMax, TimeSpan heartbeat) {
  /** Minimum frame size that the specification requires every peer to accept, in bytes. */
  static final int MIN_FRAME_MAX = 4096;

  /** Parameters before tuning, with small frames and without heartbeats. */
  static final TuneParameters INITIAL = new TuneParameters(0, MIN_FRAME_MAX, TimeSpan.millis(0));

  /**
   * Returns the parameters of a client's tune-ok, where 0 selects the server's offer.
   *
   * @throws AmqpException if the client exceeds the offer
   */
  static TuneParameters negotiate(AmqpSession.Limits offer, Method tuneOk) throws AmqpException {
    long channels = tuneOk.number(0);
    long frame = tuneOk.number(1);
    if (channels > offer.channels()
        || frame > offer.frameMax()
        || (frame != 0 && frame < MIN_FRAME_MAX)) {
      throw new AmqpException(ReplyCode.NOT_ALLOWED, "more channels or other frames than offered");
    }
    return new TuneParameters(
        channels == 0 ? offer.channels() : (int) channels,
        frame == 0 ? offer.frameMax() : (int) frame,
        TimeSpan.seconds((double) tuneOk.number(2)));
  }
}
