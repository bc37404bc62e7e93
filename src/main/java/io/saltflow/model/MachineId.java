package io.saltflow.model;

/** A machine's name, assigned by the cloud. Names sort in order of creation. */
public record MachineId(String text) implements Comparable<MachineId> {
  @Override
  public int compareTo(MachineId other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
