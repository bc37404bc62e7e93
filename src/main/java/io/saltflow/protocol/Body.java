package io.saltflow.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A MessagePack map with checked access to its fields. */
public record Body(Map<String, Object> fields) {

  public static Body of() {
    return new Body(new LinkedHashMap<>());
  }

  public Body with(String name, Object value) {
    fields.put(name, value);
    return this;
  }

  public Object get(String name) {
    return fields.get(name);
  }

  public String text(String name) throws BadMessage {
    if (fields.get(name) instanceof String s) {
      return s;
    }
    throw new BadMessage(name + ": text is required");
  }

  public String textOr(String name, String otherwise) throws BadMessage {
    return fields.get(name) == null ? otherwise : text(name);
  }

  public double amount(String name) throws BadMessage {
    double value;
    if (fields.get(name) instanceof Number n) {
      value = n.doubleValue();
    } else {
      throw new BadMessage(name + ": a number is required");
    }
    if (!Double.isFinite(value) || value < 0 || value > 1e9) {
      throw new BadMessage(name + ": out of range");
    }
    return value;
  }

  public double amountOr(String name, double otherwise) throws BadMessage {
    return fields.get(name) == null ? otherwise : amount(name);
  }

  public Span seconds(String name) throws BadMessage {
    return Span.seconds(amount(name));
  }

  public long integer(String name) throws BadMessage {
    if (fields.get(name) instanceof Long n) {
      return n;
    }
    throw new BadMessage(name + ": an integer is required");
  }

  public long integerOr(String name, long otherwise) throws BadMessage {
    return fields.get(name) == null ? otherwise : integer(name);
  }

  public boolean flag(String name) throws BadMessage {
    if (fields.get(name) instanceof Boolean b) {
      return b;
    }
    throw new BadMessage(name + ": true or false is required");
  }

  public boolean flagOr(String name, boolean otherwise) throws BadMessage {
    return fields.get(name) == null ? otherwise : flag(name);
  }

  public List<Body> maps(String name) throws BadMessage {
    List<Body> out = new ArrayList<>();
    for (Object item : list(name)) {
      out.add(asMap(item, name));
    }
    return out;
  }

  public List<String> texts(String name) throws BadMessage {
    List<String> out = new ArrayList<>();
    for (Object item : list(name)) {
      if (!(item instanceof String s)) {
        throw new BadMessage(name + ": a list of texts is required");
      }
      out.add(s);
    }
    return out;
  }

  public Body map(String name) throws BadMessage {
    return asMap(fields.get(name), name);
  }

  private List<?> list(String name) throws BadMessage {
    if (fields.get(name) instanceof List<?> l) {
      return l;
    }
    throw new BadMessage(name + ": a list is required");
  }

  @SuppressWarnings("unchecked")
  static Body asMap(Object value, String name) throws BadMessage {
    if (value instanceof Map<?, ?> m) {
      return new Body((Map<String, Object>) m);
    }
    throw new BadMessage(name + ": a map is required");
  }
}
