package io.saltflow.protocol;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * Computes the size of a body as compact JSON, the form to which the protocol's size limits apply.
 */
public final class JsonSize {
  private JsonSize() {}

  /** Returns the size in bytes of a body, map, list, string, number, boolean or null. */
  public static int of(Object value) {
    if (value instanceof MessageBody messageBody) {
      return of(messageBody.fields());
    }
    if (value instanceof Map<?, ?> map) {
      int bytes = 2 + Math.max(0, map.size() - 1);
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        bytes += of(entry.getKey()) + 1 + of(entry.getValue());
      }
      return bytes;
    }
    if (value instanceof List<?> list) {
      int bytes = 2 + Math.max(0, list.size() - 1);
      for (Object item : list) {
        bytes += of(item);
      }
      return bytes;
    }
    if (value instanceof String text) {
      return text(text);
    }
    return String.valueOf(value).length();
  }

  private static int text(String text) {
    int bytes = 2 + text.getBytes(StandardCharsets.UTF_8).length;
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      if (character == '"'
          || character == '\\'
          || character == '\n'
          || character == '\t'
          || character == '\r') {
        bytes++;
      } else if (character < ' ') {
        bytes += 5;
      }
    }
    return bytes;
  }
}
