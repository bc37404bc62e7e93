package io.saltflow.leader;

import io.saltflow.model.MachineId;

/**
 * Entry of the machine ledger, recorded before any task is launched on the machine so that the next
 * leader knows which machines to reconcile.
 *
 * @param type the name of the machine type
 */
public record LedgerEntry(MachineId id, String type, String zone, boolean spot) {}
