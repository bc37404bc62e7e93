package io.saltflow.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Jobs as people write them: JSON with the field names of the wire, most of which have defaults.
 */
public final class JsonJobs {
  private static final Map<String, Object> DEFAULTS = new TreeMap<>();
  private static final List<String> OPTIONAL =
      List.of(Wire.ID, Wire.TEAM, Wire.TYPES, Wire.ZONE, Wire.DEADLINE_S, Wire.AWAITS);
  private static final List<String> REQUIRED = List.of(Wire.CORES, Wire.ESTIMATE_S);

  static {
    DEFAULTS.put(Wire.CLASS, "work");
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

  private JsonJobs() {}

  /** The jobs of a text: one map or a list of them. The error says which, and what is wrong. */
  public static List<Body> read(String json) throws BadMessage {
    JsonNode root;
    try {
      root =
          new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).readTree(json);
    } catch (JsonProcessingException e) {
      String at =
          e.getLocation() == null
              ? ""
              : "line " + e.getLocation().getLineNr() + ", column " + e.getLocation().getColumnNr();
      throw new BadMessage("not JSON: " + at + ": " + e.getOriginalMessage());
    }
    List<Body> out = new ArrayList<>();
    if (!root.isArray()) {
      out.add(withDefaults(fields(root)));
      return out;
    }
    for (int i = 0; i < root.size(); i++) {
      try {
        out.add(withDefaults(fields(root.get(i))));
      } catch (BadMessage e) {
        throw new BadMessage("job " + (i + 1) + ": " + e.getMessage());
      }
    }
    return out;
  }

  /** The fields of one job; one that is not known is refused, for it is likely a slip. */
  public static Body fields(JsonNode node) throws BadMessage {
    if (!node.isObject()) {
      throw new BadMessage("a map of fields is required");
    }
    Body body = Body.of();
    for (Map.Entry<String, JsonNode> field : node.properties()) {
      String name = field.getKey();
      if (!DEFAULTS.containsKey(name) && !OPTIONAL.contains(name) && !REQUIRED.contains(name)) {
        throw new BadMessage("unknown field '" + name + "'");
      }
      body.with(name, value(field.getValue(), name));
    }
    return body;
  }

  /** What was left out, filled in; what must be said must have been. */
  public static Body withDefaults(Body job) throws BadMessage {
    for (String name : REQUIRED) {
      if (job.get(name) == null) {
        throw new BadMessage(name + ": is missing");
      }
    }
    Body out = Body.of();
    DEFAULTS.forEach(out::with);
    job.fields().forEach(out::with);
    return out;
  }

  private static Object value(JsonNode node, String which) throws BadMessage {
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
    throw new BadMessage(which + ": a map has no meaning here");
  }
}
