package io.saltflow.protocol;

import io.saltflow.model.JobId;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.EncoderFactory;

/**
 * The heartbeat that controllers send each other, in Avro's binary encoding with the schema {@code
 * mesh.avsc}. It is written field by field because parsing the schema takes seconds of startup time
 * on a small machine.
 *
 * @param probesReplicas whether the sender probes services' replicas for the leader
 * @param unanswered jobs for which the sender could not answer user requests
 * @param wallClockMs the sender's wall clock in milliseconds, or 0 if unknown
 * @param cancelsDependents whether the sender is the leader and cancels dependents of cancelled
 *     jobs
 */
public record PeerHeartbeat(
    String host,
    Term term,
    boolean leading,
    long storeSilenceMs,
    List<JobCounts> jobs,
    boolean probesReplicas,
    List<UnansweredJob> unanswered,
    long wallClockMs,
    boolean cancelsDependents) {
  private static final int MAX_JOBS = 5000;

  private static final int MAX_UNANSWERED = 200;

  /** A job for which user requests have been refused, and for how long. */
  public record UnansweredJob(JobId job, TimeSpan since) {}

  /** Numbers of done and running tasks of a job. */
  public record JobCounts(JobId job, int done, int running) {}

  /** Encodes the heartbeat as one frame. Jobs beyond the maximum count are omitted. */
  public byte[] encode() {
    try {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      BinaryEncoder out = EncoderFactory.get().directBinaryEncoder(bytes, null);
      out.writeString(host);
      out.writeLong(term.number());
      out.writeBoolean(leading);
      out.writeLong(storeSilenceMs);
      out.writeArrayStart();
      int jobCount = Math.min(jobs.size(), MAX_JOBS);
      out.setItemCount(jobCount);
      for (JobCounts counts : jobs.subList(0, jobCount)) {
        out.startItem();
        out.writeString(counts.job.text());
        out.writeInt(counts.done);
        out.writeInt(counts.running);
      }
      out.writeArrayEnd();
      out.writeBoolean(probesReplicas);
      out.writeArrayStart();
      int unansweredCount = Math.min(unanswered.size(), MAX_UNANSWERED);
      out.setItemCount(unansweredCount);
      for (UnansweredJob unansweredJob : unanswered.subList(0, unansweredCount)) {
        out.startItem();
        out.writeString(unansweredJob.job.text());
        out.writeLong(unansweredJob.since.ms());
      }
      out.writeArrayEnd();
      out.writeLong(wallClockMs);
      out.writeBoolean(cancelsDependents);
      out.flush();
      return bytes.toByteArray();
    } catch (IOException exception) {
      throw new IllegalStateException("encoding in memory failed", exception);
    }
  }

  /** Decodes a frame. Fields that earlier versions do not send get default values. */
  public static PeerHeartbeat decode(byte[] frame) throws InvalidMessageException {
    AvroInput in = new AvroInput(frame);
    String host = in.readString();
    Term term = new Term(in.readLong());
    boolean leading = in.readBoolean();
    long storeSilenceMs = in.readLong();
    List<JobCounts> jobs = new ArrayList<>();
    for (long items = in.readArrayStart(MAX_JOBS);
        items != 0;
        items = in.readArrayNext(MAX_JOBS - jobs.size())) {
      for (long i = 0; i < items; i++) {
        jobs.add(new JobCounts(new JobId(in.readString()), in.readInt(), in.readInt()));
      }
    }
    // Earlier versions end here; they do not probe replicas.
    boolean probes = !in.atEnd() && in.readBoolean();
    // Earlier versions do not send unanswered jobs.
    List<UnansweredJob> unanswered = new ArrayList<>();
    long unansweredItems = in.atEnd() ? 0 : in.readArrayStart(MAX_UNANSWERED);
    for (;
        unansweredItems != 0;
        unansweredItems = in.readArrayNext(MAX_UNANSWERED - unanswered.size())) {
      for (long i = 0; i < unansweredItems; i++) {
        unanswered.add(
            new UnansweredJob(new JobId(in.readString()), TimeSpan.millis(in.readLong())));
      }
    }
    long wallMs = in.atEnd() ? 0 : in.readLong();
    // Versions without job dependencies do not cancel dependents.
    boolean cascades = !in.atEnd() && in.readBoolean();
    return new PeerHeartbeat(
        host, term, leading, storeSilenceMs, jobs, probes, unanswered, wallMs, cascades);
  }
}
