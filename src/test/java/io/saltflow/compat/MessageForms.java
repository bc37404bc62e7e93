package io.saltflow.compat;

import io.saltflow.kv.Mutation;
import io.saltflow.kv.WriteBatch;
import io.saltflow.model.Attempt;
import io.saltflow.model.JobId;
import io.saltflow.model.JobSpec;
import io.saltflow.model.MachineId;
import io.saltflow.model.MachineType;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.TaskId;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import io.saltflow.protocol.CloudCodec;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.JobCodec;
import io.saltflow.protocol.JsonJobs;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.PeerHeartbeat;
import io.saltflow.protocol.ProbeFrame;
import io.saltflow.protocol.WorkerCodec;
import io.saltflow.queues.EntryCodec;
import io.saltflow.queues.MessageDigest128;
import io.saltflow.queues.MessageNo;
import io.saltflow.queues.QueueId;
import io.saltflow.raft.DurableLog;
import io.saltflow.raft.GroupKey;
import io.saltflow.raft.LogEntry;
import io.saltflow.raft.RaftMessage;
import io.saltflow.raft.RaftMessageCodec;
import io.saltflow.raft.Ready;
import io.saltflow.raft.Snapshot;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Forms of messages between processes, and of entries of the replicated log and the queues. */
final class MessageForms {
  private static final long WALL_MS = 1_796_189_000_000L;
  private static final List<String> MEMBERS = List.of("a", "b");
  private static final StoredForm.Codec UNTYPED =
      b -> MessagePackCodec.encode(MessagePackCodec.decode(b));
  private static final RaftMessageCodec FRAMES =
      new RaftMessageCodec(
          "g-1", new GroupKey("a secret of the group".getBytes(StandardCharsets.US_ASCII)));

  private MessageForms() {}

  static List<StoredForm> all() throws InvalidMessageException {
    List<StoredForm> forms = new ArrayList<>();
    addUserMessages(forms);
    addWorkerMessages(forms);
    addCloudMessages(forms);
    addPeerMessages(forms);
    addGroupMessages(forms);
    addLogEntries(forms);
    return forms;
  }

  // ---- Users

  private static void addUserMessages(List<StoredForm> forms) throws InvalidMessageException {
    StoredForm.Codec codec =
        b -> MessagePackCodec.encode(JobCodec.encode(JobCodec.decode(MessagePackCodec.decode(b))));
    JobSpec array = arrayJob();
    JobSpec service = serviceJob();
    forms.add(
        StoredForm.current(
            "submission, array", MessagePackCodec.encode(JobCodec.encode(array)), codec));
    forms.add(
        StoredForm.current(
            "submission, service", MessagePackCodec.encode(JobCodec.encode(service)), codec));
    MessageBody bare = JobCodec.encode(service);
    bare.fields().keySet().removeAll(List.of("rigs", "yard", "dueS"));
    bare.with("urgency", "best_effort").with("cores", 2).with("somethingNew", List.of(1, 2));
    forms.add(StoredForm.earlier("submission, bare", MessagePackCodec.encode(bare), codec));
    MessageBody defaults =
        JsonJobs.read("{\"cores\": 1, \"expectS\": 2, \"id\": \"req-1\"}").get(0);
    forms.add(
        StoredForm.current(
            "submission, defaults of JSON", MessagePackCodec.encode(defaults), UNTYPED));
    MessageBody values =
        MessageBody.of()
            .with("nil", null)
            .with("flags", List.of(true, false))
            .with("integers", List.of(0L, -1L, 127L, 65_536L, Long.MAX_VALUE, Long.MIN_VALUE))
            .with("amounts", List.of(0.0, 0.1, 1e9))
            .with("texts", List.of("", "Zürich", "x".repeat(300)))
            .with("map", MessageBody.of().with("list", List.of()));
    forms.add(StoredForm.current("values of every type", MessagePackCodec.encode(values), UNTYPED));
    byte[] unsigned = {(byte) 0x81, (byte) 0xa1, 'n', (byte) 0xcf, -1, -1, -1, -1, -1, -1, -1, -1};
    forms.add(StoredForm.earlier("unsigned integer of 64 bits", unsigned, UNTYPED));
  }

