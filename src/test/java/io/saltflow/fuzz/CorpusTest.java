package io.saltflow.fuzz;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Replays the inputs found by coverage-guided fuzzing, each of which covers a distinct path. */
class CorpusTest {
  @Test
  void everyInputIsAcceptedOrRejected() throws IOException {
    for (Map.Entry<String, Consumer<byte[]>> target : FuzzTargets.all().entrySet()) {
      List<byte[]> inputs = Corpus.read(target.getKey());
      assertFalse(inputs.isEmpty(), target.getKey());
      inputs.forEach(target.getValue());
    }
  }
}
