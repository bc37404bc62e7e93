package io.saltflow.packing;

import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.Size;
import java.util.List;

/**
 * A machine.
 *
 * @param free what nobody uses and nothing is kept for
 * @param wanted whether the waiting task may run there
 * @param pieces what may be moved away; the rest stays
 */
public record Box(MachineId id, Size free, boolean wanted, List<Piece> pieces) {}
