package io.saltflow.coordination;

import static io.saltflow.coordination.Scripts.atEachMoment;
import static io.saltflow.coordination.Scripts.cancelSome;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Priority;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** More work than room, urgent and not, while answers to machines and writes lag by seconds. */
class SlowLinksTest {
  private static final int URGENT_JOBS = 4;
  private static final long URGENT_BEGINS_MS = 60_000;

  /** Three times the work that two machines can hold, for minutes. */
  private static World crowded() {
    World w = Scripts.world(500);
    w.mostMachines = 2;
    for (int i = 1; i <= Scripts.JOBS; i++) {
      w.submit(Jobs.job(i).ofClass("plain").team("blue").tasks(6).cores(1).estimateS(30).build());
    }
    w.run(40);
    return w;
  }

  private static void submitUrgent(World w, int moment) {
    for (int i = 1; i <= URGENT_JOBS; i++) {
      w.submit(
          Jobs.job(100 + i)
              .ofClass("urgent")
              .team("blue")
              .priority(Priority.HIGH)
              .tasks(1 + moment % 3)
              .cores(1)
              .estimateS(10)
              .build());
    }
  }

  private static void assertUrgentBeganInTime(World w, int moment) {
    for (int i = 1; i <= URGENT_JOBS; i++) {
      World.JobRecord job = w.records.get(new JobId(Jobs.id(100 + i)));
      boolean inTime = job.startedAt >= 0 && job.startedAt - job.at <= URGENT_BEGINS_MS;
      assertTrue(inTime, "urgent job " + i + " began at " + job.startedAt + ", moment " + moment);
    }
  }

  /**
   * @param slow the part of the answers to machines that is held up for up to 5 s
   * @param late the part of the writes that is carried out late
   */
  @ParameterizedTest
  @CsvSource({"0.3, 0", "0.6, 0", "0.3, 0.3"})
  void urgentWorkBeginsAndTheRestIsServed(double slow, double late) {
    atEachMoment(
        40,
        SlowLinksTest::crowded,
        (w, moment) -> {
          w.slow = slow;
          w.late = late;
          w.run(moment * 0.5);
          submitUrgent(w, moment);
          w.run(URGENT_BEGINS_MS / 1000.0);
          assertUrgentBeganInTime(w, moment);
          cancelSome(w, moment);
          if (moment % 2 == 0) {
            w.loseLeader(0);
          }
          w.run(20);
        });
  }
}
