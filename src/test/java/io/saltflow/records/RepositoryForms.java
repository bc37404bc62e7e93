package io.saltflow.records;

import io.saltflow.binpacking.RecordedPlan;
import io.saltflow.binpacking.ReplicaMove;
import io.saltflow.clusterversion.ClusterVersion;
import io.saltflow.clusterversion.ClusterVersionState;
import io.saltflow.clusterversion.VersionRange;
import io.saltflow.compat.StoredForm;
import io.saltflow.deadlines.DailyDeadline;
import io.saltflow.model.JobId;
import io.saltflow.model.MachineId;
import io.saltflow.model.Revision;
import io.saltflow.model.TaskId;
import io.saltflow.priority.Lane;
import io.saltflow.priority.QueueOrderInputs;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.store.KeyValueClient;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Stored forms of records other than job records: plans, deadlines, queue order, cluster versions,
 * done tasks and submission batches.
 */
public final class RepositoryForms {
  private static final long WALL_MS = 1_796_189_000_000L;
  private static final Revision VERSION = new Revision(9);
  private static final int TASKS = 24;
  private static final String PLAN_NAME = "1-1";
  private static final String DAILY_DEADLINE_KEY = "plan/ready/night/2026-12-03";

  private RepositoryForms() {}

  /** Returns the stored forms of these records. */
  public static List<StoredForm> all() {
    List<StoredForm> forms = new ArrayList<>();
    addMigrationPlans(forms);
    addDailyDeadlines(forms);
    addQueueOrder(forms);
    addVersions(forms);
    addJobProgressAndBatches(forms);
    return forms;
  }

  private static void addMigrationPlans(List<StoredForm> forms) {
    StoredForm.Codec codec =
        b ->
            MessagePackCodec.encode(
                MigrationPlanCodec.encode(
                    MigrationPlanCodec.decode(PLAN_NAME, MessagePackCodec.decode(b))));
    ReplicaMove move =
        new ReplicaMove(TaskId.parse("req-7/3"), new MachineId("vm-1"), new MachineId("vm-2"));
    RecordedPlan running =
        new RecordedPlan(
            PLAN_NAME, new JobId("req-9"), new MachineId("vm-1"), List.of(move), WALL_MS, null);
    RecordedPlan ended =
        running.withOutcome(
            new RecordedPlan.PlanOutcome(false, "its job was cancelled", WALL_MS + 5));
    MessageBody earlier = MigrationPlanCodec.encode(ended);
    earlier.fields().remove("why");
    forms.add(
        StoredForm.current(
            "migration plan", MessagePackCodec.encode(MigrationPlanCodec.encode(running)), codec));
    forms.add(
        StoredForm.current(
            "migration plan, ended",
            MessagePackCodec.encode(MigrationPlanCodec.encode(ended)),
            codec));
    forms.add(
        StoredForm.earlier("migration plan, earlier", MessagePackCodec.encode(earlier), codec));
  }

  private static void addDailyDeadlines(List<StoredForm> forms) {
    StoredForm.Codec codec =
        b ->
            MessagePackCodec.encode(
                DailyDeadlineCodec.encode(
                    DailyDeadlineCodec.decode(DAILY_DEADLINE_KEY, MessagePackCodec.decode(b))));
    DailyDeadline open =
        new DailyDeadline(
            "night",
            "2026-12-03",
            WALL_MS,
            WALL_MS + 3_600_000,
            0.9,
            5,
            6,
            7,
            431,
            WALL_MS + 60_000,
            List.of(new JobId("req-5"), new JobId("req-4")),
            List.of(
                new DailyDeadline.LateJob(
                    new JobId("req-4"), WALL_MS + 1, "it waits for its quota")),
            null);
    DailyDeadline ended =
        open.withOutcome(new DailyDeadline.DeadlineOutcome(2, false, WALL_MS + 3_600_000));
    forms.add(
        StoredForm.current(
            "daily deadline", MessagePackCodec.encode(DailyDeadlineCodec.encode(open)), codec));
    forms.add(
        StoredForm.current(
            "daily deadline, ended",
            MessagePackCodec.encode(DailyDeadlineCodec.encode(ended)),
            codec));
  }

