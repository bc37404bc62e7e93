package io.saltflow.emulator;

import io.saltflow.model.MachineId;
import io.saltflow.model.MachineType;
import io.saltflow.model.MonotonicTime;
import io.saltflow.protocol.CloudCodec;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.RequestTarget;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Consumer;

/**
 * Serves an {@link EmulatedCloud} over HTTP. Each instance runs as a routine until it is deleted.
 */
public final class CloudServer extends Routine {
  private static final int MAX_PAGE_SIZE = 500;
  private static final int MAX_DELETES_PER_REQUEST = 100;

  private final EventLoop loop;
  private final EmulatedCloud cloud;
  private final BiFunction<Routine, EmulatedCloud.Instance, Routine> instanceFactory;
  private final Map<MachineId, Routine> runningInstances = new HashMap<>();

  /**
   * @param instanceFactory starts an instance as a child of the given routine
   */
  public CloudServer(
      Routine parent,
      EventLoop loop,
      EmulatedCloud cloud,
      BiFunction<Routine, EmulatedCloud.Instance, Routine> instanceFactory) {
    super(parent);
    this.loop = loop;
    this.cloud = cloud;
    this.instanceFactory = instanceFactory;
  }

  /** Handles a request of the cloud protocol and answers it before returning. */
  public void handle(String method, String target, byte[] body, Consumer<HttpResponse> answer) {
    MonotonicTime now = loop.now();
    if (!cloud.tryAcquire(now)) {
      answer.accept(HttpResponse.empty(429));
      return;
    }
    try {
      answer.accept(respond(method, RequestTarget.of(target), body, now));
    } catch (InvalidMessageException | NumberFormatException exception) {
      answer.accept(badRequest(exception.getMessage()));
    }
  }

  private static HttpResponse ok(MessageBody body) {
    return HttpResponse.of(200, MessagePackCodec.encode(body));
  }

  private static HttpResponse badRequest(String reason) {
    return HttpResponse.of(400, MessagePackCodec.encode(MessageBody.of().with(Wire.ERROR, reason)));
  }

  private HttpResponse respond(String method, RequestTarget target, byte[] body, MonotonicTime now)
      throws InvalidMessageException {
    if (target.is(method, "GET", Wire.PATH_TYPES)) {
      return ok(CloudCodec.encodeTypes(cloud.types()));
    }
    if (target.is(method, "GET", Wire.PATH_MACHINES)) {
      int page = Math.min(MAX_PAGE_SIZE, Math.max(1, target.number(Wire.PAGE, MAX_PAGE_SIZE)));
      List<CloudCodec.ListedMachine> list = cloud.list(target.query(Wire.AFTER, ""), page + 1, now);
      boolean more = list.size() > page;
      return ok(CloudCodec.encodeList(more ? list.subList(0, page) : list, more));
    }
    if (target.is(method, "POST", Wire.PATH_MACHINES)) {
      return createInstances(MessagePackCodec.decode(body), now);
    }
    if (target.is(method, "POST", Wire.PATH_DELETE_MACHINES)) {
      List<MachineId> ids = CloudCodec.decodeMachineIds(MessagePackCodec.decode(body));
      if (ids.size() > MAX_DELETES_PER_REQUEST) {
        return badRequest(Wire.MACHINES + ": too many");
      }
      // The protocol guarantees that machines and their tasks are gone when the answer arrives.
      for (MachineId id : ids) {
        Routine instance = runningInstances.remove(id);
        if (instance != null) {
          instance.cancel();
        }
      }
      cloud.delete(ids, now);
      return ok(MessageBody.of());
    }
    return badRequest("no such request");
  }

  private HttpResponse createInstances(MessageBody request, MonotonicTime now)
      throws InvalidMessageException {
    MachineType type = cloud.type(request.text(Wire.MACHINE_TYPE));
    long count = request.integer(Wire.COUNT);
    String zone = request.text(Wire.ZONE);
    if (type == null
        || !type.zones().contains(zone)
        || count < 1
        || count > EmulatedCloud.MAX_INSTANCES_PER_REQUEST) {
      return badRequest(
          Wire.MACHINE_TYPE + ", " + Wire.ZONE + ", " + Wire.COUNT + ": unknown or too many");
    }
    List<MachineId> ids =
        cloud.createInstances(
            request.text(Wire.SCALE_OUT_ID),
            type,
            zone,
            request.flagOr(Wire.SPOT, false),
            (int) count,
            now);
    if (ids.isEmpty()) {
      return HttpResponse.of(
          503, MessagePackCodec.encode(MessageBody.of().with(Wire.ERROR, Wire.NO_CAPACITY)));
    }
    for (MachineId id : new ArrayList<>(ids)) {
      EmulatedCloud.Instance instance = cloud.instance(id);
      if (instance != null
          && instance.deletedAt() == MonotonicTime.NEVER
          && !runningInstances.containsKey(id)) {
        runningInstances.put(id, instanceFactory.apply(this, instance));
      }
    }
    return ok(CloudCodec.encodeMachineIds(ids));
  }
}
