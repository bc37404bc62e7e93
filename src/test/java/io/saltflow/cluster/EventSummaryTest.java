package io.saltflow.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.saltflow.GoldenTraces;
import io.saltflow.model.MonotonicTime;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that repeated events become one line with a count and persistent conditions two lines. */
class EventSummaryTest {
  private final List<String> lines = new ArrayList<>();
  private double now;
  private final EventSummary eventSummary =
      new EventSummary(line -> lines.add(String.format("%6.1f  %s", now, line)));

  private MonotonicTime at(double seconds) {
    now = seconds;
    return new MonotonicTime(Math.round(seconds * 1000));
  }

  /** Thirty machines hang for 25 s and two stay silent while spot instances are reclaimed. */
  @Test
  void hangingMachinesAreSummarized() throws IOException {
    for (int second = 100; second < 160; second++) {
      MonotonicTime time = at(second);
      int silent = second < 105 ? 0 : second < 106 ? 9 : second < 130 ? 30 : second < 134 ? 2 : 0;
      if (second == 134) {
        eventSummary.countEvent(
            "machines are returned: they have been silent for too long", "vm-3");
        eventSummary.countEvent(
            "machines are returned: they have been silent for too long", "vm-4");
      }
      if (second >= 110 && second < 113) {
        for (int i = 0; i < 40; i++) {
          eventSummary.countEvent("machines will be taken back by the cloud", "vm-" + second + i);
        }
      }
      eventSummary.updateCondition(
          EventSummary.PersistentCondition.SILENT_MACHINES,
          silent,
          2 * silent + " tasks are on them",
          time);
      eventSummary.flush(time);
    }
    GoldenTraces.check("hung-machines", lines);
  }

  /** 750 machines that are created and deleted for ten minutes must not flood the log. */
  @Test
  void logVolumeIsIndependentOfClusterSize() {
    for (int second = 0; second < 600; second++) {
      MonotonicTime time = at(second);
      for (int machine = 0; machine < 750; machine++) {
        eventSummary.countEvent("machines are returned: they are idle", "vm-" + machine);
      }
      eventSummary.updateCondition(
          EventSummary.PersistentCondition.SILENT_MACHINES, 1 + 700 * (second % 2), "", time);
      eventSummary.flush(time);
    }
    assertEquals(120 + 2, lines.size(), "one line per 5 s, and two for the condition");
    assertEquals(3750, Integer.parseInt(lines.get(50).trim().split(" +")[1]));
  }
}
