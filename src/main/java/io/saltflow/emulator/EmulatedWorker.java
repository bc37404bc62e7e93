package io.saltflow.emulator;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import io.saltflow.model.WorkerCommand;
import io.saltflow.model.WorkerHeartbeat;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.protocol.WorkerCodec;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.Routine;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Emulates a machine with its worker agent. After booting, it sends heartbeats to the controllers
 * and executes the commands in their answers. Confined to the event loop's thread.
 */
public final class EmulatedWorker extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(EmulatedWorker.class);
  private static final TimeSpan REQUEST_TIMEOUT = TimeSpan.seconds(4);
  private static final TimeSpan NEXT_NODE_DELAY = TimeSpan.seconds(1);
  private static final TimeSpan STEP_INTERVAL = TimeSpan.millis(50);
  private static final TimeSpan MIN_HEARTBEAT_INTERVAL = TimeSpan.millis(500);

  private final EventLoop loop;
  private final List<InetSocketAddress> nodes;
  private final TimeSpan heartbeatInterval;
  private final LongSupplier random;
  private final WorkerStateMachine worker;
  private final ReplicaListener replicaListener;
  private HttpClient client;
  private int nodeIndex;
  private boolean heartbeatInFlight;
  private MonotonicTime lastHeartbeatAt = MonotonicTime.LONG_AGO;
  private MonotonicTime nextHeartbeatAt;

  /**
   * Timing of a worker.
   *
   * @param heartbeatInterval the average time between heartbeats
   * @param lease the time after which a worker without an answer discards its tasks
   */
  public record Timing(TimeSpan heartbeatInterval, TimeSpan lease) {}

  /** Creates a worker that starts when its instance is ready and is cancelled with its parent. */
  public EmulatedWorker(
      Routine parent,
      EventLoop loop,
      EmulatedCloud.Instance instance,
      List<InetSocketAddress> nodes,
      Timing timing,
      ObjectStore objectStore,
      LongSupplier random) {
    super(parent);
    this.loop = loop;
    this.nodes = nodes;
    this.heartbeatInterval = timing.heartbeatInterval();
    this.random = random;
    MonotonicTime readyAt = instance.readyAt();
    worker =
        new WorkerStateMachine(
            instance.id(),
            instance.type(),
            instance.zone(),
            instance.spot(),
            timing.lease(),
            objectStore,
            readyAt);
    nextHeartbeatAt = readyAt;
    replicaListener = new ReplicaListener(this, loop, instance.zone());
    client = new HttpClient(this, loop, nodes.get(0), 1, 4);
    loop.schedule(
        readyAt.since(loop.now()),
        this,
        () -> loop.scheduleRepeating(STEP_INTERVAL, this, this::step));
  }

  private void step() {
    MonotonicTime now = loop.now();
    if (!now.before(worker.nextEventAt())) {
      worker.tick(now);
    }
    if (worker.changed()) {
      replicaListener.updateRunning(worker.runningServices());
    }
    boolean statusChanged =
        worker.changed() && now.since(lastHeartbeatAt).compareTo(MIN_HEARTBEAT_INTERVAL) >= 0;
    if (!heartbeatInFlight && (statusChanged || !now.before(nextHeartbeatAt))) {
      sendHeartbeat(now);
    }
  }

  private void sendHeartbeat(MonotonicTime now) {
    heartbeatInFlight = true;
    lastHeartbeatAt = now;
    long jitterMs = Math.max(1, heartbeatInterval.ms() / 2);
    nextHeartbeatAt =
        now.plus(
            TimeSpan.millis(
                heartbeatInterval.ms() * 3 / 4 + Math.floorMod(random.getAsLong(), jitterMs)));
    WorkerHeartbeat heartbeat = worker.nextHeartbeat();
    client.call(
        "POST",
        Wire.PATH_HEARTBEAT,
        MessagePackCodec.encode(WorkerCodec.encodeHeartbeat(heartbeat)),
        REQUEST_TIMEOUT,
        answer -> {
          heartbeatInFlight = false;
          if (answer.status() == 200) {
            applyAnswer(heartbeat, answer, now);
          } else {
            tryNextNode();
          }
        });
  }

  private void applyAnswer(
      WorkerHeartbeat heartbeat, HttpClient.Answer response, MonotonicTime sentAt) {
    try {
      MessageBody body = MessagePackCodec.decode(response.body());
      Term term = new Term(body.integer(Wire.FENCING_TOKEN));
      List<WorkerCommand> commands = WorkerCodec.decodeCommands(body);
      worker.onAnswer(heartbeat.agentEpoch(), term, commands, sentAt, loop.now());
    } catch (InvalidMessageException exception) {
      LOG.error(
          "{}: invalid answer to a heartbeat: {}", heartbeat.machine(), exception.getMessage());
    }
  }

  /** Schedules the next heartbeat to the next node, as the current one does not answer workers. */
  private void tryNextNode() {
    nextHeartbeatAt = loop.now().plus(NEXT_NODE_DELAY);
    lastHeartbeatAt = loop.now();
    if (nodes.size() > 1) {
      nodeIndex = (nodeIndex + 1) % nodes.size();
      client.cancel();
      client = new HttpClient(this, loop, nodes.get(nodeIndex), 1, 4);
    }
  }
}
