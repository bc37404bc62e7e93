package io.saltflow.records;

import io.saltflow.deadlines.DailyDeadline;
import io.saltflow.model.JobId;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Encodes and decodes the records of queues' daily deadlines under {@code plan/ready/QUEUE/DAY}.
 * Earlier builds never read them.
 */
public final class DailyDeadlineCodec {
  private static final Logger LOG = LoggerFactory.getLogger(DailyDeadlineCodec.class);
  private static final String OPENED = "opened";
  private static final String DUE = "due";
  private static final String SHARE = "share";
  private static final String READY = "ready";
  private static final String PENDING = "waiting";
  private static final String IN_TIME = "inTime";
  private static final String SEEN_REVISION = "seen";
  private static final String BAD_SINCE = "badSince";
  private static final String BOOSTED = "push";
  private static final String LATE = "late";
  private static final String ID = "id";
  private static final String SINCE = "since";
  private static final String REASON = "why";
  private static final String MISSING = "missing";
  private static final String MET = "enough";
  private static final String ENDED_AT = "ended";

  private static final String[] TRUNCATABLE = {LATE, BOOSTED};

  private DailyDeadlineCodec() {}

  /**
   * Returns the list fields that may be truncated, in this order. A leader can recompute their
   * contents.
   */
  public static String[] truncatable() {
    return TRUNCATABLE.clone();
  }

  /** Encodes the record of a daily deadline. */
  public static MessageBody encode(DailyDeadline deadline) {
    List<Object> late = new ArrayList<>();
    for (DailyDeadline.LateJob lateJob : deadline.lateJobs()) {
      late.add(
          MessageBody.of()
              .with(ID, lateJob.id().text())
              .with(SINCE, lateJob.sinceMs())
              .with(REASON, lateJob.reason())
              .fields());
    }
    MessageBody body =
        MessageBody.of()
            .with(OPENED, deadline.openedMs())
            .with(DUE, deadline.dueMs())
            .with(SHARE, deadline.targetShare())
            .with(READY, deadline.readyJobs())
            .with(PENDING, deadline.pendingJobs())
            .with(IN_TIME, deadline.forecastInTime())
            .with(SEEN_REVISION, deadline.lastSeenRevision())
            .with(BAD_SINCE, deadline.atRiskSinceMs())
            .with(BOOSTED, deadline.boosted().stream().map(JobId::text).toList())
            .with(LATE, late);
    if (deadline.outcome() != null) {
      body.with(MISSING, deadline.outcome().missedJobs());
      body.with(MET, deadline.outcome().met()).with(ENDED_AT, deadline.outcome().atMs());
    }
    return body;
  }

  /**
   * Decodes the record of a daily deadline.
   *
   * @param key key of the record, which names the queue and the day
   * @throws InvalidMessageException if the key or a field is malformed
   */
  public static DailyDeadline decode(String key, MessageBody body) throws InvalidMessageException {
    String[] name = key.substring(Keys.DAILY_DEADLINES.length()).split("/");
    if (name.length != 2) {
      throw new InvalidMessageException(key + ": expected the key of a queue and a day");
    }
    List<JobId> boosted = new ArrayList<>();
    body.texts(BOOSTED).forEach(id -> boosted.add(new JobId(id)));
    List<DailyDeadline.LateJob> late = new ArrayList<>();
    for (MessageBody lateJob : body.maps(LATE)) {
      late.add(
          new DailyDeadline.LateJob(
              new JobId(lateJob.text(ID)), lateJob.integer(SINCE), lateJob.text(REASON)));
    }
    DailyDeadline.DeadlineOutcome ended =
        body.get(ENDED_AT) == null
            ? null
            : new DailyDeadline.DeadlineOutcome(
                (int) body.integer(MISSING), body.flag(MET), body.integer(ENDED_AT));
    return new DailyDeadline(
        name[0],
        name[1],
        body.integer(OPENED),
        body.integer(DUE),
        body.nonNegativeNumber(SHARE),
        (int) body.integer(READY),
        (int) body.integer(PENDING),
        (int) body.integer(IN_TIME),
        body.integer(SEEN_REVISION),
        body.integer(BAD_SINCE),
        boosted,
        late,
        ended);
  }

  /**
   * Reads all recorded daily deadlines. Any node may call this.
   *
   * @param then receives the deadlines, or {@code null} if the key-value store does not answer
   */
  public static void read(KeyValueClient store, Consumer<List<DailyDeadline>> then) {
    store.list(
        KeyValueClient.RequestPriority.USER,
        Keys.DAILY_DEADLINES,
        listing -> {
          if (listing == null) {
            then.accept(null);
            return;
          }
          List<DailyDeadline> deadlines = new ArrayList<>();
          listing.entries().forEach(e -> addDecoded(deadlines, e));
          then.accept(deadlines);
        });
  }

  /** Adds a decoded record, or logs and skips one that cannot be read. */
  private static void addDecoded(List<DailyDeadline> deadlines, KeyValueClient.KeyValue keyValue) {
    try {
      deadlines.add(decode(keyValue.key(), keyValue.value()));
    } catch (InvalidMessageException exception) {
      LOG.error(
          "cannot read daily deadline {}: {}; its state starts over",
          keyValue.key(),
          exception.getMessage());
    }
  }
}
