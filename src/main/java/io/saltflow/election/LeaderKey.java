package io.saltflow.election;

import io.saltflow.protocol.MessageBody;

/**
 * The stored value of the leader key. Fields that are missing or have another type, as earlier
 * builds may have written them, are {@code null} or false.
 *
 * @param host host of the leader's process
 * @param term term for which the leader was elected
 * @param nonce value unique to one acquisition by one process
 * @param reacquisitions number of times in a row that a process of this host replaced the key of a
 *     predecessor on the same host that ended soon after its election
 * @param acquiredAtMs wall-clock time of the host at which the key was written, in milliseconds
 * @param verifiesKey whether the holder verifies the key with each lease renewal. A build that does
 *     not would miss that its key was replaced while its lease is valid, and would keep renewing
 *     workers that its successor considers to be without a leader
 */
record LeaderKey(
    String host,
    Long term,
    String nonce,
    Long reacquisitions,
    Long acquiredAtMs,
    boolean verifiesKey) {
  /** Name of the field that holds the term, in the leader key and in the term key. */
  static final String TERM_FIELD = "term";

  private static final String HOST_FIELD = "host";
  private static final String NONCE_FIELD = "nonce";
  private static final String REACQUISITIONS_FIELD = "again";
  private static final String ACQUIRED_AT_FIELD = "since";
  private static final String VERIFIES_KEY_FIELD = "looks";

  /** Decodes a stored value. Fields that cannot be read are {@code null} or false. */
  static LeaderKey decode(MessageBody value) {
    return new LeaderKey(
        value.get(HOST_FIELD) instanceof String host ? host : null,
        value.get(TERM_FIELD) instanceof Long term ? term : null,
        value.get(NONCE_FIELD) instanceof String nonce ? nonce : null,
        value.get(REACQUISITIONS_FIELD) instanceof Long reacquisitions ? reacquisitions : null,
        value.get(ACQUIRED_AT_FIELD) instanceof Long acquiredAtMs ? acquiredAtMs : null,
        Boolean.TRUE.equals(value.get(VERIFIES_KEY_FIELD)));
  }

  /** Returns the stored form. */
  MessageBody encode() {
    return MessageBody.of()
        .with(HOST_FIELD, host)
        .with(TERM_FIELD, term)
        .with(NONCE_FIELD, nonce)
        .with(REACQUISITIONS_FIELD, reacquisitions)
        .with(ACQUIRED_AT_FIELD, acquiredAtMs)
        .with(VERIFIES_KEY_FIELD, verifiesKey);
  }
}
