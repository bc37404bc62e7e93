package io.saltflow.agreement;

import java.util.List;

/**
 * What is to be done after something happened, in this order: write down, then send, then apply.
 *
 * @param save term, vote and snapshot have changed, or entries from {@code from} on: everything
 *     from there is replaced by {@code entries}; null: there is nothing to write down
 * @param installed a snapshot that the state machine is to be replaced by, before what is applied;
 *     null: none
 * @param committed entries to apply, in order
 * @param reads numbers of reads that may be answered once the entries up to {@code readIndex} of
 *     each are applied
 */
public record Ready(
    Save save,
    List<Message> messages,
    Snapshot installed,
    List<Entry> committed,
    List<Read> reads) {

  /** What is to be made durable before anything is sent. */
  public record Save(long term, String vote, Snapshot snapshot, long from, List<Entry> entries) {}

  /** A read that is known to be of a leader's; answer it once that index is applied. */
  public record Read(long number, long index) {}

  boolean empty() {
    return save == null
        && messages.isEmpty()
        && installed == null
        && committed.isEmpty()
        && reads.isEmpty();
  }
}
