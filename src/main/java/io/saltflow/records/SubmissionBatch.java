package io.saltflow.records;

import io.saltflow.model.JobId;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.store.Keys;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes and decodes submission batches: jobs that were admitted together with one write, stored
 * under a key next to those of single jobs. The leader deletes a batch once each of its jobs has a
 * separate record.
 */
public final class SubmissionBatch {
  /** Prefix of batch keys. Sorts after every job id and is not a valid job id itself. */
  static final String PREFIX = Keys.LIVE_JOBS + "~";

  private SubmissionBatch() {}

  static boolean isKey(String key) {
    return key.startsWith(PREFIX);
  }

  /** Returns the key of the batch with this name. */
  public static String key(String name) {
    return PREFIX + name;
  }

  /** Encodes the records of a batch's jobs. */
  public static MessageBody encode(Map<JobId, MessageBody> records) {
    MessageBody body = MessageBody.of();
    records.forEach((id, record) -> body.with(id.text(), record));
    return body;
  }

  /** Returns the jobs of a batch; skips fields that are not valid job ids. */
  static List<JobId> jobIds(MessageBody batch) {
    return batch.fields().keySet().stream().filter(JobId::valid).map(JobId::new).toList();
  }

  /** Returns whether each field name of a batch is a valid job id. */
  static boolean isReadable(MessageBody batch) {
    return batch.fields().keySet().stream().allMatch(JobId::valid);
  }

  /**
   * Decodes the records of a batch.
   *
   * @throws InvalidMessageException if a field name is not a job id; such a field is never skipped
   */
  public static Map<JobId, MessageBody> decode(MessageBody batch) throws InvalidMessageException {
    Map<JobId, MessageBody> records = new LinkedHashMap<>();
    for (String name : batch.fields().keySet()) {
      if (!JobId.valid(name)) {
        throw new InvalidMessageException(
            "submission batch has a field that is not a job id: " + name);
      }
      records.put(new JobId(name), batch.map(name));
    }
    return records;
  }
}
