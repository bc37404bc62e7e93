package io.saltflow.services;

import io.saltflow.model.RateLimiter;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.Wire;
import io.saltflow.records.ServiceRepository;
import io.saltflow.rollouts.Rollout;
import io.saltflow.rollouts.RolloutCommand;
import io.saltflow.rollouts.RolloutPlan;
import io.saltflow.rollouts.RolloutStateMachine;
import io.saltflow.transport.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Handles operators' requests: apply and scale services, start and control rollouts. Each is
 * answered with an HTTP status and a body; 200 is sent only after the change is recorded.
 */
final class ServiceOperations {
  private static final int MAX_SERVICES = 500;
  private static final double MAX_PLANS_PER_S = 2;

  /** Records a service's next state and reports the result of the write. */
  interface Recorder {
    void record(LiveService live, Service next, Consumer<ServiceRepository.WriteResult> then);
  }

  private final EventLoop loop;
  private final ServiceNode node;
  private final Map<String, LiveService> services;
  private final BooleanSupplier ready;
  private final Recorder recorder;
  private final Function<String, MessageBody> show;

  /** Bounds the rate of plan validation, which is costly on a small machine. */
  private final RateLimiter planRate;

  /**
   * @param ready whether the services' records have been read
   * @param show returns the view of a service by its name
   */
  ServiceOperations(
      EventLoop loop,
      ServiceNode node,
      Map<String, LiveService> services,
      BooleanSupplier ready,
      Recorder recorder,
      Function<String, MessageBody> show) {
    this.loop = loop;
    this.node = node;
    this.services = services;
    this.ready = ready;
    this.recorder = recorder;
    this.show = show;
    planRate = new RateLimiter(MAX_PLANS_PER_S, MAX_PLANS_PER_S, loop.now());
  }

  private boolean rejectIfBusy(BiConsumer<Integer, MessageBody> answer, LiveService live) {
    if (!ready.getAsBoolean() || (live != null && live.writeInFlight)) {
      answer.accept(503, error("not now"));
      return true;
    }
    return false;
  }

  private static MessageBody error(String why) {
    return MessageBody.of().with(Wire.ERROR, why);
  }

  private void answer(
      ServiceRepository.WriteResult result, String name, BiConsumer<Integer, MessageBody> answer) {
    switch (result) {
      case RECORDED -> answer.accept(200, show.apply(name));
      case NOT_WRITTEN, LEADERSHIP_LOST -> answer.accept(503, error("not recorded"));
      case TOO_LARGE -> answer.accept(422, error("the record would be too large"));
    }
  }

  /** Creates a service, or changes its number of replicas. */
  void apply(MessageBody request, BiConsumer<Integer, MessageBody> answer) {
    try {
      String name = request.text("name");
      LiveService existing = services.get(name);
      if (rejectIfBusy(answer, existing)) {
        return;
      }
      int replicas = ServiceRequest.replicas(request);
      if (existing != null) {
        scale(existing, request, replicas, answer);
        return;
      }
      LiveService live =
          new LiveService(ServiceRequest.service(request, node.wallMs().getAsLong()));
      String unschedulable =
          node.unschedulableReason().apply(live.jobSpecOf(live.service().version(1)));
      if (unschedulable != null || services.size() >= MAX_SERVICES) {
        answer.accept(422, error(unschedulable == null ? "too many services" : unschedulable));
        return;
      }
      services.put(name, live);
      recorder.record(
          live,
          live.service(),
          result -> {
            if (result != ServiceRepository.WriteResult.RECORDED) {
              services.remove(name);
            }
            answer(result, name, answer);
          });
    } catch (InvalidMessageException exception) {
      answer.accept(400, error(exception.getMessage()));
    }
  }

  private void scale(
      LiveService live, MessageBody request, int replicas, BiConsumer<Integer, MessageBody> answer)
      throws InvalidMessageException {
    Service service = live.service();
    String image = request.textOr(Wire.IMAGE, service.version(service.serving()).image());
    if (!image.equals(service.version(service.serving()).image())) {
      answer.accept(422, error(Wire.IMAGE + ": another version is brought by a roll-out"));
      return;
    }
    if (replicas > live.jobSpecOf(service.version(service.serving())).tasks()) {
      answer.accept(422, error("replicas: more than four times as many at once"));
      return;
    }
    Service.RolloutRecord current =
        service.isRollingOut()
            ? service
                .current()
                .withRollout(
                    new RolloutStateMachine(service.current().plan())
                        .scale(service.current().rollout(), replicas))
            : service.current();
    recorder.record(
        live,
        service.withReplicas(replicas, current),
        result -> answer(result, service.name(), answer));
  }

