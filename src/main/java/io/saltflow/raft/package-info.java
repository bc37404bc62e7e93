/**
 * The Raft consensus protocol (Ongaro and Ousterhout, 2014) as a deterministic state machine, with
 * the signed frames that members exchange and the encoding of their durable state. The caller
 * passes in messages, ticks and completed writes, and executes the output of {@link
 * io.saltflow.raft.RaftNode#ready}. {@code docs/STATE.md} describes the replicated store that uses
 * it.
 */
package io.saltflow.raft;
