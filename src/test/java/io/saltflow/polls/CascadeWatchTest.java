package io.saltflow.polls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * When users are told that a job is live, as cancellations are confirmed elsewhere, outages begin
 * and end, and leaders come and go.
 */
class CascadeWatchTest {
  private static final Span CANCEL = Span.seconds(41);
  private static final JobId ORPHAN = new JobId("req-000002");
  private static final JobId OTHER = new JobId("req-000003");

  private final CascadeWatch watch = new CascadeWatch(CANCEL);

  private static Time at(long seconds) {
    return new Time(1000 * seconds);
  }

  /** Time goes on from one second to another, and each look finds nothing. */
  private void pass(long from, long until, boolean served, boolean attended) {
    for (long s = from; s < until; s++) {
      watch.tick(served, attended, at(s));
      if (served && watch.wantsCheck(at(s))) {
        watch.checkBegins(at(s));
        watch.checkEnds(Set.of());
      }
    }
  }

  @Test
  void nothingIsToldBeforeAFirstLook() {
    watch.tick(true, true, at(0));
    assertFalse(watch.mayTellLive(OTHER, at(0)));
    assertTrue(watch.wantsCheck(at(0)));
    watch.checkBegins(at(0));
    assertFalse(watch.wantsCheck(at(5)), "one at a time");
    watch.checkEnds(Set.of());
    assertTrue(watch.mayTellLive(OTHER, at(1)));
  }

  @Test
  void underALeaderNothingIsLookedThrough() {
    pass(0, 1, true, true);
    for (int s = 1; s < 300; s++) {
      watch.tick(true, true, at(s));
      assertFalse(watch.wantsCheck(at(s)), s + " s");
      assertTrue(watch.mayTellLive(OTHER, at(s)));
    }
  }

  /**
   * Confirmed right before an outage that is longer than the time which it is to be told within.
   */
  @Test
  void afterALongOutageALookComesFirst() {
    pass(0, 100, true, true);
    pass(100, 160, false, false);
    watch.tick(true, true, at(160));
    assertFalse(watch.mayTellLive(ORPHAN, at(160)));
    assertTrue(watch.wantsCheck(at(160)));
    watch.checkBegins(at(160));
    watch.checkEnds(Set.of(ORPHAN));
    assertFalse(watch.mayTellLive(ORPHAN, at(161)), "not recorded as cancelled yet");
    assertTrue(watch.mayTellLive(OTHER, at(161)));
    assertTrue(watch.wantsCheck(at(163)), "until there is none left");
    watch.checkBegins(at(163));
    watch.checkEnds(Set.of());
    assertTrue(watch.mayTellLive(ORPHAN, at(163)), "it has ended: its record is told");
  }

  /** A look that fails proves nothing, and a leader that is just back has not done it yet. */
  @Test
  void aLeaderThatIsBackProvesNothingByItself() {
    pass(0, 100, true, true);
    pass(100, 160, false, false);
    for (int s = 160; s < 200; s++) {
      watch.tick(true, true, at(s));
      if (watch.wantsCheck(at(s))) {
        watch.checkBegins(at(s));
        watch.checkEnds(null);
      }
      assertFalse(watch.mayTellLive(OTHER, at(s)), s + " s");
    }
  }

  /** A job about which nobody is answered for 90 s counts as forgotten. */
  @Test
  void withheldNoLongerThanAMinute() {
    for (int s = 0; s <= 61; s++) {
      watch.tick(true, false, at(s));
      assertEquals(s > 60, watch.mayTellLive(OTHER, at(s)), s + " s");
    }
  }

  /** Neither the time of a standstill nor that before a look that succeeded is withheld. */
  @Test
  void onlyTimeInWhichUsersWereRefusedCounts() {
    watch.tick(true, true, at(0));
    assertFalse(watch.mayTellLive(OTHER, at(0)));
    watch.tick(true, true, at(100));
    assertFalse(watch.mayTellLive(OTHER, at(100)), "it stood still");
    watch.checkBegins(at(100));
    watch.checkEnds(Set.of());
    assertTrue(watch.mayTellLive(OTHER, at(101)));
    assertFalse(watch.mayTellLive(OTHER, at(161)), "no tick since");
  }

  /**
   * What holds, over every course of seven stretches of 9 s: served or not, with a leader that
   * cancels what follows within 4 s or without. A job before is cancelled at each moment in turn;
   * without a leader this node's looks, which take 2 s, find what follows.
   */
  @Test
  void noOrphanIsCalledLiveTooLateWhateverHappens() {
    assertNull(firstFault(CANCEL));
  }

  /** The check can fail: with a watch that allows more time than there is, orphans are told. */
  @Test
  void aWatchThatAllowsMoreTimeIsFound() {
    assertTrue(firstFault(Span.seconds(60)).contains("called live"));
  }

  private static String firstFault(Span allowed) {
    int stretches = 7;
    for (int course = 0; course < Math.pow(3, stretches); course++) {
      List<Integer> kinds = new ArrayList<>();
      for (int i = 0, c = course; i < stretches; i++, c /= 3) {
        kinds.add(c % 3);
      }
      for (int confirmed = 12; confirmed < 9 * stretches; confirmed++) {
        String fault = play(kinds, confirmed, allowed);
        if (fault != null) {
          return fault + " by " + kinds + ", confirmed at " + confirmed + " s";
        }
      }
    }
    return null;
  }

  /** Kinds of stretches: 0 out of service, 1 served and without a leader, 2 with one. */
  private static String play(List<Integer> kinds, int confirmed, Span allowed) {
    CascadeWatch watch = new CascadeWatch(allowed);
    boolean recorded = false;
    int ledFor = 0;
    int lookBegan = -1;
    Set<JobId> found = Set.of();
    int end = 9 * kinds.size() + 10;
    for (int s = 0; s < end; s++) {
      int kind = s < 9 * kinds.size() ? kinds.get(s / 9) : 1;
      boolean served = kind != 0;
      ledFor = kind == 2 ? ledFor + 1 : 0;
      // The leader needs 4 s for what it finds, whenever it comes.
      recorded |= s >= confirmed + 4 && ledFor >= 4;
      watch.tick(served, kind == 2, at(s));
      boolean orphaned = s >= confirmed && !recorded;
      if (lookBegan >= 0 && (!served || s == lookBegan + 2)) {
        watch.checkEnds(served ? found : null);
        lookBegan = -1;
      }
      if (served && watch.wantsCheck(at(s))) {
        watch.checkBegins(at(s));
        lookBegan = s;
        found = orphaned ? Set.of(ORPHAN) : Set.of();
      }
      boolean late = s - confirmed > CANCEL.toSeconds();
      if (served && orphaned && late && watch.mayTellLive(ORPHAN, at(s))) {
        return "called live at " + s + " s";
      }
    }
    return null;
  }
}
