package io.saltflow.packing;

import io.saltflow.protocol.MachineId;

/** Where a replica may go, apart from room, and what it has to fetch there. */
public interface Fit {
  boolean may(Piece piece, MachineId to);

  /** Seconds until it could run there. */
  double fetchS(Piece piece, MachineId to);
}
