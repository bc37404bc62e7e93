package io.saltflow.clusterversion;

import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Decides for the leader when the required cluster version is raised and when it becomes active.
 * Both steps are transactions guarded by the leader key, the key of the cluster versions, and the
 * announcements on which the decision is based, so a delayed transaction has no effect. Pure.
 *
 * <p>Builds without cluster versions announce nothing, even when one replaces a build that did.
 * While the active version is below {@link ClusterVersion#ANNOUNCED_BUILDS}, announcements are
 * therefore held under leases, which expire after their process has ended, and an upgrade takes two
 * steps. An announcement that keeps its revision from before a time t1 until one lease after t1
 * belongs to a process that was running at t1. The required version becomes active once this holds
 * for a t1 after the raise, so any earlier build that starts later does so after the raise.
 */
public final class VersionUpgrade {
  /**
   * Settings for upgrades.
   *
   * @param stabilization time for which all controllers must have supported the new version without
   *     a blocker before the raise
   * @param announcementLease time to live of an announcement after its last renewal
   */
  public record UpgradePolicy(TimeSpan stabilization, TimeSpan announcementLease) {}

  /**
   * Current view of the cluster.
   *
   * @param announcements all announcements, read at one revision
   * @param configuredHosts all controllers in this controller's settings, including itself
   * @param blocker reason in plain text not to raise the version now, or {@code null}
   * @param newCluster whether no leader has been elected on this store before
   */
  public record ClusterView(
      ClusterVersionState state,
      List<BuildAnnouncement> announcements,
      Set<String> configuredHosts,
      String blocker,
      boolean newCluster) {}

  /**
   * Period in which a leader has seen the same announcements and cluster versions without a
   * blocker.
   */
  public record StabilityWindow(
      Map<String, Revision> announcementRevisions, Revision stateRevision, MonotonicTime since) {
    /** Window of a leader that has seen no announcements yet. */
    public static final StabilityWindow NONE =
        new StabilityWindow(Map.of(), Revision.ABSENT, MonotonicTime.LONG_AGO);
  }

  /** Decision on the next step. */
  public sealed interface UpgradeDecision {
    /** Wait for this reason, which is empty if there is nothing to do. */
    record Wait(String reason) implements UpgradeDecision {}

    /** Write the next versions, guarded by the revisions of their key and of the announcements. */
    record Write(ClusterVersionState next, Map<String, Revision> announcementRevisions)
        implements UpgradeDecision {}
  }

  /** A decision, and the window to pass with the next view. */
  public record UpgradeOutcome(UpgradeDecision decision, StabilityWindow window) {}

  private VersionUpgrade() {}

  /** Decides on the next step from the current view and how long it has been stable. */
  public static UpgradeOutcome decide(
      UpgradePolicy policy, ClusterView view, StabilityWindow before, MonotonicTime now) {
    Map<String, Revision> revisions = new TreeMap<>();
    Map<String, ClusterVersion> newestByHost = new TreeMap<>();
    view.configuredHosts.forEach(host -> newestByHost.put(host, VersionRange.UNANNOUNCED.newest()));
    for (BuildAnnouncement announcement : view.announcements) {
      revisions.put(announcement.host(), announcement.revision());
      newestByHost.put(announcement.host(), announcement.supported().newest());
    }
    StabilityWindow window = before;
    boolean stable =
        revisions.equals(before.announcementRevisions)
            && view.state.revision().equals(before.stateRevision);
    if (!stable || view.blocker != null) {
      window = new StabilityWindow(revisions, view.state.revision(), now);
    }
    return new UpgradeOutcome(decide(policy, view, newestByHost, window, now), window);
  }

  private static UpgradeDecision decide(
      UpgradePolicy policy,
      ClusterView view,
      Map<String, ClusterVersion> newestByHost,
      StabilityWindow window,
      MonotonicTime now) {
    ClusterVersionState state = view.state;
    TimeSpan stableFor = now.since(window.since);
    if (state.active().isBelow(state.required())) {
      return decideActivation(policy, view, newestByHost, window, stableFor);
    }
    ClusterVersion commonNewest =
        newestByHost.values().stream()
            .min(ClusterVersion::compareTo)
            .orElse(ClusterVersion.INITIAL);
    ClusterVersion overallNewest =
        newestByHost.values().stream()
            .max(ClusterVersion::compareTo)
            .orElse(ClusterVersion.INITIAL);
    if (!state.required().isBelow(commonNewest)) {
      return new UpgradeDecision.Wait(
          state.required().isBelow(overallNewest)
              ? "cluster version "
                  + overallNewest
                  + " not required yet: "
                  + unsupportingHosts(view, newestByHost, overallNewest)
              : "");
    }
    if (view.newCluster) {
      return write(state, commonNewest, commonNewest, window);
    }
    if (view.blocker != null) {
      return new UpgradeDecision.Wait(
          "cluster version " + commonNewest + " not required yet: " + view.blocker);
    }
    if (stableFor.compareTo(policy.stabilization) < 0) {
      return new UpgradeDecision.Wait(
          "cluster version "
              + commonNewest
              + " not required yet: builds not stable for long enough");
    }
    // One step suffices if all builds announce themselves before they serve.
    boolean oneStep = !state.active().isBelow(ClusterVersion.ANNOUNCED_BUILDS);
    return write(state, commonNewest, oneStep ? commonNewest : state.active(), window);
  }

  /** Decides whether the required version becomes active. */
  private static UpgradeDecision decideActivation(
      UpgradePolicy policy,
      ClusterView view,
      Map<String, ClusterVersion> newestByHost,
      StabilityWindow window,
      TimeSpan stableFor) {
    ClusterVersionState state = view.state;
    String waiting = "cluster version " + state.required() + " required but not active yet";
    if (!window.announcementRevisions.keySet().containsAll(view.configuredHosts)) {
      return new UpgradeDecision.Wait(
          waiting + ": " + unsupportingHosts(view, newestByHost, state.required()));
    }
    if (!stableFor.longerThan(policy.announcementLease.maximumOnRemoteClock())) {
      return new UpgradeDecision.Wait(
          view.blocker == null ? waiting : waiting + ": " + view.blocker);
    }
    return write(state, state.required(), state.required(), window);
  }

  private static UpgradeDecision write(
      ClusterVersionState state,
      ClusterVersion requiredVersion,
      ClusterVersion activeVersion,
      StabilityWindow window) {
    ClusterVersionState next =
        new ClusterVersionState(
            requiredVersion, activeVersion, state.oldestStored(), state.revision());
    return new UpgradeDecision.Write(next, window.announcementRevisions);
  }

  /** Returns the hosts that do not support a version, with reasons. */
  private static String unsupportingHosts(
      ClusterView view, Map<String, ClusterVersion> newestByHost, ClusterVersion version) {
    Set<String> unannounced = new TreeSet<>(view.configuredHosts);
    view.announcements.forEach(announcement -> unannounced.remove(announcement.host()));
    List<String> reasons = new ArrayList<>();
    newestByHost.forEach(
        (host, newest) -> {
          if (unannounced.contains(host)) {
            reasons.add(host + " has no announcement");
          } else if (newest.isBelow(version)) {
            reasons.add(host + " supports versions up to " + newest);
          }
        });
    return String.join(", ", reasons);
  }
}
