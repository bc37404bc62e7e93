package io.saltflow.records;

import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.Revision;
import io.saltflow.priority.AdmissionPosition;
import io.saltflow.priority.Lane;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JobCodec;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.Wire;
import io.saltflow.store.Keys;
import java.util.LinkedHashMap;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Encodes and decodes the stored records of a job, which are the live record under {@code live/ID}
 * until it ends and the end record under {@code over/ID} afterwards. Earlier versions read and
 * write the same records.
 */
public final class JobRecordCodec {
  private static final Logger LOG = LoggerFactory.getLogger(JobRecordCodec.class);
  private static final int MAX_LANE_RANK = 999;
  private static final String SPEC = "spec";

  /**
   * Replaces {@link #SPEC} in the record of a job that depends on others. Versions without
   * dependencies ignore the field {@code awaits} and would start the job immediately. They cannot
   * read a record without a field {@code spec}, so they do not start the job and report it as
   * pending.
   */
  private static final String DEPENDENT_SPEC = "dependentSpec";

  private static final String ARRIVED_AT = "at";
  private static final String DONE_COUNT = "n";
  private static final String STARTED = "started";
  private static final String PHASE = "phase";

  /** Wall-clock time in ms at which a job ended. Earlier versions neither write nor read it. */
  private static final String ENDED_AT = "endedAt";

  /** Rank and name of the job's lane, present only if operators have configured lanes. */
  private static final String LANE = "lane";

  /**
   * Admission position of a job that was accepted in a batch, whose own record has a later
   * revision.
   */
  private static final String POSITION = "place";

  private JobRecordCodec() {}

  /**
   * Encodes the record of a new job.
   *
   * @param wallMs wall-clock time of the submission in milliseconds
   */
  static MessageBody encode(JobSpec spec, long wallMs, Lane lane) {
    String field = spec.dependencies().isEmpty() ? SPEC : DEPENDENT_SPEC;
    MessageBody body = MessageBody.of().with(field, JobCodec.encode(spec)).with(ARRIVED_AT, wallMs);
    // An unnamed lane follows from the priority in the specification.
    return lane.name().isEmpty() ? body : body.with(LANE, List.of(lane.rank(), lane.name()));
  }

  /** Returns a copy of a batched job's record with the admission position added. */
  static MessageBody withPosition(MessageBody record, AdmissionPosition position) {
    return new MessageBody(new LinkedHashMap<>(record.fields()))
        .with(POSITION, List.of(position.revision(), position.index()));
  }

  /**
   * Decodes the record of a live job.
   *
   * @param version revision of the key, used as the admission position if the record has none
   * @throws InvalidMessageException if a field is missing or malformed
   */
  public static LiveJobRecord decode(MessageBody record, Revision version)
      throws InvalidMessageException {
    String field = record.get(DEPENDENT_SPEC) == null ? SPEC : DEPENDENT_SPEC;
    JobSpec spec = JobCodec.decode(record.map(field));
    AdmissionPosition position = new AdmissionPosition(version.number(), 0);
    if (record.get(POSITION) instanceof List<?> pair
        && pair.size() == 2
        && pair.get(0) instanceof Long revision
        && pair.get(1) instanceof Long index) {
      position = new AdmissionPosition(revision, index.intValue());
    }
    // Earlier versions recorded in the live record that the job may have been started.
    return new LiveJobRecord(
        spec,
        record.integer(ARRIVED_AT),
        record.flagOr(STARTED, false),
        decodeLane(record.get(LANE), Lane.of(spec.priority())),
        position);
  }

  /** Decodes a recorded lane, or returns the fallback if it cannot be read. */
  static Lane decodeLane(Object recorded, Lane fallback) {
    return recorded instanceof List<?> pair
            && pair.size() == 2
            && pair.get(0) instanceof Long rank
            && pair.get(1) instanceof String name
            && rank >= 0
            && rank <= MAX_LANE_RANK
        ? new Lane(rank.intValue(), name)
        : fallback;
  }

  /** Returns the open dependencies in a live job's record, empty if they cannot be read. */
  static List<JobId> dependencies(MessageBody record) {
    if (record.get(DEPENDENT_SPEC) == null) {
      return List.of();
    }
    try {
      List<String> names = record.map(DEPENDENT_SPEC).texts(Wire.DEPENDENCIES);
      return names.stream().filter(JobId::valid).map(JobId::new).toList();
    } catch (InvalidMessageException exception) {
      LOG.error("cannot read dependencies in a job record: {}", exception.getMessage());
      return List.of();
    }
  }

  /** Encodes the end of a job without its time. */
  static MessageBody encodeEnd(JobStatus status) {
    return MessageBody.of().with(PHASE, status.phase().name()).with(DONE_COUNT, status.doneCount());
  }

  /**
   * Encodes the end of a job.
   *
   * @param wallMs wall-clock time of the end in milliseconds
   */
  static MessageBody encodeEnd(JobStatus status, long wallMs) {
    return encodeEnd(status).with(ENDED_AT, wallMs);
  }

  /** Decodes the final status of a job, or returns {@code null} if its phase is not valid. */
  static JobStatus decodeStatus(JobId id, MessageBody record) {
    for (JobPhase phase : List.of(JobPhase.DONE, JobPhase.CANCELLED)) {
      if (phase.name().equals(record.get(PHASE))) {
        return new JobStatus(id, phase, decodeDoneCount(record));
      }
    }
    return null;
  }

  /** Returns the recorded number of done tasks, or 0 if there is none. */
  static int decodeDoneCount(MessageBody record) {
    return record.get(DONE_COUNT) instanceof Long count ? count.intValue() : 0;
  }

  /** Decodes the end record of a job, or returns {@code null} if its phase is not valid. */
  static JobEnd decodeEnd(JobId id, MessageBody record) {
    JobStatus status = decodeStatus(id, record);
    long atMs = record.get(ENDED_AT) instanceof Long at ? at : -1;
    return status == null ? null : new JobEnd(status.phase(), atMs);
  }

  /** Returns whether a key under {@code live/} is the key of a submission batch. */
  public static boolean isBatch(String key) {
    return SubmissionBatch.isKey(key);
  }

  /** Returns the key of a live job's record. */
  public static String liveKey(JobId id) {
    return Keys.liveJob(id);
  }

  /** Returns the job of a live record's key, or {@code null} for any other key. */
  public static JobId liveJobId(String key) {
    return key.startsWith(Keys.LIVE_JOBS) && !SubmissionBatch.isKey(key)
        ? new JobId(key.substring(Keys.LIVE_JOBS.length()))
        : null;
  }
}
