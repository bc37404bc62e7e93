package io.saltflow.rollouts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.healthgates.GateEvaluator;
import io.saltflow.healthgates.TernaryTruth;
import io.saltflow.rollouts.Rollout.Phase;
import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests windows in local time, across changes to and from daylight saving time. */
class MaintenanceWindowsTest {
  private static MaintenanceWindows windows(
      String zone, String from, String until, Set<DayOfWeek> days) {
    return new MaintenanceWindows(
        ZoneId.of(zone),
        List.of(new MaintenanceWindows.TimeRange(LocalTime.parse(from), LocalTime.parse(until))),
        days,
        Set.of(LocalDate.of(2026, 12, 31)),
        Set.of(LocalDate.of(2026, 12, 6)));
  }

  private static boolean isOpen(MaintenanceWindows maintenanceWindows, String instant) {
    return maintenanceWindows.isOpen(Instant.parse(instant).toEpochMilli());
  }

  @Test
  void windowFollowsLocalTimeAndCalendar() {
    Set<DayOfWeek> weekdays = EnumSet.range(DayOfWeek.MONDAY, DayOfWeek.FRIDAY);
    MaintenanceWindows almaty = windows("Asia/Almaty", "19:00", "23:00", weekdays);
    assertTrue(isOpen(almaty, "2026-12-01T14:00:00Z"), "19:00 local time on a Tuesday");
    assertFalse(isOpen(almaty, "2026-12-01T13:59:59Z"));
    assertFalse(isOpen(almaty, "2026-12-01T18:00:00Z"), "the end is exclusive");
    assertFalse(isOpen(almaty, "2026-12-05T15:00:00Z"), "a Saturday");
    assertTrue(isOpen(almaty, "2026-12-06T15:00:00Z"), "a Sunday listed as open");
    assertFalse(isOpen(almaty, "2026-12-31T15:00:00Z"), "a Thursday listed as closed");
  }

  @Test
  void overnightWindowBelongsToItsFirstDay() {
    MaintenanceWindows night = windows("UTC", "22:00", "02:00", EnumSet.of(DayOfWeek.FRIDAY));
    assertTrue(isOpen(night, "2026-12-04T22:30:00Z"));
    assertTrue(isOpen(night, "2026-12-05T01:30:00Z"), "Friday's window continues into Saturday");
    assertFalse(isOpen(night, "2026-12-05T22:30:00Z"));
    assertFalse(isOpen(night, "2026-12-04T01:30:00Z"));
  }

  /** Berlin skips 02:00 to 03:00 on 28 March 2027 and repeats it on 31 October 2027. */
  @Test
  void skippedHourNeverOpensAndRepeatedHourOpensTwice() {
    MaintenanceWindows two =
        windows("Europe/Berlin", "02:00", "03:00", EnumSet.allOf(DayOfWeek.class));
    for (int minute = 0; minute < 180; minute++) {
      String instant = Instant.parse("2027-03-28T00:00:00Z").plusSeconds(60L * minute).toString();
      assertFalse(isOpen(two, instant), instant);
    }
    assertTrue(isOpen(two, "2027-10-31T00:30:00Z"));
    assertTrue(isOpen(two, "2027-10-31T01:30:00Z"), "the repeated hour");
    assertFalse(isOpen(two, "2027-10-31T02:00:00Z"));
  }

  /** Guards against steps that begin outside a window or are interrupted when it closes. */
  @Test
  void stepsBeginOnlyInWindowsAndContinueAfterwards() {
    MaintenanceWindows maintenanceWindows =
        windows("UTC", "20:00", "21:00", EnumSet.allOf(DayOfWeek.class));
    RolloutPlan plan =
        SamplePlans.of(
            List.of(new RolloutPlan.Step(1, false, false), new RolloutPlan.Step(2, false, false)),
            maintenanceWindows);
    RolloutStateMachine machine = new RolloutStateMachine(plan);
    long before = Instant.parse("2026-12-01T19:00:00Z").toEpochMilli();
    long inside = Instant.parse("2026-12-01T20:59:59Z").toEpochMilli();
    long after = Instant.parse("2026-12-01T21:00:01Z").toEpochMilli();
    Rollout rollout = Rollout.begin(2, before);
    assertEquals(Phase.WAITING, machine.next(rollout, status(2, 0, before)).phase());
    rollout = machine.next(rollout, status(2, 0, inside));
    assertEquals(Phase.MOVING, rollout.phase());
    rollout = machine.next(rollout, status(2, 0, after));
    assertEquals(1, rollout.desiredNew(), "a step begun inside the window continues");
    rollout = machine.next(rollout, status(2, 1, before));
    assertEquals(1, rollout.desiredOld(), "the step continues after the clock was set back");
    rollout = machine.next(rollout, status(1, 1, after));
    rollout = machine.next(rollout, status(1, 1, after));
    assertEquals(Phase.WAITING, rollout.phase(), "the next step waits for the next window");
    assertEquals(
        rollout,
        machine.next(rollout, status(1, 1, after + 3_600_000)),
        "it waits however long it takes");
    assertEquals(Phase.BACK, machine.applyCommand(rollout, RolloutCommand.ABORT, after).phase());
  }

  private static ReplicaStatus status(int old, int fresh, long wallMs) {
    return new ReplicaStatus(
        old,
        0,
        fresh,
        0,
        new GateEvaluator.Verdict(TernaryTruth.TRUE, List.of()),
        null,
        null,
        wallMs);
  }
}
