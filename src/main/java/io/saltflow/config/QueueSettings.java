package io.saltflow.config;

import com.fasterxml.jackson.databind.JsonNode;
import inet.ipaddr.IPAddressString;
import io.saltflow.broker.AmqpSettings;
import io.saltflow.cluster.Policy;
import io.saltflow.model.Priority;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.PriorityNames;
import io.saltflow.queues.QueueId;
import io.saltflow.queues.QueuePolicy;
import io.saltflow.transport.Addresses;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the operators' settings for the AMQP server and its queues. */
public final class QueueSettings {
  static final String SCHEMA = "/queues.schema.json";
  private static final String LOCAL_SETTINGS = "/queues-local.json";
  private static final TimeSpan DEFAULT_DELIVERY_TIMEOUT = TimeSpan.seconds(1800);
  private static final int DEFAULT_MAX_LENGTH = 100_000;

  private QueueSettings() {}

  /**
   * Reads and validates a settings file.
   *
   * @throws ConfigException if the file cannot be read or a field is invalid
   */
  public static AmqpSettings read(Path file) throws ConfigException {
    try {
      return fromJson(JsonSettingsReader.read(file, SCHEMA));
    } catch (ConfigException exception) {
      String name = file.toString();
      throw exception.getMessage().startsWith(name)
          ? exception
          : new ConfigException(name + ": " + exception.getMessage());
    }
  }

  /** Returns the settings that {@code local} uses without a file. */
  public static AmqpSettings localDefaults() throws ConfigException {
    return fromJson(JsonSettingsReader.resource(LOCAL_SETTINGS));
  }

  private static AmqpSettings fromJson(JsonNode node) throws ConfigException {
    List<AmqpSettings.VirtualHost> hosts = new ArrayList<>();
    for (JsonNode host : node.path("hosts")) {
      hosts.add(new AmqpSettings.VirtualHost(host.get("name").asText(), networks(host)));
    }
    List<AmqpSettings.User> users = new ArrayList<>();
    for (JsonNode user : node.path("users")) {
      users.add(
          new AmqpSettings.User(
              user.get("name").asText(), user.get("hash").asText(), texts(user.get("hosts"))));
    }
    Map<QueueId, QueuePolicy> queues = new LinkedHashMap<>();
    Map<QueueId, String> templates = new HashMap<>();
    for (JsonNode queue : node.path("queues")) {
      QueuePolicy policy = policy(queue);
      if (policy.runsAsJobs() && !policy.redeliverable()) {
        throw new ConfigException(
            "queues "
                + policy.id()
                + ": 'deliver' machines and 'repeats' false exclude each other: the task of a"
                + " machine that ends is started again");
      }
      if (queues.put(policy.id(), policy) != null) {
        throw new ConfigException("queues " + policy.id() + ": defined twice");
      }
      if (hosts.stream().noneMatch(host -> host.name().equals(policy.id().vhost()))) {
        throw new ConfigException("queues " + policy.id() + ": no such virtual host");
      }
      if (queue.path("template").isObject()) {
        templates.put(policy.id(), queue.get("template").toString());
      }
    }
    addInternalQueues(queues);
    Map<String, String> addresses = new HashMap<>();
    node.path("addresses")
        .properties()
        .forEach(e -> addresses.put(e.getKey(), e.getValue().asText()));
    return new AmqpSettings(
        parseListenAddress(node.path("listen").asText("0.0.0.0:5672")),
        addresses,
        bounds(node.path("bounds")),
        users,
        hosts,
        new ArrayList<>(queues.values()),
        templates);
  }

  private static InetSocketAddress parseListenAddress(String text) throws ConfigException {
    try {
      return Addresses.parse(text);
    } catch (IllegalArgumentException exception) {
      throw new ConfigException("listen: " + exception.getMessage());
    }
  }

  private static List<String> networks(JsonNode host) throws ConfigException {
    List<String> networks = texts(host.get("networks"));
    for (String network : networks) {
      if (new IPAddressString(network).getAddress() == null) {
        throw new ConfigException(
            "hosts.networks: '" + network + "' is not an IP address or network");
      }
    }
    return networks;
  }

