package io.saltflow.standin;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.CloudCodec;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Time;
import io.saltflow.protocol.Wire;
import io.saltflow.transport.HttpReply;
import io.saltflow.transport.Loop;
import io.saltflow.transport.RequestTarget;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Consumer;

/** The cloud over HTTP; what it rents out is a routine that lives until it is deleted. */
public final class CloudFront extends Routine {
  private static final int MOST_PAGE = 500;
  private static final int MOST_DELETES = 100;

  private final Loop loop;
  private final CloudStore store;
  private final BiFunction<Routine, CloudStore.Rented, Routine> machine;
  private final Map<MachineId, Routine> running = new HashMap<>();

  public CloudFront(
      Routine parent,
      Loop loop,
      CloudStore store,
      BiFunction<Routine, CloudStore.Rented, Routine> machine) {
    super(parent);
    this.loop = loop;
    this.store = store;
    this.machine = machine;
  }

  public void handle(String method, String target, byte[] body, Consumer<HttpReply> answer) {
    Time now = loop.now();
    if (!store.withinRate(now)) {
      answer.accept(HttpReply.empty(429));
      return;
    }
    try {
      answer.accept(reply(method, RequestTarget.of(target), body, now));
    } catch (BadMessage | NumberFormatException e) {
      answer.accept(malformed(e.getMessage()));
    }
  }

  private static HttpReply ok(Body body) {
    return HttpReply.of(200, MsgPack.encode(body));
  }

  private static HttpReply malformed(String why) {
    return HttpReply.of(400, MsgPack.encode(Body.of().with(Wire.ERROR, why)));
  }

  private HttpReply reply(String method, RequestTarget t, byte[] body, Time now) throws BadMessage {
    if (t.is(method, "GET", Wire.PATH_TYPES)) {
      return ok(CloudCodec.encodeTypes(store.types()));
    }
    if (t.is(method, "GET", Wire.PATH_MACHINES)) {
      int page = Math.min(MOST_PAGE, Math.max(1, t.number(Wire.PAGE, MOST_PAGE)));
      List<CloudCodec.Listed> list = store.list(t.query(Wire.AFTER, ""), page + 1, now);
      boolean more = list.size() > page;
      return ok(CloudCodec.encodeList(more ? list.subList(0, page) : list, more));
    }
    if (t.is(method, "POST", Wire.PATH_MACHINES)) {
      return hire(MsgPack.decode(body), now);
    }
    if (t.is(method, "POST", Wire.PATH_DELETE_MACHINES)) {
      List<MachineId> ids = CloudCodec.decodeHosts(MsgPack.decode(body));
      if (ids.size() > MOST_DELETES) {
        return malformed(Wire.MACHINES + ": too many");
      }
      // Gone by the time the answer arrives, with all that is on them.
      for (MachineId id : ids) {
        Routine there = running.remove(id);
        if (there != null) {
          there.cancel();
        }
      }
      store.delete(ids, now);
      return ok(Body.of());
    }
    return malformed("no such request");
  }

  private HttpReply hire(Body b, Time now) throws BadMessage {
    MachineType type = store.type(b.text(Wire.TYPE));
    long count = b.integer(Wire.COUNT);
    String zone = b.text(Wire.ZONE);
    if (type == null
        || !type.zones().contains(zone)
        || count < 1
        || count > CloudStore.MOST_AT_ONCE) {
      return malformed(Wire.TYPE + ", " + Wire.ZONE + ", " + Wire.COUNT + ": unknown or too many");
    }
    List<MachineId> ids =
        store.hire(b.text(Wire.HIRE), type, zone, b.flagOr(Wire.SPOT, false), (int) count, now);
    if (ids.isEmpty()) {
      return HttpReply.of(503, MsgPack.encode(Body.of().with(Wire.ERROR, Wire.NO_CAPACITY)));
    }
    for (MachineId id : new ArrayList<>(ids)) {
      CloudStore.Rented rented = store.machine(id);
      if (rented != null && rented.gone() == Time.NEVER && !running.containsKey(id)) {
        running.put(id, machine.apply(this, rented));
      }
    }
    return ok(CloudCodec.encodeHosts(ids));
  }
}
