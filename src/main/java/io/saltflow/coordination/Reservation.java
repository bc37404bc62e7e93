package io.saltflow.coordination;

import io.saltflow.protocol.Size;
import io.saltflow.protocol.Time;

/** The head's claim on a machine: from when, and what is left beside it then. */
final class Reservation {
  final Time at;
  Size extra;

  Reservation(Time at, Size extra) {
    this.at = at;
    this.extra = extra;
  }
}
