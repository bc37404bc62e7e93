package io.saltflow.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.TimeSpan;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the detection of lost answers with heartbeats every 3 s and leases of 16 s. */
class AnswerLossDetectorTest {
  /**
   * Each heartbeat is answered. Its fields are the time in seconds, the sequence number, and flags:
   * {@code t} fencing token seen, {@code s} next agent epoch, {@code l} launches executed, {@code
   * x} launches not listed, {@code o} answers of the controller may have been late.
   */
  @ParameterizedTest
  @CsvSource({
    "all answers arrive, 0 1 t | 3 2 t | 6 3 t, false",
    "one answer lost, 0 1 t | 15 4 t | 18 5 t, false",
    "each answer lost, 0 1 t | 15 4 t | 30 7 t, true",
    "answers arrive again, 0 1 t | 15 4 t | 30 7 t | 33 8 t, false",
    "token never adopted, 0 1 - | 15 4 - | 30 7 -, true",
    "token adopted late, 0 1 - | 15 4 - | 30 7 t, false",
    "lease expired although answered, 0 1 t | 15 2 ts, true",
    "lease expired during partition, 0 1 t | 40 2 ts, false",
    "launches lost at the only node, 0 1 t | 5 2 tx | 10 3 tx, true",
    "launches executed after a gap, 0 1 t | 15 4 t | 30 7 tl, false",
    "copy from previous epoch and then current heartbeat, 0 9 - | 5 1 -s | 6 2 ts, false",
    "burst of delayed copies, 0 1 - | 0 2 - | 1 3 - | 2 4 - | 3 5 -, false",
    "controller answered too late, 0 1 t | 15 4 to | 30 7 to | 45 9 to, false"
  })
  void answerLossIsDetectedFromHeartbeats(String name, String heartbeats, boolean expectedLost) {
    AnswerLossDetector detector = new AnswerLossDetector(TimeSpan.seconds(3), TimeSpan.seconds(16));
    for (String heartbeat : heartbeats.split("\\|")) {
      String[] fields = heartbeat.trim().split(" ");
      MonotonicTime now = new MonotonicTime(1_000_000 + Long.parseLong(fields[0]) * 1000);
      boolean tokenSeen = fields[2].contains("t");
      long agentEpoch = fields[2].contains("s") ? 2 : 1;
      AnswerEvidence.LaunchOutcome launches =
          fields[2].contains("l")
              ? AnswerEvidence.LaunchOutcome.CARRIED_OUT
              : fields[2].contains("x")
                  ? AnswerEvidence.LaunchOutcome.NOT_LISTED
                  : AnswerEvidence.LaunchOutcome.NONE;
      long sequence = Long.parseLong(fields[1]);
      detector.onHeartbeat(
          new AnswerEvidence(agentEpoch, sequence, tokenSeen, launches),
          fields[2].contains("o"),
          now);
      detector.onAnswered(agentEpoch, sequence, tokenSeen, now);
    }
    assertEquals(expectedLost, detector.answersLost(), name);
  }
}
