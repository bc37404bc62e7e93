package io.saltflow.queues;

/**
 * The number of a message, assigned by the leaders in the order of acceptance. No two messages in
 * the log have the same number; a later leader may assign one again that the log no longer holds.
 */
public record MessageNo(long number) implements Comparable<MessageNo> {
  @Override
  public int compareTo(MessageNo other) {
    return Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return "#" + number;
  }
}
