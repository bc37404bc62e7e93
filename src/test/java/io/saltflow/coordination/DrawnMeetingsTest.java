package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Priority;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Days on which two or three troubles are drawn to fall together, again and again. */
class DrawnMeetingsTest {
  private static final int MEETINGS = 5;
  private static final double BETWEEN_S = 60;

  private static final String[] CLASSES = {"short", "long", "wide"};

  /** A trouble that takes its course beside the others. */
  private enum Trouble {
    COPIES_FOR_THE_NEXT_LEADER,
    LATE_WRITES,
    ANSWERS_OF_WRITES_LOST,
    LEADER_ENDS,
    LEADER_CUT_OFF,
    LEADER_SUPERSEDED,
    TEN_LEADERS,
    ALL_AWAY,
    ZONE_CUT_OFF,
    LEADER_REFUSED,
    STATE_DOWN,
    MACHINES_HANG,
    MACHINES_DEAF,
    MACHINES_DIE,
    MACHINES_BACK_AT_ONCE,
    CANCELLATIONS,
    NEW_MACHINES
  }

  private int jobs;

  private World day(long seed) {
    World w = Scripts.world(seed);
    jobs = 0;
    w.mostInZone = 10;
    w.bootMs = seed % 2 == 0 ? 500 : 4000;
    w.bootSteps = 4;
    w.readingMs = 500 * (seed % 4);
    w.loss = 0.02;
    work(w, 8);
    w.run(30);
    for (int i = 0; i < MEETINGS; i++) {
      meeting(w);
    }
    w.loss = 0;
    return w;
  }

  private void work(World w, int count) {
    for (int i = 0; i < count; i++) {
      UniformRandomProvider r = w.random;
      int tasks = w.chance(0.1) ? 20 : 1 + r.nextInt(6);
      w.submit(
          Jobs.job(++jobs)
              .ofClass(CLASSES[r.nextInt(CLASSES.length)])
              .team(w.chance(0.5) ? "red" : "blue")
              .priority(Priority.values()[r.nextInt(4)])
              .tasks(tasks)
              .cores(1 + r.nextInt(w.chance(0.1) ? 8 : 4))
              .estimateS(5 + r.nextInt(60))
              .checkpointS(w.chance(0.3) ? 5 : 0)
              .oneZone(w.chance(0.25))
              .spread(w.chance(0.25))
              .zone(w.chance(0.15) ? "b" : null)
              .spot(w.chance(0.8))
              .build());
    }
  }

  /** Two or three troubles whose beginnings fall within ten seconds. */
  private void meeting(World w) {
    List<Trouble> troubles = new ArrayList<>();
    for (int i = 2 + w.random.nextInt(2); i > 0; i--) {
      troubles.add(Trouble.values()[w.random.nextInt(Trouble.values().length)]);
    }
    w.say("a meeting of " + troubles);
    for (Trouble t : troubles) {
      bring(w, t);
      w.run(w.random.nextInt(10) * 0.5);
      if (w.chance(0.5)) {
        work(w, 2);
      }
    }
    w.run(BETWEEN_S * w.random.nextDouble());
    w.late = 0;
    w.answersLost = 0;
    w.nextLeader.share = 0;
  }

  private void bring(World w, Trouble t) {
    long forMs = 500L * w.random.nextInt(100);
    switch (t) {
      case COPIES_FOR_THE_NEXT_LEADER -> w.nextLeader.share = 0.7;
      case LATE_WRITES -> w.late = 0.4;
      case ANSWERS_OF_WRITES_LOST -> w.answersLost = 0.4;
      case LEADER_ENDS -> w.loseLeader(0);
      case LEADER_CUT_OFF -> w.loseLeader(forMs);
      case LEADER_SUPERSEDED -> w.supersede(forMs);
      case TEN_LEADERS -> tenLeaders(w);
      case ALL_AWAY -> {
        w.loseLeader(0);
        w.electAt = Math.max(w.electAt, w.now + forMs);
      }
      case ZONE_CUT_OFF -> w.zoneCutUntil.put(w.chance(0.5) ? "a" : "b", w.now + forMs);
      case LEADER_REFUSED -> w.refuseLeader(forMs);
      case STATE_DOWN -> w.stateDown(forMs);
      case CANCELLATIONS -> cancelSome(w);
      case NEW_MACHINES -> work(w, 6);
      default -> machines(w, t, forMs);
    }
  }

  private static void tenLeaders(World w) {
    for (int i = 0; i < 10; i++) {
      if (w.chance(0.5)) {
        w.loseLeader(w.chance(0.5) ? 0 : 4000);
      } else {
        w.supersede(500L * w.random.nextInt(20));
      }
      w.run(2 + w.random.nextInt(20) * 0.5);
    }
  }

  private void cancelSome(World w) {
    for (int i = 0; i < 3; i++) {
      w.cancel(new JobId(Jobs.id(1 + w.random.nextInt(jobs))));
    }
  }

  private static void machines(World w, Trouble t, long forMs) {
    for (int i = 0; i < 4; i++) {
      World.Worker m = w.anyWorker();
      if (m == null) {
        return;
      }
      switch (t) {
        case MACHINES_HANG -> m.hungUntil = w.now + Math.min(forMs, 30_000);
        case MACHINES_DEAF -> m.deafUntil = w.now + forMs;
        case MACHINES_DIE -> m.dead = true;
        default -> m.startAgain();
      }
    }
  }

  private void play(long seed) {
    World w = day(seed);
    Scripts.finish(w, "seed " + seed);
    assertTrue(w.started > 20, "too little happened: " + w.started);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void rulesHoldWhenTroublesMeet(long seed) {
    play(seed);
  }

  /** Off CI: {@code mvn test -Dtest=DrawnMeetingsTest -Dmeetings.seeds=2000}. */
  @Test
  @EnabledIfSystemProperty(named = "meetings.seeds", matches = "\\d+")
  void manyMeetings() {
    for (long seed = 1000; seed < 1000 + Long.getLong("meetings.seeds"); seed++) {
      play(seed);
    }
  }
}
