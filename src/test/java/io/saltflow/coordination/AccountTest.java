package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.saltflow.protocol.Time;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The account of the night: an event and its count are one line, a trouble is two. */
class AccountTest {
  private final List<String> lines = new ArrayList<>();
  private double now;
  private final Account account = new Account(s -> lines.add(String.format("%6.1f  %s", now, s)));

  private Time at(double seconds) {
    now = seconds;
    return new Time(Math.round(seconds * 1000));
  }

  /** Thirty machines hang for 25 s and two stay silent; half the cheap ones are taken meanwhile. */
  @Test
  void aNightOfHangs() throws IOException {
    for (int s = 100; s < 160; s++) {
      Time t = at(s);
      int silent = s < 105 ? 0 : s < 106 ? 9 : s < 130 ? 30 : s < 134 ? 2 : 0;
      if (s == 134) {
        account.happened("machines are returned: they have been silent for too long", "vm-3");
        account.happened("machines are returned: they have been silent for too long", "vm-4");
      }
      if (s >= 110 && s < 113) {
        for (int i = 0; i < 40; i++) {
          account.happened("machines will be taken back by the cloud", "vm-" + s + i);
        }
      }
      account.level(Account.Trouble.SILENT, silent, 2 * silent + " tasks are on them", t);
      account.tell(t);
    }
    Traces.check("night-of-hangs", lines);
  }

  /** 750 machines that come and go for ten minutes may not bury the story. */
  @Test
  void itsVolumeDoesNotGrowWithTheFleet() {
    for (int s = 0; s < 600; s++) {
      Time t = at(s);
      for (int m = 0; m < 750; m++) {
        account.happened("machines are returned: they are idle", "vm-" + m);
      }
      account.level(Account.Trouble.SILENT, 1 + 700 * (s % 2), "", t);
      account.tell(t);
    }
    assertEquals(120 + 2, lines.size(), "one line in 5 s, and a trouble told twice");
    assertEquals(3750, Integer.parseInt(lines.get(50).trim().split(" +")[1]));
  }
}
