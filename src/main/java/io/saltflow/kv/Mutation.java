package io.saltflow.kv;

import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.MessageBody;

/** A single change to the store, whose transaction's guards have already been checked. */
public sealed interface Mutation {
  /** Sets a key's value. A lease id of 0 attaches it to no lease. */
  record Put(String key, MessageBody data, long leaseId) implements Mutation {}

  /** Deletes a key. */
  record Delete(String key) implements Mutation {}

  /** Grants a lease. */
  record GrantLease(long leaseId, TimeSpan ttl) implements Mutation {}

  /** Revokes a lease. Separate mutations delete the keys attached to it. */
  record RevokeLease(long leaseId) implements Mutation {}
}
