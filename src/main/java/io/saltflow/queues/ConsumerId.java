package io.saltflow.queues;

/**
 * Identifies a consumer. Sessions and channels are numbered by the node that serves the connection,
 * which uses no number twice.
 */
public record ConsumerId(long session, long channel, String tag) {
  /**
   * Tag of the pseudo-consumer for gets on a channel. Tags that a peer may choose never have this
   * prefix.
   */
  static final String GET = "\0get";

  boolean get() {
    return tag.equals(GET);
  }

  @Override
  public String toString() {
    return session + "." + channel + (get() ? " get" : " " + tag);
  }
}
