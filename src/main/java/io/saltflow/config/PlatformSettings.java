package io.saltflow.config;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import io.saltflow.cluster.Policy;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import io.saltflow.store.StoreLimits;
import io.saltflow.transport.Addresses;
import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Platform settings, read from TOML and validated. Unknown fields are ignored. Each limit of the
 * key-value store is the lower of its current and its announced value.
 *
 * @param peers the mesh addresses of the other controllers
 * @param peerHosts their host names, in the same order
 * @param clusterSize the number of controllers
 * @param deadlineByClass the time within which jobs of a class must finish, for classes with such
 *     an objective
 * @param startTargetByClass the time within which jobs of a class must start, for classes with such
 *     an objective
 * @param guaranteeStartTarget the time within which work covered by a guaranteed quota must start,
 *     or {@code null} if there is no such objective
 * @param cancelTimeout the time within which a cancellation must take effect
 * @param cpuShare the fraction of a core that a controller may use, at most 1
 * @param clockSkew the largest deviation of a controller's wall clock from the true time, in either
 *     direction
 */
public record PlatformSettings(
    String host,
    String zone,
    InetSocketAddress listenAddress,
    InetSocketAddress meshAddress,
    List<InetSocketAddress> peers,
    List<String> peerHosts,
    InetSocketAddress cloudAddress,
    InetSocketAddress storeAddress,
    int clusterSize,
    Map<String, Policy.TeamQuota> teams,
    Map<String, TimeSpan> deadlineByClass,
    Map<String, TimeSpan> startTargetByClass,
    TimeSpan guaranteeStartTarget,
    TimeSpan heartbeatInterval,
    TimeSpan workerLease,
    TimeSpan cancelTimeout,
    double storeRequestsPerSecond,
    double storeWritesPerSecond,
    double maxValueKb,
    int maxTransactionOperations,
    double cloudRequestsPerSecond,
    TimeSpan cloudListLag,
    int maxSockets,
    double cpuShare,
    TimeSpan clockSkew) {

  /** Returns the limit on a team's concurrent use, or {@code null} if there is no such team. */
  public Resources teamLimit(String name) {
    Policy.TeamQuota team = teams.get(name);
    double unlimited = Double.POSITIVE_INFINITY;
    return team == null
        ? null
        : new Resources(
            team.coreLimit() > 0 ? team.coreLimit() : unlimited,
            team.gpuLimit() > 0 ? team.gpuLimit() : unlimited,
            unlimited);
  }

  /**
   * Reads and validates a settings file.
   *
   * @throws ConfigException if the file cannot be read or a field is invalid
   */
  public static PlatformSettings read(Path file) throws ConfigException {
    try (Reader in = Files.newBufferedReader(file)) {
      return parse(in);
    } catch (IOException exception) {
      throw new ConfigException(file + ": cannot be read: " + exception.getMessage());
    }
  }

  /**
   * Parses and validates the text of a settings file.
   *
   * @throws ConfigException if the text is not TOML or a field is invalid
   */
  public static PlatformSettings parse(String toml) throws ConfigException {
    return parse(new StringReader(toml));
  }

  private static PlatformSettings parse(Reader in) throws ConfigException {
    UnmodifiableConfig toml;
    try {
      toml = new TomlParser().parse(in);
    } catch (ParsingException exception) {
      throw new ConfigException("not TOML: " + exception.getMessage());
    }
    List<InetSocketAddress> peers = new ArrayList<>();
    List<String> peerHosts = new ArrayList<>();
    for (UnmodifiableConfig peer : tables(toml, "siblings")) {
      peers.add(address(peer, "addr", "siblings.addr"));
      peerHosts.add(text(peer, "host_name", "siblings.host_name"));
    }
    return new PlatformSettings(
        text(toml, "host_name", "host_name"),
        text(toml, "zone", "zone"),
        address(toml, "serve_on", "serve_on"),
        address(toml, "mesh_addr", "mesh_addr"),
        peers,
        peerHosts,
        address(toml, "endpoints.cloud", "endpoints.cloud"),
        address(toml, "endpoints.state", "endpoints.state"),
        (int) positive(toml, "settings.size", 1.0 + peers.size()),
        teams(toml),
        tightestByClass(toml, "finished"),
        tightestByClass(toml, "wait"),
        guaranteeStartTarget(toml),
        TimeSpan.seconds(positive(toml, "settings.workers.report_s", null)),
        TimeSpan.seconds(positive(toml, "settings.workers.lease_s", null)),
        TimeSpan.seconds(positive(toml, "settings.workers.cancel_s", null)),
        storeLimit(toml, "rps"),
        storeLimit(toml, "write_rps"),
        storeLimit(toml, "value_kb"),
        (int) storeLimit(toml, "txn_ops"),
        positive(toml, "settings.cloud.rps", null),
        TimeSpan.seconds(amount(toml, "settings.cloud.list_lag_s", 5.0)),
        (int) positive(toml, "settings.resources.sockets", 1000.0),
        Math.min(1, positive(toml, "settings.resources.cpu", 1.0)),
        TimeSpan.millis((long) amount(toml, "settings.skew_ms", 0.0)));
  }

  private static Map<String, Policy.TeamQuota> teams(UnmodifiableConfig toml)
      throws ConfigException {
    Map<String, Policy.TeamQuota> teams = new LinkedHashMap<>();
    for (UnmodifiableConfig team : tables(toml, "settings.teams")) {
      String name = text(team, "name", "settings.teams.name");
      teams.put(
          name,
          new Policy.TeamQuota(
              name,
              amount(team, "cpus", 0.0),
              amount(team, "cpus_max", 0.0),
              amount(team, "gpus", 0.0),
              amount(team, "gpus_max", 0.0)));
    }
    return teams;
  }

  /** Returns warnings about values that are valid but probably unintended. */
  public List<String> warnings() {
    List<String> warnings = new ArrayList<>();
    if (teams.isEmpty()) {
      warnings.add("settings.teams: none; every submission will be refused for an unknown team");
    }
    for (Policy.TeamQuota team : teams.values()) {
      if (team.coreLimit() > 0 && team.guaranteedCores() > team.coreLimit()) {
        warnings.add("settings.teams " + team.name() + ": cpus is more than cpus_max, which holds");
      }
      if (team.gpuLimit() > 0 && team.guaranteedGpus() > team.gpuLimit()) {
        warnings.add("settings.teams " + team.name() + ": gpus is more than gpus_max, which holds");
      }
    }
    if (maxTransactionOperations < StoreLimits.MIN_OPERATIONS) {
      warnings.add(
          "settings.state.txn_ops (or that of next): with fewer than "
              + StoreLimits.MIN_OPERATIONS
              + " no job can be ended or cancelled");
    }
    if (maxValueKb * 1024 < StoreLimits.MIN_VALUE_BYTES) {
      warnings.add(
          "settings.state.value_kb (or that of next): with less than "
              + StoreLimits.MIN_VALUE_BYTES
              + " bytes jobs with long descriptions are refused, and what is decided may not be"
              + " recorded");
    }
    return warnings;
  }

  /**
   * Returns a limit of the key-value store: the lower of the current and the announced value. The
   * announced value takes effect without notice, so writes must satisfy both.
   */
  private static double storeLimit(UnmodifiableConfig toml, String name) throws ConfigException {
    double now = positive(toml, "settings.state." + name, null);
    return Math.min(now, positive(toml, "settings.state.next." + name, now));
  }

  /** Returns the shortest time that the objectives of a kind set for each class. */
  private static Map<String, TimeSpan> tightestByClass(UnmodifiableConfig toml, String kind)
      throws ConfigException {
    Map<String, TimeSpan> tightest = new LinkedHashMap<>();
    for (UnmodifiableConfig objective : tables(toml, "settings.objectives")) {
      if (kind.equals(objective.get("kind")) && objective.get("class") instanceof String name) {
        TimeSpan within = TimeSpan.seconds(amount(objective, "within_s", 0.0));
        tightest.merge(name, within, (a, b) -> a.longerThan(b) ? b : a);
      }
    }
    return tightest;
  }

  /** Returns the shortest start time of the guarantee objectives, or {@code null} without any. */
  private static TimeSpan guaranteeStartTarget(UnmodifiableConfig toml) throws ConfigException {
    TimeSpan tightest = null;
    for (UnmodifiableConfig objective : tables(toml, "settings.objectives")) {
      if ("guarantee".equals(objective.get("kind"))) {
        TimeSpan within = TimeSpan.seconds(amount(objective, "within_s", 0.0));
        tightest = tightest == null || tightest.longerThan(within) ? within : tightest;
      }
    }
    return tightest;
  }

  private static List<UnmodifiableConfig> tables(UnmodifiableConfig toml, String name)
      throws ConfigException {
    Object value = toml.get(name);
    List<UnmodifiableConfig> tables = new ArrayList<>();
    if (value == null) {
      return tables;
    }
    if (!(value instanceof List<?> list)) {
      throw new ConfigException(name + ": a list of tables is required");
    }
    for (Object item : list) {
      if (!(item instanceof UnmodifiableConfig table)) {
        throw new ConfigException(name + ": a list of tables is required");
      }
      tables.add(table);
    }
    return tables;
  }

  private static String text(UnmodifiableConfig toml, String path, String displayName)
      throws ConfigException {
    Object value = toml.get(path);
    if (value instanceof String text && !text.isEmpty()) {
      return text;
    }
    throw new ConfigException(
        displayName + ": " + (value == null ? "is missing" : "text is required"));
  }

  private static InetSocketAddress address(UnmodifiableConfig toml, String path, String displayName)
      throws ConfigException {
    try {
      return Addresses.parse(text(toml, path, displayName));
    } catch (IllegalArgumentException exception) {
      throw new ConfigException(displayName + ": " + exception.getMessage());
    }
  }

  private static double amount(UnmodifiableConfig toml, String path, Double defaultValue)
      throws ConfigException {
    Object value = toml.get(path);
    if (value == null && defaultValue != null) {
      return defaultValue;
    }
    if (value instanceof Number number
        && Double.isFinite(number.doubleValue())
        && number.doubleValue() >= 0) {
      return number.doubleValue();
    }
    throw new ConfigException(
        path + ": " + (value == null ? "is missing" : "a number of 0 or more is required"));
  }

  private static double positive(UnmodifiableConfig toml, String path, Double defaultValue)
      throws ConfigException {
    double value = amount(toml, path, defaultValue);
    if (value <= 0) {
      throw new ConfigException(path + ": must be more than 0");
    }
    return value;
  }
}
