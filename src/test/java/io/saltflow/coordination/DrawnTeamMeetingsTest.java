package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.JobSpec;
import io.saltflow.protocol.Priority;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Days on which two or three drawn troubles meet while teams are at their limits. */
class DrawnTeamMeetingsTest {
  private static final int DAY_STEPS = 500;

  /** More than the limits let run at a time. */
  private static final double ARRIVALS_A_STEP = 0.1;

  private static final double STRIKES_A_STEP = 0.02;
  private static final double CANCELLATIONS_A_STEP = 0.01;
  private static final long FIRST_SEED_OFF_CI = 5000;

  private static List<DrawnTrouble> draw(World w) {
    List<DrawnTrouble> all = new ArrayList<>(Arrays.asList(DrawnTrouble.values()));
    List<DrawnTrouble> drawn = new ArrayList<>();
    int count = w.chance(0.5) ? 2 : 3;
    while (drawn.size() < count) {
      drawn.add(all.remove(w.random.nextInt(all.size())));
    }
    return drawn;
  }

  private static JobSpec drawJob(World w, int number) {
    List<String> teams = List.of("red", "blue", "green", "unlimited");
    return Jobs.job(number)
        .team(teams.get(w.random.nextInt(teams.size())))
        .priority(Priority.values()[w.random.nextInt(4)])
        .tasks(1 + w.random.nextInt(4))
        .cores(1 + w.random.nextInt(4))
        .gpus(w.random.nextInt(2))
        .estimateS(5 + w.random.nextInt(30))
        .checkpointS(w.chance(0.2) ? 5 : 0)
        .build();
  }

  private static void play(long seed) {
    World w = new World(seed, TeamLimitMeetingsTest.POLICY);
    w.type = TeamLimitMeetingsTest.GPU_BOX;
    List<DrawnTrouble> troubles = draw(w);
    troubles.forEach(t -> t.prepare(w));
    int jobs = 0;
    for (int step = 0; step < DAY_STEPS; step++) {
      if (w.chance(ARRIVALS_A_STEP)) {
        w.submit(drawJob(w, ++jobs));
      }
      if (jobs > 0 && w.chance(CANCELLATIONS_A_STEP)) {
        w.cancel(new JobId(Jobs.id(1 + w.random.nextInt(jobs))));
      }
      for (DrawnTrouble t : troubles) {
        if (w.chance(STRIKES_A_STEP)) {
          t.strike(w);
        }
      }
      w.step();
    }
    endTroubles(w);
    WorldAssert.assertServed(w, "seed " + seed + " with " + troubles);
    assertTrue(w.started > 20, "too little happened: " + w.started);
  }

  private static void endTroubles(World w) {
    w.late = 0;
    w.slow = 0;
    w.copies = 0;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void rulesHoldWhenDrawnTroublesMeet(long seed) {
    play(seed);
  }

  /** Off CI: {@code mvn test -Dtest=DrawnTeamMeetingsTest -Dmeetings.seeds=2000}. */
  @Test
  @EnabledIfSystemProperty(named = "meetings.seeds", matches = "\\d+")
  void manyMeetings() {
    long end = FIRST_SEED_OFF_CI + Long.getLong("meetings.seeds");
    for (long seed = FIRST_SEED_OFF_CI; seed < end; seed++) {
      play(seed);
    }
  }
}
