package io.saltflow.transport;

import java.util.HashMap;
import java.util.Map;

/** The path and the query parameters of a request target. */
public record RequestTarget(String path, Map<String, String> queries) {
  /** Parses a target. Parameters without a name or without {@code =} are ignored. */
  public static RequestTarget of(String target) {
    int mark = target.indexOf('?');
    Map<String, String> queries = new HashMap<>();
    if (mark >= 0) {
      for (String pair : target.substring(mark + 1).split("&")) {
        int equals = pair.indexOf('=');
        if (equals > 0) {
          queries.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
      }
    }
    return new RequestTarget(mark < 0 ? target : target.substring(0, mark), queries);
  }

  /** Returns whether the method and the path are the expected ones. */
  public boolean is(String method, String expectedMethod, String expectedPath) {
    return method.equals(expectedMethod) && path.equals(expectedPath);
  }

  /** Returns a query parameter, or the default if it is absent. */
  public String query(String name, String defaultValue) {
    return queries.getOrDefault(name, defaultValue);
  }

  /**
   * Returns a numeric query parameter, or the default if it is absent.
   *
   * @throws NumberFormatException if the parameter is not a number
   */
  public int number(String name, int defaultValue) {
    return queries.containsKey(name) ? Integer.parseInt(queries.get(name)) : defaultValue;
  }
}