  private static JobSpec arrayJob() {
    return new JobSpec(
        new JobId("req-000412"),
        "train",
        "vision",
        false,
        Priority.HIGH,
        16,
        new Resources(8, 1, 64),
        List.of("g8", "g4"),
        "a",
        true,
        false,
        true,
        "img-07",
        6.2,
        TimeSpan.seconds(240),
        TimeSpan.seconds(30),
        TimeSpan.seconds(4),
        TimeSpan.seconds(900),
        List.of(new JobId("req-7"), new JobId("req-8")));
  }

  private static JobSpec serviceJob() {
    return new JobSpec(
        new JobId("req-000413"),
        "web",
        "search",
        true,
        Priority.CRITICAL,
        3,
        new Resources(2.5, 0, 4),
        null,
        null,
        false,
        true,
        false,
        "img-08",
        0.5,
        TimeSpan.seconds(0),
        TimeSpan.seconds(0),
        TimeSpan.seconds(0),
        null,
        List.of());
  }

  // ---- Workers

  private static void addWorkerMessages(List<StoredForm> forms) {
    StoredForm.Codec codec =
        b ->
            MessagePackCodec.encode(
                WorkerCodec.encodeHeartbeat(
                    WorkerCodec.decodeHeartbeat(MessagePackCodec.decode(b))));
    WorkerHeartbeat heartbeat =
        new WorkerHeartbeat(
            new MachineId("vm-000231"),
            "10.1.0.232:9000",
            "g8",
            "a",
            true,
            1,
            88,
            new Term(41),
            TimeSpan.seconds(61.5),
            taskStatuses());
    forms.add(
        StoredForm.current(
            "worker heartbeat",
            MessagePackCodec.encode(WorkerCodec.encodeHeartbeat(heartbeat)),
            codec));
    MessageBody exited =
        MessageBody.of().with("shard", "req-1/0").with("try", 1).with("phase", "exited");
    MessageBody unknown =
        MessageBody.of().with("shard", "req-2/7").with("try", 3).with("phase", "dreaming");
    MessageBody bare =
        MessageBody.of()
            .with("host", "vm-1")
            .with("rig", "g8")
            .with("yard", "a")
            .with("shift", 2)
            .with("tick", 5)
            .with("shards", List.of(exited, unknown))
            .with("somethingNew", true);
    forms.add(StoredForm.earlier("worker heartbeat, bare", MessagePackCodec.encode(bare), codec));
    TaskId first = TaskId.parse("req-000412/4");
    List<WorkerCommand> commands =
        List.of(
            new WorkerCommand.Launch(first, new Attempt(2)),
            new WorkerCommand.Stop(first, Attempt.of(new Term(41), 7), TimeSpan.seconds(10.5)),
            new WorkerCommand.Clear(TaskId.parse("req-7/0"), new Attempt(1)));
    forms.add(
        StoredForm.current(
            "worker commands",
            MessagePackCodec.encode(WorkerCodec.encodeCommands(new Term(41), commands)),
            bytes -> {
              MessageBody body = MessagePackCodec.decode(bytes);
              return MessagePackCodec.encode(
                  WorkerCodec.encodeCommands(
                      new Term(body.integer("baton")), WorkerCodec.decodeCommands(body)));
            }));
  }

  private static List<WorkerHeartbeat.TaskStatus> taskStatuses() {
    List<WorkerHeartbeat.TaskStatus> statuses = new ArrayList<>();
    for (WorkerHeartbeat.TaskState state : WorkerHeartbeat.TaskState.values()) {
      statuses.add(taskStatus(statuses.size(), state, WorkerHeartbeat.ExitCause.DONE, false));
    }
    for (WorkerHeartbeat.ExitCause cause : WorkerHeartbeat.ExitCause.values()) {
      boolean saved = cause == WorkerHeartbeat.ExitCause.STOPPED;
      statuses.add(taskStatus(statuses.size(), WorkerHeartbeat.TaskState.EXITED, cause, saved));
    }
    return statuses;
  }

  private static WorkerHeartbeat.TaskStatus taskStatus(
      int index, WorkerHeartbeat.TaskState state, WorkerHeartbeat.ExitCause cause, boolean saved) {
    TaskId task = new TaskId(new JobId("req-000412"), index);
    return new WorkerHeartbeat.TaskStatus(task, new Attempt(index + 1L), state, cause, saved);
  }

  // ---- Cloud

