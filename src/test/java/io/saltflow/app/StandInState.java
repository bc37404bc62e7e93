package io.saltflow.app;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.CloudCodec;
import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Size;
import io.saltflow.protocol.Span;
import io.saltflow.transport.HttpReply;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The state service and the cloud as far as a node's users need them, in memory. */
final class StandInState {
  record Value(Body data, long stamp) {}

  final Map<String, Value> keys = new TreeMap<>();
  long epoch = 1;
  boolean down;

  /** The next transaction that puts this key is carried out, but its answer never comes. */
  String loseAnswerFor;

  private static HttpReply reply(int status, Body body) {
    return HttpReply.of(status, MsgPack.encode(body));
  }

  void handle(String method, String target, byte[] body, Consumer<HttpReply> answer) {
    if (down) {
      answer.accept(HttpReply.empty(503));
      return;
    }
    try {
      String path = target.replaceAll("\\?.*", "");
      if (path.startsWith("/kv/")) {
        Value v = keys.get(path.substring(4));
        answer.accept(
            v == null
                ? reply(404, Body.of().with("epoch", epoch))
                : reply(200, Body.of().with("data", v.data).with("stamp", v.stamp)));
      } else if (path.equals("/kv")) {
        answer.accept(reply(200, list(target.replaceAll(".*prefix=([^&]*).*", "$1"))));
      } else if (path.equals("/multi")) {
        boolean watched = loseAnswerFor != null && !keys.containsKey(loseAnswerFor);
        HttpReply done = multi(MsgPack.decode(body));
        if (watched && keys.containsKey(loseAnswerFor)) {
          loseAnswerFor = null;
        } else {
          answer.accept(done);
        }
      } else if (path.equals("/leases")) {
        answer.accept(reply(200, Body.of().with("tenancy", 7)));
      } else if (path.startsWith("/leases/")) {
        answer.accept(HttpReply.empty(200));
      } else if (path.equals("/flavors")) {
        answer.accept(reply(200, CloudCodec.encodeTypes(List.of(TYPE))));
      } else {
        // Watches stay open, and the cloud has nothing to rent.
        answer.accept(
            path.equals("/changes")
                ? reply(200, Body.of().with("epoch", epoch).with("news", List.of()))
                : HttpReply.empty(503));
      }
    } catch (BadMessage e) {
      answer.accept(HttpReply.empty(400));
    }
  }

  private static final MachineType TYPE =
      new MachineType("box", new Size(8, 0, 32), 1, 1, 0.5, Span.seconds(15), List.of("a"));

  private Body list(String prefix) {
    List<Object> pairs = new ArrayList<>();
    keys.forEach(
        (k, v) -> {
          if (k.startsWith(prefix)) {
            pairs.add(Body.of().with("path", k).with("data", v.data).with("stamp", v.stamp));
          }
        });
    return Body.of().with("pairs", pairs).with("truncated", false).with("epoch", epoch);
  }

  private HttpReply multi(Body txn) throws BadMessage {
    for (Body guard : txn.maps("guards")) {
      Value v = keys.get(guard.text("path"));
      if ((v == null ? 0 : v.stamp) != guard.integer("stamp")) {
        return reply(409, Body.of().with("failed", List.of()).with("epoch", epoch));
      }
    }
    epoch++;
    for (Body write : txn.maps("writes")) {
      if (write.get("put") != null) {
        keys.put(write.text("put"), new Value(write.map("data"), epoch));
      } else {
        keys.remove(write.text("delete"));
      }
    }
    return reply(200, Body.of().with("epoch", epoch));
  }
}
