package io.saltflow.config;

import com.fasterxml.jackson.databind.JsonNode;
import io.saltflow.cluster.Policy;
import io.saltflow.deadlines.DeadlineRule;
import io.saltflow.fairshare.FairShareRules;
import io.saltflow.leader.LeaderLease;
import io.saltflow.model.Priority;
import io.saltflow.model.TimeSpan;
import io.saltflow.priority.LaneRule;
import io.saltflow.priority.LaneRules;
import io.saltflow.protocol.PriorityNames;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Operator settings, read from JSON and validated against a schema that describes each field. The
 * components are named after the fields of the file.
 */
public record OperatorSettings(
    double leaderLeaseS,
    double scaleDown,
    double scaleThresholdS,
    String preemptFrom,
    double patienceS,
    double pressedSlackS,
    double lengthWeight,
    double leastPart,
    double leastPartAfterS,
    double oldestPart,
    double beginWithinS,
    double dearFactor,
    double dearShare,
    double horizonS,
    double ordinaryHorizonS,
    double idleReturnBoots,
    double minimumChargeS,
    double silenceS,
    double bootPatience,
    int faultyAfter,
    LaneRules lanes,
    List<DeadlineRule> deadlineRules) {
  static final String SCHEMA = "/operator-settings.schema.json";

  /** Returns the settings that apply without a file. */
  public static OperatorSettings defaults() {
    return new OperatorSettings(
        5,
        0.2,
        1800,
        "high",
        6,
        60,
        4,
        0.67,
        120,
        0.25,
        240,
        1.8,
        0.25,
        75,
        90,
        0.4,
        60,
        10,
        3,
        2,
        LaneRules.NONE,
        List.of());
  }

  /**
   * Reads and validates a settings file.
   *
   * @throws ConfigException if the file cannot be read or a field is invalid
   */
  public static OperatorSettings read(Path file) throws ConfigException {
    JsonNode node = JsonSettingsReader.read(file, SCHEMA);
    OperatorSettings defaults = defaults();
    LaneRules lanes = laneRules(node.path("lanes"));
    if (!lanes.validationErrors().isEmpty()) {
      throw new ConfigException(file + ": " + String.join("; ", lanes.validationErrors()));
    }
    List<DeadlineRule> deadlineRules = deadlineRules(file, node.path("readiness"));
    if (!DeadlineRule.validationErrors(deadlineRules).isEmpty()) {
      throw new ConfigException(
          file + ": " + String.join("; ", DeadlineRule.validationErrors(deadlineRules)));
    }
    return new OperatorSettings(
        node.path("leaderLeaseS").asDouble(defaults.leaderLeaseS),
        node.path("scaleDown").asDouble(defaults.scaleDown),
        node.path("scaleThresholdS").asDouble(defaults.scaleThresholdS),
        node.path("preemptFrom").asText(defaults.preemptFrom),
        node.path("patienceS").asDouble(defaults.patienceS),
        node.path("pressedSlackS").asDouble(defaults.pressedSlackS),
        node.path("lengthWeight").asDouble(defaults.lengthWeight),
        node.path("leastPart").asDouble(defaults.leastPart),
        node.path("leastPartAfterS").asDouble(defaults.leastPartAfterS),
        node.path("oldestPart").asDouble(defaults.oldestPart),
        node.path("beginWithinS").asDouble(defaults.beginWithinS),
        node.path("dearFactor").asDouble(defaults.dearFactor),
        node.path("dearShare").asDouble(defaults.dearShare),
        node.path("horizonS").asDouble(defaults.horizonS),
        node.path("ordinaryHorizonS").asDouble(defaults.ordinaryHorizonS),
        node.path("idleReturnBoots").asDouble(defaults.idleReturnBoots),
        node.path("minimumChargeS").asDouble(defaults.minimumChargeS),
        node.path("silenceS").asDouble(defaults.silenceS),
        node.path("bootPatience").asDouble(defaults.bootPatience),
        node.path("faultyAfter").asInt(defaults.faultyAfter),
        lanes,
        deadlineRules);
  }

  private static List<DeadlineRule> deadlineRules(Path file, JsonNode list) throws ConfigException {
    List<DeadlineRule> rules = new ArrayList<>();
    for (JsonNode ruleNode : list) {
      String zone = ruleNode.path("zone").asText("UTC");
      Set<DayOfWeek> days = EnumSet.noneOf(DayOfWeek.class);
      texts(ruleNode.path("days")).forEach(day -> days.add(DAYS.get(day)));
      try {
        rules.add(
            new DeadlineRule(
                ruleNode.path("queue").asText(),
                texts(ruleNode.path("classes")),
                texts(ruleNode.path("teams")),
                LocalTime.parse(ruleNode.path("opens").asText()),
                LocalTime.parse(ruleNode.path("by").asText()),
                ZoneId.of(zone),
                days.isEmpty() ? EnumSet.allOf(DayOfWeek.class) : days,
                ruleNode.path("share").asDouble(1)));
      } catch (DateTimeException exception) {
        throw new ConfigException(
            file + ": readiness[" + rules.size() + "].zone: unknown time zone '" + zone + "'");
      }
    }
    return rules;
  }

  private static final Map<String, DayOfWeek> DAYS =
      Map.of(
          "mon", DayOfWeek.MONDAY,
          "tue", DayOfWeek.TUESDAY,
          "wed", DayOfWeek.WEDNESDAY,
          "thu", DayOfWeek.THURSDAY,
          "fri", DayOfWeek.FRIDAY,
          "sat", DayOfWeek.SATURDAY,
          "sun", DayOfWeek.SUNDAY);

  private static LaneRules laneRules(JsonNode list) {
    List<LaneRule> rules = new ArrayList<>();
    for (JsonNode lane : list) {
      Set<Priority> priorities = EnumSet.noneOf(Priority.class);
      texts(lane.path("urgency")).forEach(name -> priorities.add(PriorityNames.parse(name)));
      rules.add(
          new LaneRule(
              lane.path("name").asText(),
              texts(lane.path("classes")),
              texts(lane.path("teams")),
              priorities));
    }
    return new LaneRules(rules);
  }

  private static Set<String> texts(JsonNode list) {
    Set<String> texts = new TreeSet<>();
    list.forEach(item -> texts.add(item.asText()));
    return texts;
  }

  /**
   * Returns warnings about values that are valid but probably unintended with the given settings.
   */
  public List<String> warnings(PlatformSettings settings) {
    Set<String> classes = new TreeSet<>(settings.deadlineByClass().keySet());
    classes.addAll(settings.startTargetByClass().keySet());
    List<String> warnings = new ArrayList<>(lanes.warnings(classes, settings.teams().keySet()));
    for (DeadlineRule rule : deadlineRules) {
      rule.classes().stream()
          .filter(name -> !classes.contains(name))
          .forEach(
              n ->
                  warnings.add(
                      "queue '" + rule.queue() + "': no aim of this site names the class " + n));
      rule.teams().stream()
          .filter(name -> !settings.teams().containsKey(name))
          .forEach(n -> warnings.add("queue '" + rule.queue() + "': this site has no team " + n));
    }
    return warnings;
  }

  /** Returns the duration of the leader lease. */
  public TimeSpan leaderLease() {
    return TimeSpan.seconds(leaderLeaseS);
  }

  /** Returns the scheduling policy that results from the operator and platform settings. */
  public Policy policy(PlatformSettings settings) {
    return new Policy(
        settings.cpuShare(),
        settings.heartbeatInterval(),
        settings.workerLease(),
        LeaderLease.workerRenewalBound(settings.workerLease(), settings.cancelTimeout()),
        settings.teams(),
        settings.deadlineByClass(),
        settings.startTargetByClass(),
        settings.guaranteeStartTarget() == null
            ? TimeSpan.seconds(patienceS)
            : settings.guaranteeStartTarget(),
        scaleDown,
        TimeSpan.seconds(scaleThresholdS),
        Priority.valueOf(preemptFrom.toUpperCase(Locale.ROOT)),
        TimeSpan.seconds(patienceS),
        TimeSpan.seconds(pressedSlackS),
        lengthWeight,
        new FairShareRules(leastPart, TimeSpan.seconds(leastPartAfterS), oldestPart),
        TimeSpan.seconds(beginWithinS),
        dearFactor,
        dearShare,
        TimeSpan.seconds(horizonS),
        TimeSpan.seconds(ordinaryHorizonS),
        idleReturnBoots,
        TimeSpan.seconds(minimumChargeS),
        TimeSpan.seconds(Math.max(silenceS, settings.heartbeatInterval().toSeconds() * 3)),
        bootPatience,
        faultyAfter,
        deadlineRules);
  }
}
