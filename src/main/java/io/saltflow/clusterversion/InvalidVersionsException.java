package io.saltflow.clusterversion;

/** Thrown for inconsistent cluster versions, such as a range whose newest version is the older. */
public final class InvalidVersionsException extends IllegalArgumentException {
  private static final long serialVersionUID = 1;

  InvalidVersionsException(String versions) {
    super(versions);
  }
}