  private static List<String> texts(JsonNode list) {
    List<String> texts = new ArrayList<>();
    list.forEach(item -> texts.add(item.asText()));
    return texts;
  }

  private static QueuePolicy policy(JsonNode queue) {
    String host = queue.path("host").asText("/");
    String name = queue.get("name").asText();
    return new QueuePolicy(
        new QueueId(host, name),
        queue.path("deliver").asText().equals("machines"),
        queue.path("class").asText(name),
        queue.path("team").asText(""),
        PriorityNames.parse(queue.path("priority").asText(PriorityNames.of(Priority.NORMAL))),
        new Resources(queue.path("cores").asDouble(0), queue.path("gpus").asDouble(0), 0),
        queue.path("attempts").asInt(5),
        TimeSpan.seconds(queue.path("pauseS").asDouble(0)),
        queue.path("repeats").asBoolean(true),
        queue.has("deliveryS")
            ? TimeSpan.seconds(queue.get("deliveryS").asDouble())
            : DEFAULT_DELIVERY_TIMEOUT,
        queueIdOrNull(host, queue.path("deadLetters")),
        queueIdOrNull(host, queue.path("results")),
        queue.path("mostWaiting").asInt(DEFAULT_MAX_LENGTH),
        queue.path("ttlS").isNumber() ? TimeSpan.seconds(queue.get("ttlS").asDouble()) : null,
        false);
  }

  private static QueueId queueIdOrNull(String host, JsonNode name) {
    return name.isTextual() ? new QueueId(host, name.asText()) : null;
  }

  /** Adds the result and dead-letter queues that other queues refer to. */
  private static void addInternalQueues(Map<QueueId, QueuePolicy> queues) throws ConfigException {
    for (QueuePolicy policy : List.copyOf(queues.values())) {
      for (QueueId id : new QueueId[] {policy.results(), policy.deadLetters()}) {
        QueuePolicy existing = id == null ? null : queues.get(id);
        if (existing != null && !existing.internal()) {
          throw new ConfigException(
              "queues "
                  + policy.id()
                  + ": "
                  + id
                  + " accepts published messages and cannot receive results or dead letters");
        }
        if (id != null && existing == null) {
          queues.put(id, QueuePolicy.internal(id, DEFAULT_DELIVERY_TIMEOUT, DEFAULT_MAX_LENGTH));
        }
      }
    }
  }

  private static AmqpSettings.Bounds bounds(JsonNode bounds) {
    return new AmqpSettings.Bounds(
        bounds.path("connections").asInt(1000),
        bounds.path("channels").asInt(255),
        bounds.path("frameMax").asInt(128 * 1024),
        TimeSpan.seconds(bounds.path("heartbeatS").asInt(60)),
        bounds.path("mostUnacked").asInt(2000),
        bounds.path("unconfirmedBytes").asInt(4 << 20),
        bounds.path("mostBodyBytes").asInt(32 * 1024),
        bounds.path("mostBytes").asLong(Runtime.getRuntime().maxMemory() / 4),
        bounds.path("remembered").asInt(20_000),
        TimeSpan.seconds(bounds.path("rememberedS").asDouble(86_400)));
  }

  /** Returns warnings about queues that are valid but cannot work with the given teams. */
  public static List<String> warnings(AmqpSettings settings, Map<String, Policy.TeamQuota> teams) {
    List<String> warnings = new ArrayList<>();
    for (QueuePolicy policy : settings.queues()) {
      Policy.TeamQuota team = teams.get(policy.team());
      if (team == null && (policy.runsAsJobs() || policy.size().cores() > 0)) {
        warnings.add(
            "queues " + policy.id() + ": unknown team '" + policy.team() + "'; nothing will run");
      } else if (team != null && team.coreLimit() > 0 && policy.size().cores() > team.coreLimit()) {
        warnings.add("queues " + policy.id() + ": one message is more than its team's limit");
      }
      if (!policy.internal() && policy.results() == null) {
        warnings.add(
            "queues " + policy.id() + ": no results; nobody will be told how messages end");
      }
    }
    return warnings;
  }
}
