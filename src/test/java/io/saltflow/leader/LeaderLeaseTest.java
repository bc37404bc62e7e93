package io.saltflow.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.model.Term;
import io.saltflow.model.TimeSpan;
import org.junit.jupiter.api.Test;

/** Tests which actions a leader may take while its lease renewals are not confirmed. */
class LeaderLeaseTest {
  private static final MonotonicTime ELECTED_AT = new MonotonicTime(50_000);

  private static MonotonicTime at(double seconds) {
    return ELECTED_AT.plus(TimeSpan.seconds(seconds));
  }

  @Test
  void launchesStopBeforeLeaseExpiryAndRenewalStopsAtItsBound() {
    LeaderLease lease = new LeaderLease(TimeSpan.seconds(5), TimeSpan.seconds(15));
    assertFalse(lease.mayLaunch(ELECTED_AT));
    lease.onElected(new Term(3), new Revision(9), ELECTED_AT);
    assertFalse(lease.mayLaunch(at(0.1)), "launches allowed before the first sync of the jobs");
    assertFalse(
        lease.mayRenewWorkerLeases(at(0.1)),
        "renewals allowed before the first sync of the cancellations");
    lease.onSynced(ELECTED_AT);
    assertTrue(lease.mayLaunch(at(4.8)));
    // Remote clocks may run faster, and the lease counts from the time the renewal was sent.
    assertFalse(lease.mayLaunch(at(4.91)));
    assertTrue(lease.mayRenewWorkerLeases(at(14.9)));
    assertTrue(
        lease.mayScaleOut(true, at(14.9)),
        "no other leader can be elected while the store is down for all");
    assertFalse(lease.mayScaleOut(false, at(14.9)) || lease.mayScaleIn(at(14.9)));
    assertFalse(lease.mayScaleOut(true, at(15.1)));
    assertFalse(lease.mayRenewWorkerLeases(at(15.1)));
    lease.onRenewed(at(10));
    lease.onSynced(at(2));
    assertFalse(lease.mayLaunch(at(11)), "cancellations of the last 9 s may have been missed");
    assertTrue(lease.mayRenewWorkerLeases(at(16.9)));
    assertFalse(
        lease.mayRenewWorkerLeases(at(17.1)),
        "the bound counts from the older of renewal and sync");
    lease.onLost();
    assertFalse(lease.mayRenewWorkerLeases(at(10)));
    lease.onElected(new Term(5), new Revision(20), at(10));
    assertFalse(
        lease.mayRenewWorkerLeases(at(10.1)), "state synced in an earlier term must not count");
  }

  /**
   * Guards against using a lease after a process pause before it is confirmed again. If the
   * monotonic clock stopped as well, the lease appears younger than it is.
   */
  @Test
  void processPauseInvalidatesLeaseUntilReconfirmed() {
    LeaderLease lease = new LeaderLease(TimeSpan.seconds(5), TimeSpan.seconds(15));
    lease.onElected(new Term(3), new Revision(9), ELECTED_AT);
    lease.onSynced(ELECTED_AT);
    lease.onRenewed(at(1));
    lease.onSynced(at(1));
    lease.onProcessPause(TimeSpan.millis(0), at(3));
    assertFalse(
        lease.mayLaunch(at(3)), "launches allowed after a pause without a new confirmation");
    assertTrue(lease.mayRenewWorkerLeases(at(3)), "worker leases must be renewed during an outage");
    lease.onRenewed(at(2.9));
    assertFalse(lease.mayLaunch(at(3.1)), "the renewal was sent before the pause ended");
    lease.onRenewed(at(3.1));
    assertTrue(lease.mayLaunch(at(3.2)));
    lease.onProcessPause(TimeSpan.seconds(90), at(4));
    assertFalse(lease.mayLaunch(at(4)));
    assertFalse(
        lease.mayRenewWorkerLeases(at(4)), "cancellations of the last 90 s may have been missed");
    lease.onRenewed(at(4.1));
    lease.onSynced(at(4.1));
    assertTrue(lease.mayLaunch(at(4.2)));
  }

  /** Guards against renewal bound plus worker lease exceeding the time limit of a cancellation. */
  @Test
  void renewalBoundLeavesTimeForCancellations() {
    for (double[] settings : new double[][] {{26, 46}, {16, 41}, {30, 31}}) {
      TimeSpan lease = TimeSpan.seconds(settings[0]);
      TimeSpan bound = LeaderLease.workerRenewalBound(lease, TimeSpan.seconds(settings[1]));
      double worstCaseS = bound.plus(lease.maximumOnRemoteClock()).toSeconds();
      assertTrue(bound.ms() == 0 || worstCaseS <= settings[1] - 4.9, "lease " + settings[0]);
    }
    assertEquals(
        0, LeaderLease.workerRenewalBound(TimeSpan.seconds(30), TimeSpan.seconds(31)).ms());
  }
}
