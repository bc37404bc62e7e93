package io.saltflow.queues;

/**
 * Identifies a publish that is not confirmed yet.
 *
 * @param session number of the connection, never used again by the node
 * @param channel number of the channel, never used again on the connection
 * @param number number of the publish on its channel
 */
public record PendingPublish(long session, long channel, long number) {
  @Override
  public String toString() {
    return session + "." + channel + "/" + number;
  }
}
