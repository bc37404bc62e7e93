package io.saltflow.leader;

import io.saltflow.cluster.Job;
import io.saltflow.model.MachineType;
import java.util.Collection;
import java.util.List;

/**
 * State that a new leader reads from the key-value store before it acts.
 *
 * @param jobs the live jobs with their recorded progress
 * @param ledger the machines that earlier leaders recorded before using them
 * @param ledgerComplete whether every page of the ledger could be read
 * @param machineTypes the machine types known so far; empty until they are read from the cloud
 */
public record InheritedState(
    Collection<Job> jobs,
    Collection<LedgerEntry> ledger,
    boolean ledgerComplete,
    Collection<MachineType> machineTypes) {

  /** Returns the state of a cluster without jobs and machines. */
  public static InheritedState empty(Collection<MachineType> machineTypes) {
    return new InheritedState(List.of(), List.of(), true, machineTypes);
  }
}
