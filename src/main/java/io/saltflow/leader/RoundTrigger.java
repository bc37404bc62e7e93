package io.saltflow.leader;

/** Flag that requests a scheduling round because of a change since the last one. */
final class RoundTrigger {
  private boolean requested = true;

  void request() {
    requested = true;
  }

  boolean isRequested() {
    return requested;
  }

  void clear() {
    requested = false;
  }
}
