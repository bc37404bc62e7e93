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
 * Reads jobs from JSON written by users. It uses the field names of the wire protocol, most of
 * which have defaults.
 */
public final class JsonJobs {
  private static final Map<String, Object> DEFAULTS = new TreeMap<>();
  private static final List<String> OPTIONAL =
      List.of(
          Wire.ID, Wire.TEAM, Wire.MACHINE_TYPES, Wire.ZONE, Wire.DEADLINE_S, Wire.DEPENDENCIES);
  private static final List<String> REQUIRED = List.of(Wire.CORES, Wire.ESTIMATE_S);

  static {
    DEFAULTS.put(Wire.JOB_CLASS, "work");
    DEFAULTS.put(Wire.SHAPE, Wire.SHAPE_ARRAY);
    DEFAULTS.put(Wire.PRIORITY, Wire.PRIORITY_NORMAL);
    DEFAULTS.put(Wire.TASKS, 1L);
    DEFAULTS.put(Wire.GPUS, 0.0);
    DEFAULTS.put(Wire.MEMORY_GB, 1.0);
    DEFAULTS.put(Wire.IMAGE, "stand-in/done");
    DEFAULTS.put(Wire.IMAGE_GB, 0.1);
    DEFAULTS.put(Wire.ONE_ZONE, false);
    DEFAULTS.put(Wire.SPREAD, false);
    DEFAULTS.put(Wire.SPOT, true);
    DEFAULTS.put(Wire.CHECKPOINT_INTERVAL_S, 0.0);
    DEFAULTS.put(Wire.CHECKPOINT_WRITE_S, 0.0);
  }

  private JsonJobs() {}

  /**
   * Reads one job or a list of jobs.
   *
   * @throws InvalidMessageException if a job is invalid; the message says which one and why
   */
  public static List<MessageBody> read(String json) throws InvalidMessageException {
    JsonNode root;
    try {
      root =
          new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).readTree(json);
    } catch (JsonProcessingException exception) {
      String at =
          exception.getLocation() == null
              ? ""
              : "line "
                  + exception.getLocation().getLineNr()
                  + ", column "
                  + exception.getLocation().getColumnNr();
      throw new InvalidMessageException("not JSON: " + at + ": " + exception.getOriginalMessage());
    }
    List<MessageBody> out = new ArrayList<>();
    if (!root.isArray()) {
      out.add(withDefaults(fields(root)));
      return out;
    }
    for (int i = 0; i < root.size(); i++) {
      try {
        out.add(withDefaults(fields(root.get(i))));
      } catch (InvalidMessageException exception) {
        throw new InvalidMessageException("job " + (i + 1) + ": " + exception.getMessage());
      }
    }
    return out;
  }

  /**
   * Reads the fields of one job. Unknown fields are rejected because they are likely misspelled.
   */
  public static MessageBody fields(JsonNode node) throws InvalidMessageException {
    if (!node.isObject()) {
      throw new InvalidMessageException("a map of fields is required");
    }
    MessageBody body = MessageBody.of();
    for (Map.Entry<String, JsonNode> field : node.properties()) {
      String name = field.getKey();
      if (!DEFAULTS.containsKey(name) && !OPTIONAL.contains(name) && !REQUIRED.contains(name)) {
        throw new InvalidMessageException("unknown field '" + name + "'");
      }
      body.with(name, value(field.getValue(), name));
    }
    return body;
  }

  /**
   * Returns a copy of the job with defaults for absent fields.
   *
   * @throws InvalidMessageException if a required field is missing
   */
  public static MessageBody withDefaults(MessageBody job) throws InvalidMessageException {
    for (String name : REQUIRED) {
      if (job.get(name) == null) {
        throw new InvalidMessageException(name + ": is missing");
      }
    }
    MessageBody out = MessageBody.of();
    DEFAULTS.forEach(out::with);
    job.fields().forEach(out::with);
    return out;
  }

  private static Object value(JsonNode node, String which) throws InvalidMessageException {
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
    throw new InvalidMessageException(which + ": a map has no meaning here");
  }
}
