package io.saltflow.services;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import io.saltflow.gates.Gate;
import io.saltflow.gates.GateError;
import io.saltflow.gates.Measure;
import io.saltflow.gates.Quantity;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Span;
import io.saltflow.rollouts.Plan;
import io.saltflow.rollouts.Windows;
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

/** Plans as operators write them: JSON by a schema, every field of which has a default. */
public final class Plans {
  static final String SCHEMA = "/rollout-plan.schema.json";
  private static final String GATE = "ready >= 95% for 30s and failures(2m) < 2";

  private Plans() {}

  /** Reads a new plan; the error says also what can never work. */
  static Plan checked(String text, int replicas) throws BadMessage {
    check(json(text));
    Plan plan = read(text, replicas);
    List<String> faults = plan.faults(replicas);
    if (!faults.isEmpty()) {
      throw new BadMessage("plan: " + faults.get(0));
    }
    return plan;
  }

  private static JsonNode json(String text) throws BadMessage {
    try {
      return new ObjectMapper().readTree(text);
    } catch (JsonProcessingException e) {
      throw new BadMessage("plan: not JSON: " + e.getOriginalMessage());
    }
  }

  /**
   * Reads a plan that was checked when it was new: a leader that takes over reads one a service,
   * and compiles no schema for it. The error names the column of a gate.
   */
  static Plan read(String text, int replicas) throws BadMessage {
    JsonNode node = json(text);
    List<Plan.Step> steps = new ArrayList<>();
    for (JsonNode s : node.path("steps")) {
      boolean percent = s.has("percent");
      steps.add(
          new Plan.Step(
              s.path(percent ? "percent" : "count").asInt(),
              percent,
              s.path("approval").asBoolean(false)));
    }
    if (steps.isEmpty()) {
      steps.add(new Plan.Step(1, false, false));
      if (replicas > 1) {
        steps.add(new Plan.Step(100, true, false));
      }
    }
    return new Plan(
        steps,
        node.path("surge").asInt(1),
        node.path("mostUnavailable").asInt(0),
        node.path("startsAtOnce").asInt(Math.max(1, replicas / 10)),
        Span.seconds(node.path("settleS").asDouble(10)),
        Span.seconds(node.path("limitS").asDouble(600)),
        Span.seconds(node.path("backLimitS").asDouble(600)),
        gate("gate", node.path("gate").asText(GATE)),
        node.has("stop") ? gate("stop", node.get("stop").asText()) : null,
        windows(node.path("windows")));
  }

  private static void check(JsonNode node) throws BadMessage {
    try (InputStream in = Plans.class.getResourceAsStream(SCHEMA)) {
      JsonSchema schema =
          JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
      Set<ValidationMessage> faults = schema.validate(node);
      if (!faults.isEmpty()) {
        throw new BadMessage("plan: " + faults.iterator().next().getMessage());
      }
    } catch (IOException e) {
      throw new IllegalStateException(SCHEMA + " is packed with the program", e);
    }
  }

  private static Windows windows(JsonNode node) throws BadMessage {
    if (node.isMissingNode()) {
      return Windows.ALWAYS;
    }
    try {
      List<Windows.Span> spans = new ArrayList<>();
      for (JsonNode s : node.path("times")) {
        spans.add(
            new Windows.Span(
                LocalTime.parse(s.get("from").asText()), LocalTime.parse(s.get("until").asText())));
      }
      Set<DayOfWeek> days = EnumSet.noneOf(DayOfWeek.class);
      node.path("days")
          .forEach(d -> days.add(DayOfWeek.valueOf(d.asText().toUpperCase(Locale.ROOT))));
      return new Windows(
          ZoneId.of(node.get("zone").asText()),
          spans,
          days.isEmpty() ? EnumSet.allOf(DayOfWeek.class) : days,
          dates(node.path("closed")),
          dates(node.path("opened")));
    } catch (DateTimeException e) {
      throw new BadMessage("plan: windows: " + e.getMessage());
    }
  }

  private static Set<LocalDate> dates(JsonNode list) {
    Set<LocalDate> out = new TreeSet<>();
    list.forEach(d -> out.add(LocalDate.parse(d.asText())));
    return out;
  }

  private static Gate gate(String field, String text) throws BadMessage {
    try {
      Gate gate = Gate.parse(text);
      for (Quantity q : gate.quantities()) {
        if (q.measure() == Measure.PROBE) {
          // A gate that waits for what nobody makes would fail every roll-out by its limit.
          throw new BadMessage("plan: " + field + ": probes are not made yet");
        }
      }
      return gate;
    } catch (GateError e) {
      throw new BadMessage("plan: " + field + ": " + e.getMessage());
    }
  }
}