  /** Starts a rollout to an image, which becomes a new version unless a version already runs it. */
  void begin(String name, MessageBody request, BiConsumer<Integer, MessageBody> answer) {
    LiveService live = services.get(name);
    if (rejectIfBusy(answer, live)) {
      return;
    }
    if (live == null) {
      answer.accept(404, error("no service '" + name + "'"));
      return;
    }
    Service service = live.service();
    try {
      String image = request.text(Wire.IMAGE);
      Map<String, String> parameters = ServiceCodec.parameters(request);
      if (service.isRollingOut()) {
        boolean same = service.version(service.current().to()).matches(image, parameters);
        // A retry whose first answer was lost finds its rollout in progress: the request is
        // idempotent.
        answer.accept(same ? 200 : 409, same ? show.apply(name) : error("a roll-out is under way"));
        return;
      }
      if (!planRate.tryAcquire(1, loop.now())) {
        answer.accept(503, error("many roll-outs are being started"));
        return;
      }
      String planText = request.textOr("plan", "{}");
      RolloutPlan plan = RolloutPlanReader.readValidated(planText, service.replicas());
      List<String> faults =
          RolloutPlanReader.conflicts(plan, service, node.teamLimits().apply(service.team()));
      if (!faults.isEmpty()) {
        answer.accept(422, error("plan: " + faults.get(0)));
        return;
      }
      begin(live, image, parameters, ServiceRequest.requester(request), planText, plan, answer);
    } catch (InvalidMessageException exception) {
      answer.accept(400, error(exception.getMessage()));
    }
  }

  private void begin(
      LiveService live,
      String image,
      Map<String, String> parameters,
      String by,
      String planText,
      RolloutPlan plan,
      BiConsumer<Integer, MessageBody> answer) {
    Service service = live.service();
    int port = service.template().alternatePort(service.version(service.serving()).port());
    if (service.version(service.serving()).matches(image, parameters)) {
      answer.accept(422, error(Wire.IMAGE + ": it serves already"));
      return;
    }
    List<Service.Version> all = new ArrayList<>(service.versions());
    Service.Version to = null;
    for (Service.Version version : service.versions()) {
      if (version.matches(image, parameters)) {
        to = version.nextGeneration(port);
        all.set(all.indexOf(version), to);
      }
    }
    long wall = node.wallMs().getAsLong();
    if (to == null) {
      int number =
          service.versions().stream().mapToInt(Service.Version::number).max().orElse(0) + 1;
      to = new Service.Version(number, image, parameters, port, by, wall, 1);
      all.add(to);
    }
    List<String> zones = plan.zoneByZone() ? node.zones().get() : List.of();
    Service.RolloutRecord current =
        new Service.RolloutRecord(
            service.serving(),
            to.number(),
            wall,
            planText,
            plan,
            Rollout.begin(service.replicas(), zones, wall));
    recorder.record(
        live,
        service.withNewRollout(all, current),
        result -> answer(result, service.name(), answer));
  }

  /** Applies an operator's command to a rollout. */
  void command(String name, RolloutCommand command, BiConsumer<Integer, MessageBody> answer) {
    LiveService live = services.get(name);
    if (rejectIfBusy(answer, live)) {
      return;
    }
    if (live == null || live.service().current() == null) {
      answer.accept(404, error("no roll-out of '" + name + "'"));
      return;
    }
    Service service = live.service();
    Rollout rollout = service.current().rollout();
    Rollout next =
        new RolloutStateMachine(service.current().plan())
            .applyCommand(rollout, command, node.wallMs().getAsLong());
    if (next.equals(rollout)) {
      answer.accept(200, show.apply(name));
    } else {
      recorder.record(live, service.withRollout(next), result -> answer(result, name, answer));
    }
  }
}