  private static void addCloudMessages(List<StoredForm> forms) {
    StoredForm.Codec types =
        b ->
            MessagePackCodec.encode(
                CloudCodec.encodeTypes(CloudCodec.decodeTypes(MessagePackCodec.decode(b))));
    MachineType type =
        new MachineType(
            "g8", new Resources(96, 8, 768), 1.5, 12, 4.5, TimeSpan.seconds(45), List.of("a", "b"));
    forms.add(
        StoredForm.current(
            "machine types",
            MessagePackCodec.encode(CloudCodec.encodeTypes(List.of(type))),
            types));
    MessageBody bareType =
        MessageBody.of()
            .with("sku", "c4")
            .with("cores", 4)
            .with("hourly", 1)
            .with("readyS", 15)
            .with("yards", List.of("a"));
    MessageBody bareTypes = MessageBody.of().with("rigs", List.of(bareType));
    forms.add(StoredForm.earlier("machine types, bare", MessagePackCodec.encode(bareTypes), types));
    MessageBody scaleOut = CloudCodec.encodeScaleOut("r-17", "g8", "a", true, 12);
    forms.add(StoredForm.current("rental request", MessagePackCodec.encode(scaleOut), UNTYPED));
    List<MachineId> machines = List.of(new MachineId("vm-1"), new MachineId("vm-2"));
    forms.add(
        StoredForm.current(
            "machine names",
            MessagePackCodec.encode(CloudCodec.encodeMachineIds(machines)),
            b ->
                MessagePackCodec.encode(
                    CloudCodec.encodeMachineIds(
                        CloudCodec.decodeMachineIds(MessagePackCodec.decode(b))))));
    StoredForm.Codec list =
        bytes -> {
          MessageBody body = MessagePackCodec.decode(bytes);
          boolean more = body.flagOr("truncated", false);
          return MessagePackCodec.encode(CloudCodec.encodeList(CloudCodec.decodeList(body), more));
        };
    List<CloudCodec.ListedMachine> listed =
        List.of(
            machine("vm-1", true, true, false),
            machine("vm-2", false, false, true),
            machine("vm-3", false, false, false));
    forms.add(
        StoredForm.current(
            "machine list", MessagePackCodec.encode(CloudCodec.encodeList(listed, true)), list));
    MessageBody bareMachine =
        MessageBody.of().with("id", "vm-1").with("rig", "g8").with("yard", "a");
    MessageBody bareList = MessageBody.of().with("hosts", List.of(bareMachine));
    forms.add(StoredForm.earlier("machine list, bare", MessagePackCodec.encode(bareList), list));
  }

  private static CloudCodec.ListedMachine machine(
      String id, boolean spot, boolean booting, boolean failed) {
    return new CloudCodec.ListedMachine(
        new MachineId(id),
        "10.1.0.1:9000",
        "g8",
        "a",
        spot,
        booting,
        failed,
        TimeSpan.seconds(61.5));
  }

  // ---- Controllers

  private static void addPeerMessages(List<StoredForm> forms) {
    StoredForm.Codec codec = b -> PeerHeartbeat.decode(b).encode();
    List<PeerHeartbeat.JobCounts> counts =
        List.of(
            new PeerHeartbeat.JobCounts(new JobId("req-1"), 2, 3),
            new PeerHeartbeat.JobCounts(new JobId("req-2"), 100_000, 0));
    List<PeerHeartbeat.UnansweredJob> unanswered =
        List.of(new PeerHeartbeat.UnansweredJob(new JobId("req-3"), TimeSpan.seconds(7)));
    PeerHeartbeat full =
        new PeerHeartbeat(
            "saltbox-1", new Term(9), true, 40, counts, true, unanswered, WALL_MS, true);
    forms.add(StoredForm.current("peer heartbeat", full.encode(), codec));
    byte[] bytes =
        new PeerHeartbeat("saltbox-2", new Term(9), false, 2500, counts, true, List.of(), 0, false)
            .encode();
    forms.add(StoredForm.current("peer heartbeat of a follower", bytes, codec));
    String[] missing = {"cascades", "wall clock", "unanswered jobs", "probes"};
    for (int i = 0; i < missing.length; i++) {
      byte[] cut = Arrays.copyOf(bytes, bytes.length - i - 1);
      forms.add(StoredForm.earlier("peer heartbeat before " + missing[i], cut, codec));
    }
    StoredForm.Codec probes = b -> ProbeFrame.decode(b).encode();
    List<ProbeFrame.ProbeTarget> targets =
        List.of(
            new ProbeFrame.ProbeTarget("10.0.0.1", 9000, "/healthz"),
            new ProbeFrame.ProbeTarget("10.0.0.2", 9001, ""));
    List<Long> times =
        List.of(12L, ProbeFrame.UNHEALTHY, ProbeFrame.UNREACHABLE, ProbeFrame.NOT_PROBED);
    forms.add(
        StoredForm.current(
            "probe request",
            new ProbeFrame.ProbeRequest("b", "a", 7, 3000, targets).encode(),
            probes));
    forms.add(
        StoredForm.current(
            "probe answers", new ProbeFrame.ProbeResponse("a", "b", 7, times).encode(), probes));
  }

