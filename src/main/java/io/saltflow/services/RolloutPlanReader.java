package io.saltflow.services;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import io.saltflow.healthgates.Gate;
import io.saltflow.healthgates.GateException;
import io.saltflow.healthgates.Measure;
import io.saltflow.healthgates.Quantity;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.Wire;
import io.saltflow.rollouts.MaintenanceWindows;
import io.saltflow.rollouts.RolloutPlan;
import java.io.IOException;
import java.io.InputStream;
import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Reads operators' rollout plans: JSON validated by a schema in which every field has a default.
 */
public final class RolloutPlanReader {
  static final String SCHEMA = "/rollout-plan.schema.json";
  private static final String DEFAULT_GATE = "ready >= 95% for 30s and failures(2m) < 2";

  private RolloutPlanReader() {}

  /** Reads and validates a new plan. Plans that can never succeed are rejected too. */
  static RolloutPlan readValidated(String text, int replicas) throws InvalidMessageException {
    check(json(text));
    RolloutPlan plan = read(text, replicas);
    List<String> faults = plan.faults(replicas);
    if (!faults.isEmpty()) {
      throw new InvalidMessageException("plan: " + faults.get(0));
    }
    return plan;
  }

  /** Returns the reasons why a plan can never succeed for a service, one text each. */
  static List<String> conflicts(RolloutPlan plan, Service service, Resources teamLimit) {
    List<String> out = new ArrayList<>();
    if (!plan.probePaths().isEmpty() && service.template().port() == 0) {
      out.add("a gate asks for probes, and the service has no port");
    }
    Resources most = service.template().size().times(service.replicas() + plan.surge());
    if (plan.maxUnavailable() == 0
        && (most.cores() > teamLimit.cores() || most.gpus() > teamLimit.gpus())) {
      out.add(
          service.replicas()
              + " replicas and a surge of "
              + plan.surge()
              + " are more than the limit of team "
              + service.team()
              + ", and none may be unavailable");
    }
    return out;
  }

  /**
   * Returns the reasons why a plan can never succeed for a service that is yet to be created; empty
   * if the plan is valid.
   *
   * @param service the request that {@code service apply} would send
   * @param teamLimits returns a team's limit, or {@code null} if there is no such team
   */
  public static List<String> check(
      String text, MessageBody service, Function<String, Resources> teamLimits)
      throws InvalidMessageException {
    Service parsed = ServiceRequest.service(service, 0);
    Resources limit = teamLimits.apply(parsed.team());
    if (limit == null) {
      return List.of(Wire.TEAM + ": unknown team");
    }
    return conflicts(readValidated(text, parsed.replicas()), parsed, limit);
  }

  private static JsonNode json(String text) throws InvalidMessageException {
    try {
      return new ObjectMapper().readTree(text);
    } catch (JsonProcessingException exception) {
      throw new InvalidMessageException("plan: not JSON: " + exception.getOriginalMessage());
    }
  }

  /**
   * Reads a plan that was validated when it was new. A new leader reads one plan per service, so
   * the schema is neither compiled nor applied here. Errors in a gate name the column.
   */
  static RolloutPlan read(String text, int replicas) throws InvalidMessageException {
    JsonNode node = json(text);
    List<RolloutPlan.Step> steps = new ArrayList<>();
    for (JsonNode jsonNode : node.path("steps")) {
      boolean percent = jsonNode.has("percent");
      steps.add(
          new RolloutPlan.Step(
              jsonNode.path(percent ? "percent" : "count").asInt(),
              percent,
              jsonNode.path("approval").asBoolean(false)));
    }
    if (steps.isEmpty()) {
      steps.add(new RolloutPlan.Step(1, false, false));
      if (replicas > 1) {
        steps.add(new RolloutPlan.Step(100, true, false));
      }
    }
    return new RolloutPlan(
        steps,
        node.path("surge").asInt(1),
        node.path("mostUnavailable").asInt(0),
        new RolloutPlan.Pace(
            node.path("startsAtOnce").asInt(Math.max(1, replicas / 10)),
            node.path("startsPerMinute").asInt(0)),
        node.path("zoneByZone").asBoolean(false),
        TimeSpan.seconds(node.path("settleS").asDouble(10)),
        TimeSpan.seconds(node.path("limitS").asDouble(600)),
        TimeSpan.seconds(node.path("backLimitS").asDouble(600)),
        gate("gate", node.path("gate").asText(DEFAULT_GATE)),
        node.has("stop") ? gate("stop", node.get("stop").asText()) : null,
        windows(node.path("windows")));
  }

  private static void check(JsonNode node) throws InvalidMessageException {
    Set<ValidationMessage> faults = CompiledSchema.PLAN_SCHEMA.validate(node);
    if (!faults.isEmpty()) {
      throw new InvalidMessageException("plan: " + faults.iterator().next().getMessage());
    }
  }

  /** Holds the schema, which is compiled once, when the first plan is validated. */
  private static final class CompiledSchema {
    static final JsonSchema PLAN_SCHEMA = compile();

    private static JsonSchema compile() {
      try (InputStream in = RolloutPlanReader.class.getResourceAsStream(SCHEMA)) {
        return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
      } catch (IOException exception) {
        throw new IllegalStateException(SCHEMA + " cannot be read from the class path", exception);
      }
    }
  }

  private static MaintenanceWindows windows(JsonNode node) throws InvalidMessageException {
    if (node.isMissingNode()) {
      return MaintenanceWindows.ALWAYS;
    }
    try {
      List<MaintenanceWindows.TimeRange> spans = new ArrayList<>();
      for (JsonNode jsonNode : node.path("times")) {
        spans.add(
            new MaintenanceWindows.TimeRange(
                LocalTime.parse(jsonNode.get("from").asText()),
                LocalTime.parse(jsonNode.get("until").asText())));
      }
      Set<DayOfWeek> days = EnumSet.noneOf(DayOfWeek.class);
      node.path("days")
          .forEach(d -> days.add(DayOfWeek.valueOf(d.asText().toUpperCase(Locale.ROOT))));
      return new MaintenanceWindows(
          ZoneId.of(node.get("zone").asText()),
          spans,
          days.isEmpty() ? EnumSet.allOf(DayOfWeek.class) : days,
          dates(node.path("closed")),
          dates(node.path("opened")));
    } catch (DateTimeException exception) {
      throw new InvalidMessageException("plan: windows: " + exception.getMessage());
    }
  }

  private static Set<LocalDate> dates(JsonNode list) {
    Set<LocalDate> out = new TreeSet<>();
    list.forEach(d -> out.add(LocalDate.parse(d.asText())));
    return out;
  }

  private static Gate gate(String field, String text) throws InvalidMessageException {
    try {
      Gate gate = Gate.parse(text);
      for (Quantity quantity : gate.quantities()) {
        // The path is written into an HTTP request line.
        if (quantity.measure() == Measure.PROBE
            && !quantity.text().matches("/[!-~]{0,200}|" + RolloutPlan.CONNECT)) {
          throw new InvalidMessageException(
              "plan: "
                  + field
                  + ": probe(\""
                  + quantity.text()
                  + "\"): a path, or \"tcp\", is required");
        }
      }
      return gate;
    } catch (GateException exception) {
      throw new InvalidMessageException("plan: " + field + ": " + exception.getMessage());
    }
  }
}
