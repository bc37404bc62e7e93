package io.saltflow.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.protocol.Span;
import io.saltflow.protocol.Stamp;
import io.saltflow.protocol.Term;
import io.saltflow.protocol.Time;
import org.junit.jupiter.api.Test;

/** What a leader may still do when it hears nothing. */
class AuthorityTest {
  private static final Time WON = new Time(50_000);

  private static Time at(double seconds) {
    return WON.plus(Span.seconds(seconds));
  }

  @Test
  void launchesEndBeforeTheLeaseCanAndKeepingEndsAtItsBound() {
    Authority a = new Authority(Span.seconds(5), Span.seconds(15));
    assertFalse(a.mayLaunch(WON));
    a.won(new Term(3), new Stamp(9), WON);
    assertFalse(a.mayLaunch(at(0.1)), "it has read no job yet");
    assertFalse(a.mayKeep(at(0.1)), "nor does it know who was cancelled");
    a.synced(WON);
    assertTrue(a.mayLaunch(at(4.8)));
    // The lease may run a little faster elsewhere, and counts from when it was asked for.
    assertFalse(a.mayLaunch(at(4.91)));
    assertTrue(a.mayKeep(at(14.9)));
    assertTrue(a.mayRent(true, at(14.9)), "in an outage for all nobody else leads");
    assertFalse(a.mayRent(false, at(14.9)) || a.mayReturn(at(14.9)));
    assertFalse(a.mayRent(true, at(15.1)));
    assertFalse(a.mayKeep(at(15.1)));
    a.renewed(at(10));
    a.synced(at(2));
    assertFalse(a.mayLaunch(at(11)), "a cancel may have been missed for 9 s");
    assertTrue(a.mayKeep(at(16.9)));
    assertFalse(a.mayKeep(at(17.1)), "kept from the older of renewal and watch");
    a.lost();
    assertFalse(a.mayKeep(at(10)));
    a.won(new Term(5), new Stamp(20), at(10));
    assertFalse(a.mayKeep(at(10.1)), "what an earlier term had read was forgotten with it");
  }

  /**
   * After a standstill nothing is held to be true until it is confirmed anew; where the steady
   * clock stood still as well, the lease looks 90 s younger than it is.
   */
  @Test
  void aStandstillTakesAwayWhatWasBelieved() {
    Authority a = new Authority(Span.seconds(5), Span.seconds(15));
    a.won(new Term(3), new Stamp(9), WON);
    a.synced(WON);
    a.renewed(at(1));
    a.synced(at(1));
    a.stoodStill(Span.millis(0), at(3));
    assertFalse(a.mayLaunch(at(3)), "the lease is not over, but who knows");
    assertTrue(a.mayKeep(at(3)), "in an outage workers are still answered");
    a.renewed(at(2.9));
    assertFalse(a.mayLaunch(at(3.1)), "it was asked for before");
    a.renewed(at(3.1));
    assertTrue(a.mayLaunch(at(3.2)));
    a.stoodStill(Span.seconds(90), at(4));
    assertFalse(a.mayLaunch(at(4)));
    assertFalse(a.mayKeep(at(4)), "90 s by the time of day: workers' cancels may be missed");
    a.renewed(at(4.1));
    a.synced(at(4.1));
    assertTrue(a.mayLaunch(at(4.2)));
  }

  /** Bound plus lease must leave room in the time a cancellation has. */
  @Test
  void keepBoundLeavesRoomForCancels() {
    for (double[] site : new double[][] {{26, 46}, {16, 41}, {30, 31}}) {
      Span lease = Span.seconds(site[0]);
      Span bound = Authority.keepBound(lease, Span.seconds(site[1]));
      double worst = bound.plus(lease.certainlyElsewhere()).toSeconds();
      assertTrue(bound.ms() == 0 || worst <= site[1] - 4.9, "lease " + site[0]);
    }
    assertEquals(0, Authority.keepBound(Span.seconds(30), Span.seconds(31)).ms());
  }
}
