package io.saltflow.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.emulator.EmulatedKeyValueStore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.model.JobId;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.priority.AdmissionPosition;
import io.saltflow.priority.Lane;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JobCodec;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.StoreLimits;
import io.saltflow.store.Transaction;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against jobs that change their admission position. Explores every order of single and
 * overlapping batch submissions, unpacking, and a leader change with a delayed transaction.
 */
class AdmissionPositionTest {
  private static final int OPERATION_COUNT = 8;

  /** Operations of a run, each of which is executed once. */
  private enum Operation {
    SUBMIT_SINGLE,
    SUBMIT_BATCH_AB,
    SUBMIT_BATCH_BC,
    PREPARE_UNPACK,
    CHANGE_LEADER,
    COMMIT_PREPARED,
    UNPACK,
    UNPACK_AGAIN
  }

  private static final class SimulationRun {
    final EmulatedKeyValueStore store =
        new EmulatedKeyValueStore(
            new KeyValueLimits(1e6, 1e6, 8, 8), s -> {}, new MonotonicTime(0));
    final Map<JobId, List<Long>> accepted = new HashMap<>();
    final Map<JobId, AdmissionPosition> positions = new HashMap<>();
    MessageBody prepared;
    Revision leader = commit(new Transaction().put(Keys.LEADER, MessageBody.of()));
    boolean omitPositions;
    String fault;

    private MessageBody roundTrip(Transaction txn) {
      try {
        return MessagePackCodec.decode(MessagePackCodec.encode(txn.encode()));
      } catch (InvalidMessageException exception) {
        throw new IllegalStateException(exception);
      }
    }

    /** State of the current leader. */
    BatchUnpacker unpacker = new BatchUnpacker();

    private Revision commit(MessageBody txn) {
      try {
        return store.commit(txn).status() == 200 ? new Revision(store.revision()) : null;
      } catch (InvalidMessageException exception) {
        throw new IllegalStateException(exception);
      }
    }

    private Revision commit(Transaction txn) {
      return commit(roundTrip(txn));
    }

    void accept(Revision at, JobId... ids) {
      for (JobId id : at == null ? new JobId[0] : ids) {
        accepted.computeIfAbsent(id, i -> new ArrayList<>()).add(at.number());
      }
    }

    void submitBatch(String name, JobId... ids) {
      Map<JobId, MessageBody> records = new LinkedHashMap<>();
      Transaction txn = new Transaction();
      for (JobId id : ids) {
        records.put(id, record(id));
        AdmissionWriter.guardAbsent(txn, id);
      }
      String key = SubmissionBatch.key(name);
      accept(
          commit(txn.guard(key, Revision.ABSENT).put(key, SubmissionBatch.encode(records))), ids);
    }

    /** Returns the leader's next writes, or {@code null} if no batch is left to unpack. */
    BatchUnpacker.UnpackStep nextStep() {
      for (MessageBody pair : list(SubmissionBatch.PREFIX)) {
        try {
          unpacker.addBatch(
              pair.text(Wire.KEY), pair.map(Wire.VALUE), new Revision(pair.integer(Wire.VERSION)));
        } catch (InvalidMessageException exception) {
          throw new IllegalStateException(exception);
        }
      }
      return unpacker.isEmpty() ? null : unpacker.next(new StoreLimits(2, 8, 30));
    }

    private MessageBody txn(BatchUnpacker.UnpackStep step) {
      Transaction txn = new Transaction().guard(Keys.LEADER, leader);
      if (omitPositions) {
        for (BatchUnpacker.BatchedJob item : step.jobs()) {
          AdmissionWriter.guardAbsent(txn, item.id()).put(Keys.liveJob(item.id()), item.record());
        }
        return roundTrip(txn);
      }
      return roundTrip(step.addTo(txn));
    }

    private List<MessageBody> list(String prefix) {
      try {
        MessageBody all =
            MessagePackCodec.decode(MessagePackCodec.encode(store.list(prefix, "", 1000).body()));
        return all.maps(Wire.ITEMS);
      } catch (InvalidMessageException exception) {
        throw new IllegalStateException(exception);
      }
    }

    private void write(BatchUnpacker.UnpackStep step) {
      try {
        var reply = store.commit(txn(step));
        if (reply.status() == 200) {
          unpacker.onCommitted(step);
        } else {
          MessageBody body = MessagePackCodec.decode(MessagePackCodec.encode(reply.body()));
          unpacker.onRefused(
              step, new KeyValueClient.StoreResponse(reply.status(), body, new MonotonicTime(0)));
        }
      } catch (InvalidMessageException exception) {
        throw new IllegalStateException(exception);
      }
    }

    void execute(Operation operation) {
      switch (operation) {
        case SUBMIT_SINGLE -> {
          JobId jobId = A;
          accept(
              commit(
                  AdmissionWriter.guardAbsent(new Transaction(), jobId)
                      .put(Keys.liveJob(jobId), record(jobId))),
              jobId);
        }
        case SUBMIT_BATCH_AB -> submitBatch("one-1", A, B);
        case SUBMIT_BATCH_BC -> submitBatch("two-1", B, C);
        case PREPARE_UNPACK -> {
          BatchUnpacker.UnpackStep step = nextStep();
          prepared = step == null ? null : txn(step);
        }
        case CHANGE_LEADER -> {
          leader = commit(new Transaction().put(Keys.LEADER, MessageBody.of()));
          unpacker = new BatchUnpacker();
        }
        case COMMIT_PREPARED -> {
          if (prepared != null) {
            commit(prepared);
          }
        }
        default -> {
          BatchUnpacker.UnpackStep step = nextStep();
          if (step != null) {
            write(step);
          }
        }
      }
      checkPositions();
    }

