package io.saltflow.records;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.Revision;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import org.junit.jupiter.api.Test;

/** Tests how a leader interprets records of earlier builds. */
class InheritedRecordsTest {
  /**
   * Earlier builds marked a launched job in its own record. If the mark were ignored, the job would
   * be launched again while a machine still runs it.
   */
  @Test
  void jobMarkedStartedByEarlierBuildMayHaveStarted() throws InvalidMessageException {
    MessageBody spec =
        MessageBody.of()
            .with("id", "req-000001")
            .with("lane", "c")
            .with("crew", "red")
            .with("shape", "array")
            .with("urgency", "normal")
            .with("shards", 2L)
            .with("cores", 1.0)
            .with("gpus", 0.0)
            .with("ramGb", 1.0)
            .with("bundle", "i")
            .with("sizeGb", 1.0)
            .with("together", false)
            .with("apart", false)
            .with("loaners", true)
            .with("expectS", 10.0)
            .with("snapshotS", 0.0)
            .with("flushS", 0.0);
    MessageBody record = MessageBody.of().with("spec", spec).with("at", 5L);
    InheritedRecords inherited = new InheritedRecords();
    assertFalse(inherited.maybeStarted(JobRecordCodec.decode(roundTrip(record), Revision.ABSENT)));
    assertTrue(
        inherited.maybeStarted(
            JobRecordCodec.decode(roundTrip(record.with("started", true)), Revision.ABSENT)));
  }

  private static MessageBody roundTrip(MessageBody body) throws InvalidMessageException {
    return MessagePackCodec.decode(MessagePackCodec.encode(body));
  }
}
