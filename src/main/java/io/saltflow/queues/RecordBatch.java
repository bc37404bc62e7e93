package io.saltflow.queues;

import java.util.List;

/**
 * Entries that are recorded together or not at all.
 *
 * @param number the sequence number of the batch, one more than that of the previous batch
 * @param tail the first batch that is still needed; batches with lower numbers can be deleted
 */
public record RecordBatch(long number, long tail, List<Entry> entries) {}
