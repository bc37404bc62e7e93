package io.saltflow.queues;

/** Identifies a publish that is not confirmed yet. */
public record PendingPublish(long session, int channel, long number) {
  @Override
  public String toString() {
    return session + "." + channel + "/" + number;
  }
}
