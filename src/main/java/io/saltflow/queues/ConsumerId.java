package io.saltflow.queues;

/** Identifies a consumer. Session numbers are assigned by the node that serves the connection. */
public record ConsumerId(long session, int channel, String tag) {
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
