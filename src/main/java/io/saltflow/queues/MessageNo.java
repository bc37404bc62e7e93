package io.saltflow.queues;

/** A message's number, given once by the leaders in the order in which messages were taken. */
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