  // ---- The group of key-value store nodes

  private static List<LogEntry> entries(long first) {
    return List.of(
        new LogEntry(first, 7, null, null),
        new LogEntry(first + 1, 7, null, new byte[] {1, 2, 3}),
        new LogEntry(first + 2, 8, List.of("a", "b", "c"), null));
  }

  private static void addGroupMessages(List<StoredForm> forms) {
    StoredForm.Codec codec = b -> FRAMES.encode(FRAMES.decode(b));
    List<RaftMessage> messages =
        List.of(
            new RaftMessage.RequestVote("a", "b", 8, 30, 6, true, false),
            new RaftMessage.RequestVoteResponse("b", "a", 8, true, false),
            new RaftMessage.AppendEntries("a", "b", 8, 30, 6, entries(31), 29, 12),
            new RaftMessage.AppendEntriesResponse("b", "a", 8, false, 28, 12),
            new RaftMessage.InstallSnapshot(
                "a", "b", 8, 20, 5, MEMBERS, 65_536, new byte[] {9, 8}, true, 14),
            new RaftMessage.InstallSnapshotResponse("b", "a", 8, 20, 65_538, 14),
            new RaftMessage.TimeoutNow("a", "b", 8));
    for (int i = 0; i < messages.size(); i++) {
      forms.add(StoredForm.current("group message " + i, FRAMES.encode(messages.get(i)), codec));
    }
    StoredForm.Codec log =
        bytes -> {
          DurableLog read = new DurableLog(MEMBERS);
          read.apply(bytes);
          return read.encodeTail();
        };
    Snapshot none = new Snapshot(0, 0, MEMBERS, new byte[0]);
    forms.add(
        StoredForm.current(
            "group log record",
            DurableLog.encode(new Ready.Save(8, "b", none, 1, entries(1))),
            log));
    forms.add(
        StoredForm.current(
            "group log record without a vote",
            DurableLog.encode(new Ready.Save(8, null, none, 1, List.of())),
            log));
    forms.add(
        StoredForm.current(
            "group snapshot head",
            DurableLog.encodeSnapshotHeader(new Snapshot(20, 5, MEMBERS, new byte[300])),
            b -> DurableLog.encodeSnapshotHeader(DurableLog.decodeSnapshotHeader(b))));
  }

  // ---- Entries

  private static void addLogEntries(List<StoredForm> forms) {
    MessageBody data = MessageBody.of().with("x", 1L).with("list", List.of("a", 0.5, true));
    WriteBatch step =
        new WriteBatch(
            432,
            List.of(
                new Mutation.Put("a/b", data, 7),
                new Mutation.Put("a/c", MessageBody.of(), 0),
                new Mutation.Delete("c/d"),
                new Mutation.GrantLease(7, TimeSpan.millis(5000)),
                new Mutation.RevokeLease(6)));
    forms.add(
        StoredForm.current(
            "journal entry of a transaction", step.encode(), b -> WriteBatch.decode(b).encode()));
    List<io.saltflow.queues.Entry> entries =
        List.of(
            new io.saltflow.queues.Entry.Kept(
                new MessageNo(5),
                new QueueId("/", "work"),
                "m-1",
                true,
                WALL_MS,
                Long.MAX_VALUE,
                2,
                true,
                new byte[] {0, 0},
                "a body".getBytes(StandardCharsets.US_ASCII)),
            new io.saltflow.queues.Entry.Started(new MessageNo(5), 3),
            new io.saltflow.queues.Entry.Returned(new MessageNo(6), 1),
            new io.saltflow.queues.Entry.Ended(new MessageNo(7)),
            new io.saltflow.queues.Entry.Known(MessageDigest128.of("/", "work", "m-1"), WALL_MS));
    forms.add(
        StoredForm.current(
            "queue entries",
            EntryCodec.encode(entries),
            b -> EntryCodec.encode(EntryCodec.decode(b))));
  }
}
