package io.saltflow.compat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads and writes samples as lines of a name, a tab and a value. A name may have several lines.
 */
final class Samples {
  private static final String SEPARATOR = "\t";

  private Samples() {}

  static Map<String, List<String>> read(Path file) throws IOException {
    Map<String, List<String>> samples = new LinkedHashMap<>();
    for (String line : Files.readAllLines(file)) {
      String[] parts = line.split(SEPARATOR, 2);
      if (parts.length != 2) {
        throw new IOException(file + ": no tab in '" + line + "'");
      }
      samples.computeIfAbsent(parts[0], name -> new ArrayList<>()).add(parts[1]);
    }
    return samples;
  }

  static void write(Path file, Map<String, List<String>> samples) throws IOException {
    List<String> lines = new ArrayList<>();
    samples.forEach((name, values) -> values.forEach(value -> lines.add(name + SEPARATOR + value)));
    Files.createDirectories(file.getParent());
    Files.write(file, lines);
  }
}
