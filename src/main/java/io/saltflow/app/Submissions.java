package io.saltflow.app;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Wire;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/** Jobs as people write them, in JSON with PROTOCOL's field names, and what they may leave out. */
final class Submissions {
  private static final Map<String, Object> DEFAULTS = new TreeMap<>();
  private static final List<String> OPTIONAL =
      List.of(Wire.ID, Wire.TYPES, Wire.ZONE, Wire.DEADLINE_S);
  private static final List<String> REQUIRED = List.of(Wire.CORES, Wire.ESTIMATE_S);

  static {
    DEFAULTS.put(Wire.CLASS, "work");
    DEFAULTS.put(Wire.TEAM, Local.TEAM);
    DEFAULTS.put(Wire.SHAPE, Wire.SHAPE_ARRAY);
    DEFAULTS.put(Wire.PRIORITY, Wire.URGENCY_NORMAL);
    DEFAULTS.put(Wire.TASKS, 1L);
    DEFAULTS.put(Wire.GPUS, 0.0);
    DEFAULTS.put(Wire.MEMORY_GB, 1.0);
    DEFAULTS.put(Wire.IMAGE, "stand-in/done");
    DEFAULTS.put(Wire.IMAGE_GB, 0.1);
    DEFAULTS.put(Wire.ONE_ZONE, false);
    DEFAULTS.put(Wire.SPREAD, false);
    DEFAULTS.put(Wire.SPOT, true);
    DEFAULTS.put(Wire.CHECKPOINT_S, 0.0);
    DEFAULTS.put(Wire.SAVE_S, 0.0);
  }

  private Submissions() {}

  /** The jobs of a text: one map or a list of them. The error says which, and what is wrong. */
  static List<Body> read(String json, Supplier<JobId> ids) throws ConfigError {
    JsonNode root;
    try {
      root =
          new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).readTree(json);
    } catch (JsonProcessingException e) {
      String at =
          e.getLocation() == null
              ? ""
              : "line " + e.getLocation().getLineNr() + ", column " + e.getLocation().getColumnNr();
      throw new ConfigError("not JSON: " + at + ": " + e.getOriginalMessage());
    }
    List<Body> out = new ArrayList<>();
    if (root.isArray()) {
      for (int i = 0; i < root.size(); i++) {
        out.add(job(root.get(i), "job " + (i + 1) + ": ", ids));
      }
    } else {
      out.add(job(root, "", ids));
    }
    if (out.isEmpty()) {
      throw new ConfigError("no job to submit");
    }
    return out;
  }

  private static Body job(JsonNode node, String which, Supplier<JobId> ids) throws ConfigError {
    if (!node.isObject()) {
      throw new ConfigError(which + "a map of fields is required");
    }
    Body body = Body.of();
    DEFAULTS.forEach(body::with);
    for (Map.Entry<String, JsonNode> field : node.properties()) {
      String name = field.getKey();
      if (!DEFAULTS.containsKey(name) && !OPTIONAL.contains(name) && !REQUIRED.contains(name)) {
        throw new ConfigError(which + "unknown field '" + name + "'");
      }
      body.with(name, value(field.getValue(), which + name));
    }
    for (String name : REQUIRED) {
      if (body.get(name) == null) {
        throw new ConfigError(which + name + ": is missing");
      }
    }
    return body.get(Wire.ID) == null ? body.with(Wire.ID, ids.get().text()) : body;
  }

  private static Object value(JsonNode node, String which) throws ConfigError {
    if (node.isNull()) {
      return null;
    }
    if (node.isTextual()) {
      return node.textValue();
    }
    if (node.isBoolean()) {
      return node.booleanValue();
    }
    if (node.isIntegralNumber() && node.canConvertToLong()) {
      return node.longValue();
    }
    if (node.isNumber()) {
      return node.doubleValue();
    }
    if (node.isArray()) {
      List<Object> list = new ArrayList<>();
      for (JsonNode item : node) {
        list.add(value(item, which));
      }
      return list;
    }
    throw new ConfigError(which + ": a map has no meaning here");
  }
}
