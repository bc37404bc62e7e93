package io.saltflow.coordination;

import io.saltflow.protocol.Size;
import io.saltflow.protocol.Time;

/** A claim on a machine: from when, and what is left beside it then. */
final class Reservation {
  final Time at;

  /** For the least part of a class or team, not for the head: nobody else goes before it. */
  final boolean owed;

  Size extra;

  Reservation(Time at, boolean owed, Size extra) {
    this.at = at;
    this.owed = owed;
    this.extra = extra;
  }
}
