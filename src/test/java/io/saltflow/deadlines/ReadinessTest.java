package io.saltflow.deadlines;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.JobId;
import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Mornings: when they are due, what is forecast, what is pushed. */
class ReadinessTest {
  private static Rule rule(String opens, String by, String zone) {
    return new Rule(
        "chapters",
        Set.of("page-render"),
        Set.of(),
        LocalTime.parse(opens),
        LocalTime.parse(by),
        ZoneId.of(zone),
        EnumSet.complementOf(EnumSet.of(DayOfWeek.SUNDAY)),
        0.9);
  }

  /** Evenings, midnight between, nights in which the clock is changed, days that have none. */
  @ParameterizedTest
  @CsvSource({
    "18:00, 07:30, Asia/Almaty, 2026-12-01T18:00:00Z, 2026-12-02T02:30:00Z",
    "18:00, 07:30, Asia/Almaty, 2026-12-02T02:29:59Z, 2026-12-02T02:30:00Z",
    "18:00, 07:30, Asia/Almaty, 2026-12-02T02:30:00Z, ",
    "06:00, 09:00, UTC, 2026-12-02T08:00:00Z, 2026-12-02T09:00:00Z",
    "06:00, 09:00, UTC, 2026-12-06T08:00:00Z, ",
    "22:00, 02:30, Europe/Berlin, 2026-03-27T23:00:00Z, 2026-03-28T01:30:00Z",
    "22:00, 07:00, Europe/Berlin, 2026-10-24T23:00:00Z, ",
    "22:00, 07:00, Australia/Sydney, 2026-10-05T12:00:00Z, 2026-10-05T20:00:00Z"
  })
  void whenAMorningIsDue(String opens, String by, String zone, String now, String due) {
    Morning m = rule(opens, by, zone).openAt(Instant.parse(now).toEpochMilli());
    assertEquals(due, m == null ? null : Instant.ofEpochMilli(m.dueMs()).toString());
  }

  @Test
  void whatCannotBeMeantIsSaid() {
    Rule r = rule("18:00", "07:30", "UTC");
    assertEquals(List.of(), Rule.faults(List.of(r)));
    assertEquals(2, Rule.faults(List.of(r, r)).size(), "a name twice, and a class of two queues");
    assertEquals(
        List.of("readiness[0].opens: the same as by, nothing is ever open"),
        Rule.faults(List.of(rule("07:30", "07:30", "UTC"))));
  }

  private static Member member(int n, double left, double longest) {
    return new Member(new JobId("req-" + n), left, longest, false, "it waits for machines");
  }

  /** The most jobs that can be in time: every subset that fits. */
  private static int best(List<Member> members, double cores, double toDueS) {
    int best = 0;
    for (int set = 0; set < 1 << members.size(); set++) {
      double sum = 0;
      boolean fits = true;
      for (int i = 0; i < members.size(); i++) {
        if ((set >> i & 1) == 1) {
          sum += members.get(i).leftCoreS();
          fits &= members.get(i).longestS() <= toDueS;
        }
      }
      if (fits && sum <= cores * toDueS + 1e-6) {
        best = Math.max(best, Integer.bitCount(set));
      }
    }
    return best;
  }

  /**
   * What is pushed is the most that can be saved, in 2,000 small nights, whatever the order was.
   */
  @Test
  void asManyAreSavedAsCanBe() {
    Random random = new Random(4);
    for (int night = 0; night < 2000; night++) {
      List<Member> members = new ArrayList<>();
      for (int n = 0; n < 3 + random.nextInt(7); n++) {
        members.add(member(n, 1 + random.nextInt(300), random.nextInt(80)));
      }
      Collections.shuffle(members, random);
      double cores = 1 + random.nextInt(20);
      double toDueS = 20 + random.nextInt(50);
      Forecast f = Forecast.of(members, new Supply(cores, cores), toDueS);
      double sum = 0;
      int saved = 0;
      for (JobId id : f.best()) {
        Member m = members.stream().filter(e -> e.id().equals(id)).findFirst().orElseThrow();
        sum += m.leftCoreS();
        saved += sum <= cores * toDueS + 1e-6 ? 1 : 0;
      }
      assertEquals(best(members, cores, toDueS), saved, "night " + night);
      assertTrue(f.inTime() <= saved);
    }
  }

  /** Pushed in an order that stays: no job goes back and forth as forecasts come and go. */
  @Test
  void whatIsPushedStaysPushed() {
    Morning m = Morning.opened("chapters", "2026-12-02", 0, 100_000, 0.9);
    List<Member> all = List.of(member(1, 4000, 20), member(2, 300, 20), member(3, 500, 90));
    m = Pushing.look(m, all, 0, 1, new Supply(100, 100), 1000);
    assertEquals(0, m.badSinceMs(), "it is good: nothing is pushed");
    assertEquals(List.of(), m.push());
    m = Pushing.look(m, all, 0, 1, new Supply(30, 60), 5000);
    assertEquals(5000, m.badSinceMs());
    assertEquals("[req-2, req-3, req-1]", m.push().toString());
    // Good again: what is pushed goes on. One more comes while it is bad: by its length.
    m = Pushing.look(m, all, 0, 1, new Supply(90, 90), 6000);
    assertEquals("[req-2, req-3, req-1]", m.push().toString());
    List<Member> more = List.of(all.get(0), member(4, 400, 20), all.get(1), all.get(2));
    m = Pushing.look(m, more, 0, 1, new Supply(20, 60), 7000);
    assertEquals("[req-2, req-4, req-3, req-1]", m.push().toString());
    // The third can't be saved any more: its longest task alone is past the morning.
    m = Pushing.look(m, more, 0, 1, new Supply(20, 60), 12_000);
    assertEquals("[req-2, req-4, req-1]", m.push().toString());
    assertTrue(m.late().get(m.late().size() - 1).why().startsWith("can't be saved"), "" + m.late());
  }

  /** How far siblings' clocks are ahead: only where most agree is one's own not believed. */
  @ParameterizedTest
  @CsvSource({
    "0 0, 0",
    "300 -200, 0",
    "3600000 3600100, 3600000",
    "-3600000 -3600000 -3599000, -3599500",
    "-3600000 -3600000 10, 0",
    "3600000, 0",
    "3600000 5, 0"
  })
  void aClockIsNotBelievedAgainstTwoThatAgree(String ahead, long correction) {
    List<Long> all = new ArrayList<>();
    for (String a : ahead.split(" ")) {
      all.add(Long.parseLong(a));
    }
    assertEquals(correction, Clocks.correction(all, 1500));
  }
}
