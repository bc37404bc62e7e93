package io.saltflow.clusterversion;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the decisions and wait reasons in an upgrade of two controllers. */
class VersionUpgradeTest {
  private static final VersionUpgrade.UpgradePolicy POLICY =
      new VersionUpgrade.UpgradePolicy(TimeSpan.seconds(60), TimeSpan.seconds(10));

  private final List<BuildAnnouncement> announcements = new ArrayList<>();
  private ClusterVersionState state = ClusterVersionState.UNRECORDED;
  private VersionUpgrade.StabilityWindow window = VersionUpgrade.StabilityWindow.NONE;
  private long revision = 10;

  private void announce(String host) {
    announcements.removeIf(announcement -> announcement.host().equals(host));
    announcements.add(
        new BuildAnnouncement(host, VersionRange.THIS_BUILD, new Revision(++revision)));
  }

  private String decide(double seconds, String blocker, boolean newCluster) {
    VersionUpgrade.ClusterView view =
        new VersionUpgrade.ClusterView(
            state, announcements, Set.of("one", "two"), blocker, newCluster);
    VersionUpgrade.UpgradeOutcome outcome =
        VersionUpgrade.decide(POLICY, view, window, new MonotonicTime(Math.round(seconds * 1000)));
    window = outcome.window();
    if (outcome.decision() instanceof VersionUpgrade.UpgradeDecision.Write write) {
      ClusterVersionState next = write.next();
      state =
          new ClusterVersionState(
              next.required(), next.active(), next.oldestStored(), new Revision(++revision));
      return "required " + next.required() + ", active " + next.active();
    }
    return ((VersionUpgrade.UpgradeDecision.Wait) outcome.decision()).reason();
  }

  @Test
  void waitDecisionsStateReason() {
    assertEquals("", decide(0, null, false));
    announce("one");
    assertEquals(
        "cluster version 3 not required yet: two has no announcement", decide(1, null, false));
    announce("two");
    assertEquals("cluster version 3 not required yet: failover", decide(2, "failover", false));
    assertEquals(
        "cluster version 3 not required yet: builds not stable for long enough",
        decide(61, null, false));
    announce("one");
    assertEquals(
        "cluster version 3 not required yet: builds not stable for long enough",
        decide(62, null, false),
        "announcement renewed");
    assertEquals("required 3, active 1", decide(122, null, false));
    announcements.remove(0);
    assertEquals(
        "cluster version 3 required but not active yet: two has no announcement",
        decide(123, null, false));
    announce("two");
    assertEquals("cluster version 3 required but not active yet", decide(124, null, false));
    assertEquals(
        "cluster version 3 required but not active yet",
        decide(134, null, false),
        "lease may not have expired on a slower clock");
    assertEquals("required 3, active 3", decide(134.1, null, false));
    assertEquals("", decide(200, null, false));
  }

  @Test
  void newClusterStartsAtCommonVersion() {
    announce("one");
    announce("two");
    assertEquals("required 3, active 3", decide(0, "no leader elected yet", true));
  }
}
