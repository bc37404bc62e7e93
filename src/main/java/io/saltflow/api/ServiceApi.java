package io.saltflow.api;

import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.protocol.Wire;
import io.saltflow.rollouts.RolloutCommand;
import io.saltflow.services.ServiceController;
import io.saltflow.transport.HttpResponse;
import java.util.Locale;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * HTTP API of services and their rollouts: {@code /services}, {@code /services/NAME}, {@code
 * /services/NAME/rollout}, and commands such as {@code .../rollout/pause}. Only the leader answers;
 * other nodes respond with the leader's name and a time to retry after.
 */
public final class ServiceApi {
  private static final String ROLLOUT = "/rollout";

  private final Supplier<ServiceController> activeServices;
  private final Supplier<String> leaderName;

  /**
   * @param activeServices returns the service controller, or {@code null} if this node does not
   *     control services
   * @param leaderName returns the leader's host, or {@code null} if it is not known
   */
  public ServiceApi(Supplier<ServiceController> activeServices, Supplier<String> leaderName) {
    this.activeServices = activeServices;
    this.leaderName = leaderName;
  }

  /** Handles a request at or below {@code /services}. */
  public void handle(String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    ServiceController services = activeServices.get();
    if (services == null || !services.ready()) {
      answer.accept(UserResponses.retryLater("services are known to " + leaderName.get(), 1));
      return;
    }
    try {
      boolean post = method.equals("POST");
      MessageBody request =
          post && body.length > 0 ? MessagePackCodec.decode(body) : MessageBody.of();
      handle(services, post, path.substring(Wire.PATH_SERVICES.length()), request, replyTo(answer));
    } catch (InvalidMessageException exception) {
      answer.accept(UserResponses.error(400, exception.getMessage()));
    }
  }

  private static BiConsumer<Integer, MessageBody> replyTo(Consumer<HttpResponse> answer) {
    return (status, body) ->
        answer.accept(
            new HttpResponse(status, MessagePackCodec.encode(body), status == 503 ? 1 : 0));
  }

  private static void handle(
      ServiceController services,
      boolean post,
      String subpath,
      MessageBody request,
      BiConsumer<Integer, MessageBody> answer) {
    if (subpath.isEmpty()) {
      if (post) {
        services.apply(request, answer);
      } else {
        answer.accept(200, services.list());
      }
      return;
    }
    int slash = subpath.indexOf('/', 1);
    String name = slash < 0 ? subpath.substring(1) : subpath.substring(1, slash);
    String action = slash < 0 ? "" : subpath.substring(slash);
    RolloutCommand command = action.startsWith(ROLLOUT + "/") ? command(action) : null;
    if (action.isEmpty() && !post) {
      MessageBody description = services.show(name);
      answer.accept(
          description == null ? 404 : 200,
          description == null
              ? MessageBody.of().with(Wire.ERROR, "no service '" + name + "'")
              : description);
    } else if (action.equals(ROLLOUT) && post) {
      services.begin(name, request, answer);
    } else if (command != null && post) {
      services.command(name, command, answer);
    } else {
      answer.accept(404, MessageBody.of().with(Wire.ERROR, "no such path"));
    }
  }

  private static RolloutCommand command(String action) {
    String text = action.substring(ROLLOUT.length() + 1).toUpperCase(Locale.ROOT);
    for (RolloutCommand command : RolloutCommand.values()) {
      if (command.name().equals(text)) {
        return command;
      }
    }
    return null;
  }
}
