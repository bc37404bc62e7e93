package io.saltflow.protocol;

import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A MessagePack map with checked access to its fields. */
public record MessageBody(Map<String, Object> fields) {

  /** Returns a new body without fields. */
  public static MessageBody of() {
    return new MessageBody(new LinkedHashMap<>());
  }

  /** Sets a field and returns this body. */
  public MessageBody with(String name, Object value) {
    fields.put(name, value);
    return this;
  }

  /** Returns the value of a field, or {@code null} if it is absent. */
  public Object get(String name) {
    return fields.get(name);
  }

  /** Returns a required string. */
  public String text(String name) throws InvalidMessageException {
    if (fields.get(name) instanceof String text) {
      return text;
    }
    throw new InvalidMessageException(name + ": text is required");
  }

  /** Returns an optional string. */
  public String textOr(String name, String otherwise) throws InvalidMessageException {
    return fields.get(name) == null ? otherwise : text(name);
  }

  /** Returns a required number between 0 and 1e9. */
  public double nonNegativeNumber(String name) throws InvalidMessageException {
    double value;
    if (fields.get(name) instanceof Number number) {
      value = number.doubleValue();
    } else {
      throw new InvalidMessageException(name + ": a number is required");
    }
    if (!Double.isFinite(value) || value < 0 || value > 1e9) {
      throw new InvalidMessageException(name + ": out of range");
    }
    return value;
  }

  /** Returns an optional number between 0 and 1e9. */
  public double nonNegativeNumberOr(String name, double otherwise) throws InvalidMessageException {
    return fields.get(name) == null ? otherwise : nonNegativeNumber(name);
  }

  /** Returns a required span in seconds. */
  public TimeSpan seconds(String name) throws InvalidMessageException {
    return TimeSpan.seconds(nonNegativeNumber(name));
  }

  /** Returns a required integer. */
  public long integer(String name) throws InvalidMessageException {
    if (fields.get(name) instanceof Long number) {
      return number;
    }
    throw new InvalidMessageException(name + ": an integer is required");
  }

  /** Returns an optional integer. */
  public long integerOr(String name, long otherwise) throws InvalidMessageException {
    return fields.get(name) == null ? otherwise : integer(name);
  }

  /** Returns a required boolean. */
  public boolean flag(String name) throws InvalidMessageException {
    if (fields.get(name) instanceof Boolean flag) {
      return flag;
    }
    throw new InvalidMessageException(name + ": true or false is required");
  }

  /** Returns an optional boolean. */
  public boolean flagOr(String name, boolean otherwise) throws InvalidMessageException {
    return fields.get(name) == null ? otherwise : flag(name);
  }

  /** Returns a required list of maps. */
  public List<MessageBody> maps(String name) throws InvalidMessageException {
    List<MessageBody> out = new ArrayList<>();
    for (Object item : list(name)) {
      out.add(asMap(item, name));
    }
    return out;
  }

  /** Returns a required list of strings. */
  public List<String> texts(String name) throws InvalidMessageException {
    List<String> out = new ArrayList<>();
    for (Object item : list(name)) {
      if (!(item instanceof String text)) {
        throw new InvalidMessageException(name + ": a list of texts is required");
      }
      out.add(text);
    }
    return out;
  }

  /** Returns a required map. */
  public MessageBody map(String name) throws InvalidMessageException {
    return asMap(fields.get(name), name);
  }

  private List<?> list(String name) throws InvalidMessageException {
    if (fields.get(name) instanceof List<?> list) {
      return list;
    }
    throw new InvalidMessageException(name + ": a list is required");
  }

  @SuppressWarnings("unchecked")
  static MessageBody asMap(Object value, String name) throws InvalidMessageException {
    if (value instanceof Map<?, ?> map) {
      return new MessageBody((Map<String, Object>) map);
    }
    throw new InvalidMessageException(name + ": a map is required");
  }
}
