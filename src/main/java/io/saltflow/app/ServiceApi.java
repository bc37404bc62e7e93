package io.saltflow.app;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Wire;
import io.saltflow.rollouts.Command;
import io.saltflow.services.ServiceDuty;
import io.saltflow.transport.HttpReply;
import java.util.Locale;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Services and their roll-outs over HTTP, beside the platform's paths: {@code /services}, {@code
 * /services/NAME}, {@code /services/NAME/rollout} and {@code .../rollout/pause} and so on. Only the
 * leader answers; any other node says who leads and when to come back.
 */
final class ServiceApi {
  private static final String ROLLOUT = "/rollout";

  private final Supplier<ServiceDuty> duty;
  private final Supplier<String> leaderName;

  ServiceApi(Supplier<ServiceDuty> duty, Supplier<String> leaderName) {
    this.duty = duty;
    this.leaderName = leaderName;
  }

  void handle(String method, String path, byte[] body, Consumer<HttpReply> answer) {
    ServiceDuty d = duty.get();
    if (d == null || !d.ready()) {
      answer.accept(Replies.comeBack("services are known to " + leaderName.get(), 1));
      return;
    }
    try {
      boolean post = method.equals("POST");
      Body request = post && body.length > 0 ? MsgPack.decode(body) : Body.of();
      handle(d, post, path.substring(Wire.PATH_SERVICES.length()), request, told(answer));
    } catch (BadMessage e) {
      answer.accept(Replies.error(400, e.getMessage()));
    }
  }

  private static BiConsumer<Integer, Body> told(Consumer<HttpReply> answer) {
    return (status, body) ->
        answer.accept(new HttpReply(status, MsgPack.encode(body), status == 503 ? 1 : 0));
  }

  private static void handle(
      ServiceDuty d, boolean post, String rest, Body request, BiConsumer<Integer, Body> answer) {
    if (rest.isEmpty()) {
      if (post) {
        d.apply(request, answer);
      } else {
        answer.accept(200, d.list());
      }
      return;
    }
    int slash = rest.indexOf('/', 1);
    String name = slash < 0 ? rest.substring(1) : rest.substring(1, slash);
    String what = slash < 0 ? "" : rest.substring(slash);
    Command command = what.startsWith(ROLLOUT + "/") ? command(what) : null;
    if (what.isEmpty() && !post) {
      Body shown = d.show(name);
      answer.accept(
          shown == null ? 404 : 200,
          shown == null ? Body.of().with(Wire.ERROR, "no service '" + name + "'") : shown);
    } else if (what.equals(ROLLOUT) && post) {
      d.begin(name, request, answer);
    } else if (command != null && post) {
      d.command(name, command, answer);
    } else {
      answer.accept(404, Body.of().with(Wire.ERROR, "no such path"));
    }
  }

  private static Command command(String what) {
    String text = what.substring(ROLLOUT.length() + 1).toUpperCase(Locale.ROOT);
    for (Command c : Command.values()) {
      if (c.name().equals(text)) {
        return c;
      }
    }
    return null;
  }
}
