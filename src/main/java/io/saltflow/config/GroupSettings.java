package io.saltflow.config;

import com.fasterxml.jackson.databind.JsonNode;
import io.saltflow.kvserver.ReplicatedServer;
import io.saltflow.raft.GroupKey;
import io.saltflow.raft.InvalidGroupKeyException;
import io.saltflow.transport.Addresses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * Settings of one node of a Raft group.
 *
 * @param name the group's name
 * @param key the secret shared by the group's nodes
 * @param self the name of this node
 * @param nodes the addresses of all nodes, including this one, by name
 */
public record GroupSettings(
    String name, GroupKey key, String self, Map<String, ReplicatedServer.NodeAddresses> nodes) {
  static final String SCHEMA = "/group.schema.json";

  /**
   * Reads and validates a group file and the key file it refers to.
   *
   * @param self the name of the node that uses the settings
   * @throws ConfigException if a file cannot be read or a field is invalid
   */
  public static GroupSettings read(Path file, String self) throws ConfigException {
    JsonNode json = JsonSettingsReader.read(file, SCHEMA);
    Map<String, ReplicatedServer.NodeAddresses> nodes = new TreeMap<>();
    for (Map.Entry<String, JsonNode> entry : json.get("nodes").properties()) {
      nodes.put(
          entry.getKey(),
          new ReplicatedServer.NodeAddresses(
              address(file, entry.getKey(), entry.getValue(), "peers"),
              address(file, entry.getKey(), entry.getValue(), "clients")));
    }
    if (!nodes.containsKey(self)) {
      throw new ConfigException(file + ": nodes: no node is named " + self);
    }
    Path keyFile = file.toAbsolutePath().resolveSibling(json.get("key").asText());
    try {
      return new GroupSettings(
          json.get("name").asText(), new GroupKey(Files.readAllBytes(keyFile)), self, nodes);
    } catch (IOException exception) {
      throw new ConfigException(keyFile + ": cannot read the group key: " + exception.getMessage());
    } catch (InvalidGroupKeyException exception) {
      throw new ConfigException(keyFile + ": " + exception.getMessage());
    }
  }

  private static InetSocketAddress address(Path file, String name, JsonNode node, String field)
      throws ConfigException {
    try {
      return Addresses.parse(node.get(field).asText());
    } catch (IllegalArgumentException exception) {
      throw new ConfigException(
          file + ": nodes." + name + "." + field + ": " + exception.getMessage());
    }
  }
}