  private static void addQueueOrder(List<StoredForm> forms) {
    StoredForm.Codec override =
        b ->
            MessagePackCodec.encode(
                QueueOrderCodec.encode(
                    QueueOrderCodec.decode(MessagePackCodec.decode(b), VERSION).lane()));
    forms.add(
        StoredForm.current(
            "operator override, lane",
            MessagePackCodec.encode(QueueOrderCodec.encode(new Lane(1, "render"))),
            override));
    forms.add(
        StoredForm.current(
            "operator override, front",
            MessagePackCodec.encode(QueueOrderCodec.encode((Lane) null)),
            override));
    QueueOrderInputs inputs =
        new QueueOrderInputs(
            96.5,
            new TreeMap<>(Map.of("train", 1.2, "pages", 0.833)),
            new TreeSet<>(List.of("pages", "train")));
    forms.add(
        StoredForm.current(
            "queue order inputs",
            MessagePackCodec.encode(QueueOrderCodec.encode(inputs)),
            b ->
                MessagePackCodec.encode(
                    QueueOrderCodec.encode(QueueOrderCodec.decode(MessagePackCodec.decode(b))))));
  }

  private static ClusterVersionCodec.RecordedVersions decodeVersion(String key, byte[] bytes)
      throws InvalidMessageException {
    KeyValueClient.KeyValue entry =
        new KeyValueClient.KeyValue(key, MessagePackCodec.decode(bytes), VERSION);
    return ClusterVersionCodec.decode(
        new KeyValueClient.PrefixListing(List.of(entry), VERSION.number()));
  }

  private static void addVersions(List<StoredForm> forms) {
    ClusterVersionState active =
        new ClusterVersionState(
            new ClusterVersion(3), new ClusterVersion(2), new ClusterVersion(1), VERSION);
    forms.add(
        StoredForm.current(
            "level in use",
            MessagePackCodec.encode(ClusterVersionCodec.encode(active)),
            b ->
                MessagePackCodec.encode(
                    ClusterVersionCodec.encode(decodeVersion("level/active", b).state()))));
    VersionRange build = new VersionRange(new ClusterVersion(1), new ClusterVersion(3));
    forms.add(
        StoredForm.current(
            "level of a build",
            MessagePackCodec.encode(ClusterVersionCodec.encode(build, "saltbox-0-17")),
            bytes -> {
              VersionRange range =
                  decodeVersion("level/on/saltbox-0", bytes).announcements().get(0).supported();
              String process = MessagePackCodec.decode(bytes).text("process");
              return MessagePackCodec.encode(ClusterVersionCodec.encode(range, process));
            }));
  }

  private static void addJobProgressAndBatches(List<StoredForm> forms) {
    BitSet done = new BitSet();
    done.set(0, 3);
    done.set(5);
    done.set(TASKS - 1);
    int maxLength = DoneTasksCodec.maxLength(TASKS);
    forms.add(
        StoredForm.current(
            "done tasks of a job",
            DoneTasksCodec.encode(done, maxLength).getBytes(StandardCharsets.US_ASCII),
            bytes -> {
              String text = new String(bytes, StandardCharsets.US_ASCII);
              BitSet read = DoneTasksCodec.decode(text, TASKS);
              return DoneTasksCodec.encode(read, maxLength).getBytes(StandardCharsets.US_ASCII);
            }));
    Map<JobId, MessageBody> records = new LinkedHashMap<>();
    records.put(new JobId("req-9"), MessageBody.of().with("at", 5L));
    records.put(new JobId("req-4"), MessageBody.of().with("at", 6L));
    forms.add(
        StoredForm.current(
            "batch of submissions",
            MessagePackCodec.encode(SubmissionBatch.encode(records)),
            b ->
                MessagePackCodec.encode(
                    SubmissionBatch.encode(SubmissionBatch.decode(MessagePackCodec.decode(b))))));
  }
}
