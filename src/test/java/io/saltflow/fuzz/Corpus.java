package io.saltflow.fuzz;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Stores the fuzzer's inputs. The repository has one text file per target, with one Base64 input
 * per line, to avoid thousands of small files. While the fuzzer runs, each input is a separate
 * file.
 */
public final class Corpus {
  private static final Path STORED_INPUTS = Path.of("src/test/resources/corpus");
  private static final Path WORKING_DIRECTORY = Path.of("target/fuzz");

  private Corpus() {}

  static List<byte[]> read(String target) throws IOException {
    List<byte[]> inputs = new ArrayList<>();
    for (String line : Files.readAllLines(STORED_INPUTS.resolve(target + ".txt"))) {
      inputs.add(Base64.getDecoder().decode(line));
    }
    return inputs;
  }

  /**
   * Runs {@code unpack} before the fuzzer or {@code keep} after it, for the target named by the
   * system property {@code target}.
   */
  public static void main(String[] args) throws IOException {
    String target = System.getProperty("target");
    Path folder = Files.createDirectories(WORKING_DIRECTORY.resolve(target));
    if (args[0].equals("unpack")) {
      int number = 0;
      for (byte[] input : read(target)) {
        Files.write(folder.resolve("kept-" + number++), input);
      }
      return;
    }
    Collection<String> lines =
        new TreeSet<>(Files.readAllLines(STORED_INPUTS.resolve(target + ".txt")));
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        lines.add(Base64.getEncoder().encodeToString(Files.readAllBytes(file)));
      }
    }
    Files.write(STORED_INPUTS.resolve(target + ".txt"), lines);
  }
}