    /** Checks that each position refers to an acceptance of the job and has not changed. */
    private void checkPositions() {
      for (MessageBody pair : list(Keys.LIVE_JOBS)) {
        try {
          JobId id = JobRecordCodec.liveJobId(pair.text(Wire.KEY));
          if (id == null) {
            continue;
          }
          Revision version = new Revision(pair.integer(Wire.VERSION));
          AdmissionPosition position =
              JobRecordCodec.decode(pair.map(Wire.VALUE), version).position();
          AdmissionPosition before = positions.putIfAbsent(id, position);
          if (before != null && !before.equals(position)) {
            fault = id + " moved from position " + before + " to " + position;
          }
          if (!accepted.getOrDefault(id, List.of()).contains(position.revision())) {
            fault = id + " is at position " + position + ", accepted at " + accepted.get(id);
          }
        } catch (InvalidMessageException exception) {
          throw new IllegalStateException(exception);
        }
      }
    }
  }

  private static final JobId A = new JobId("req-000001");
  private static final JobId B = new JobId("req-000002");
  private static final JobId C = new JobId("req-000003");

  private static MessageBody record(JobId id) {
    MessageBody spec =
        MessageBody.of()
            .with("id", id.text())
            .with("lane", "pages")
            .with("crew", "red")
            .with("shape", "array")
            .with("urgency", "high")
            .with("shards", 2L)
            .with("cores", 1.0)
            .with("gpus", 0.0)
            .with("ramGb", 1.0)
            .with("bundle", "img")
            .with("sizeGb", 1.0)
            .with("together", false)
            .with("apart", false)
            .with("loaners", true)
            .with("expectS", 4.0)
            .with("snapshotS", 0.0)
            .with("flushS", 0.0);
    try {
      return MessageBody.of().with("spec", JobCodec.encode(JobCodec.decode(spec))).with("at", 5L);
    } catch (InvalidMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  /**
   * Runs all orders of the operations and counts the runs.
   *
   * @return the first fault, or {@code null} if there is none
   */
  private static String explore(boolean omitPositions, int[] count) {
    return explore(new ArrayList<>(), new boolean[OPERATION_COUNT], omitPositions, count);
  }

  private static String explore(
      List<Operation> executed, boolean[] used, boolean omitPositions, int[] count) {
    if (executed.size() == OPERATION_COUNT) {
      count[0]++;
      SimulationRun run = new SimulationRun();
      run.omitPositions = omitPositions;
      for (Operation operation : executed) {
        run.execute(operation);
      }
      for (int i = 0; i < 12 && run.nextStep() != null; i++) {
        run.execute(Operation.UNPACK);
      }
      boolean all = run.positions.keySet().containsAll(run.accepted.keySet());
      if (run.fault == null && !omitPositions && !all) {
        run.fault = "accepted " + run.accepted.keySet() + ", recorded " + run.positions.keySet();
      }
      return run.fault == null ? null : run.fault + " after " + executed;
    }
    for (Operation operation : Operation.values()) {
      boolean tooEarly =
          (operation == Operation.COMMIT_PREPARED && !used[Operation.PREPARE_UNPACK.ordinal()])
              || (operation == Operation.UNPACK_AGAIN && !used[Operation.UNPACK.ordinal()]);
      if (used[operation.ordinal()] || tooEarly) {
        continue;
      }
      used[operation.ordinal()] = true;
      executed.add(operation);
      String fault = explore(executed, used, omitPositions, count);
      executed.remove(executed.size() - 1);
      used[operation.ordinal()] = false;
      if (fault != null) {
        return fault;
      }
    }
    return null;
  }

  @Test
  void positionIsStableInEveryOrderOfOperations() {
    int[] count = new int[1];
    assertEquals(null, explore(false, count));
    assertEquals(10080, count[0], Arrays.toString(count));
  }

  /** Guards against a position check that cannot fail. */
  @Test
  void positionCheckDetectsUnpackedRecordsWithoutPosition() {
    String fault = explore(true, new int[1]);
    assertTrue(fault != null && fault.contains("accepted at"), fault);
  }

  /** Guards against operator overrides that are decoded differently from how they were written. */
  @Test
  void operatorOverrideSurvivesRoundTrip() throws InvalidMessageException {
    MessageBody front =
        MessagePackCodec.decode(MessagePackCodec.encode(QueueOrderCodec.encode((Lane) null)));
    assertEquals(41, QueueOrderCodec.decode(front, new Revision(41)).frontRevision());
    MessageBody lane =
        MessagePackCodec.decode(
            MessagePackCodec.encode(QueueOrderCodec.encode(new Lane(1, "bulk"))));
    assertEquals(new Lane(1, "bulk"), QueueOrderCodec.decode(lane, new Revision(41)).lane());
    assertEquals(0, QueueOrderCodec.decode(lane, new Revision(41)).frontRevision());
    assertEquals(new Lane(2, "x"), JobRecordCodec.decodeLane("torn", new Lane(2, "x")));
  }
}
