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
 * The fuzzer's inputs: a text a target in the repository, one input a line in Base64, since
 * thousands of tiny files would be a burden to every checkout; files while the fuzzer runs.
 */
public final class Corpus {
  private static final Path KEPT = Path.of("src/test/resources/corpus");
  private static final Path RUNNING = Path.of("target/fuzz");

  private Corpus() {}

  static List<byte[]> read(String target) throws IOException {
    List<byte[]> out = new ArrayList<>();
    for (String line : Files.readAllLines(KEPT.resolve(target + ".txt"))) {
      out.add(Base64.getDecoder().decode(line));
    }
    return out;
  }

  /** {@code unpack} before the fuzzer runs, {@code keep} after: for the property {@code target}. */
  public static void main(String[] args) throws IOException {
    String target = System.getProperty("target");
    Path folder = Files.createDirectories(RUNNING.resolve(target));
    if (args[0].equals("unpack")) {
      int n = 0;
      for (byte[] input : read(target)) {
        Files.write(folder.resolve("kept-" + n++), input);
      }
      return;
    }
    Collection<String> lines = new TreeSet<>(Files.readAllLines(KEPT.resolve(target + ".txt")));
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        lines.add(Base64.getEncoder().encodeToString(Files.readAllBytes(file)));
      }
    }
    Files.write(KEPT.resolve(target + ".txt"), lines);
  }
}
