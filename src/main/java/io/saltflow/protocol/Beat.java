package io.saltflow.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.EncoderFactory;

/**
 * What controllers tell each other, in Avro's binary form by the schema {@code mesh.avsc}. Written
 * field by field: reading the schema at start would cost a small machine seconds.
 *
 * @param probes whether the sender probes services' replicas for the leader
 * @param unanswered jobs that the sender could not answer its users about
 * @param wallMs the sender's time of day; 0: it does not say
 * @param cascades whether the sender leads and cancels what depends on cancelled jobs
 */
public record Beat(
    String host,
    Term term,
    boolean leading,
    long stateQuietMs,
    List<Counts> jobs,
    boolean probes,
    List<Unanswered> unanswered,
    long wallMs,
    boolean cascades) {
  private static final int MOST_JOBS = 5000;

  private static final int MOST_UNANSWERED = 200;

  /** Of a node that cancels nothing for dependencies. */
  public Beat(
      String host,
      Term term,
      boolean leading,
      long stateQuietMs,
      List<Counts> jobs,
      boolean probes,
      List<Unanswered> unanswered,
      long wallMs) {
    this(host, term, leading, stateQuietMs, jobs, probes, unanswered, wallMs, false);
  }

  /** Questions about the job have been refused for so long. */
  public record Unanswered(JobId job, Span since) {}

  /** A job's live counts. */
  public record Counts(JobId job, int done, int running) {}

  public byte[] encode() {
    try {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      BinaryEncoder out = EncoderFactory.get().directBinaryEncoder(bytes, null);
      out.writeString(host);
      out.writeLong(term.number());
      out.writeBoolean(leading);
      out.writeLong(stateQuietMs);
      out.writeArrayStart();
      int n = Math.min(jobs.size(), MOST_JOBS);
      out.setItemCount(n);
      for (Counts c : jobs.subList(0, n)) {
        out.startItem();
        out.writeString(c.job.text());
        out.writeInt(c.done);
        out.writeInt(c.running);
      }
      out.writeArrayEnd();
      out.writeBoolean(probes);
      out.writeArrayStart();
      int m = Math.min(unanswered.size(), MOST_UNANSWERED);
      out.setItemCount(m);
      for (Unanswered u : unanswered.subList(0, m)) {
        out.startItem();
        out.writeString(u.job.text());
        out.writeLong(u.since.ms());
      }
      out.writeArrayEnd();
      out.writeLong(wallMs);
      out.writeBoolean(cascades);
      out.flush();
      return bytes.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("encoding in memory failed", e);
    }
  }

  public static Beat decode(byte[] frame) throws BadMessage {
    AvroInput in = new AvroInput(frame);
    String host = in.text();
    Term term = new Term(in.number());
    boolean leading = in.flag();
    long quiet = in.number();
    List<Counts> jobs = new ArrayList<>();
    for (long n = in.firstItems(MOST_JOBS); n != 0; n = in.nextItems(MOST_JOBS - jobs.size())) {
      for (long i = 0; i < n; i++) {
        jobs.add(new Counts(new JobId(in.text()), in.count(), in.count()));
      }
    }
    // Earlier versions do not say whether they probe for others: they don't.
    boolean probes = !in.atEnd() && in.flag();
    // Nor do they say whom they could not answer.
    List<Unanswered> unanswered = new ArrayList<>();
    long m = in.atEnd() ? 0 : in.firstItems(MOST_UNANSWERED);
    for (; m != 0; m = in.nextItems(MOST_UNANSWERED - unanswered.size())) {
      for (long i = 0; i < m; i++) {
        unanswered.add(new Unanswered(new JobId(in.text()), Span.millis(in.number())));
      }
    }
    long wallMs = in.atEnd() ? 0 : in.number();
    // Versions that know no dependencies between jobs cancel nothing for them.
    boolean cascades = !in.atEnd() && in.flag();
    return new Beat(host, term, leading, quiet, jobs, probes, unanswered, wallMs, cascades);
  }
}
