package io.saltflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Compares traces with golden files in the repository. Run with {@code -Dtraces.write=true} to
 * regenerate the files, and review the difference before committing it.
 */
public final class GoldenTraces {
  private static final Path FOLDER = Path.of("src/test/resources/traces");

  private GoldenTraces() {}

  /**
   * Compares lines with a golden file under {@code src/test/resources/traces}, or regenerates it.
   */
  public static void check(String name, List<String> lines) throws IOException {
    String actual = String.join("\n", lines) + "\n";
    Path file = FOLDER.resolve(name + ".txt");
    if (Boolean.getBoolean("traces.write")) {
      Files.writeString(file, actual);
    }
    assertEquals(Files.readString(file), actual, "the trace " + name + " has changed");
  }
}
