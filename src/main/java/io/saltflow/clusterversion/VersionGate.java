package io.saltflow.clusterversion;

import io.saltflow.model.Revision;

/**
 * Lets a process serve only if its build supports the cluster version. The process reads the
 * cluster versions and its host's last announcement, announces its build in a transaction guarded
 * by both, and serves once that has committed. Until then it accepts no requests, answers nothing
 * from records, and does not stand for election. Pure: events are passed in, actions are returned.
 */
public final class VersionGate {
  /** Next action of the caller. */
  public sealed interface GateAction {
    /** Read the cluster versions and the host's announcement, at one revision. */
    record Read() implements GateAction {}

    /**
     * Write the announcement, guarded by these revisions of the cluster versions and of the host's
     * announcement.
     *
     * @param leased whether the announcement must expire when the process ends, since builds that
     *     announce nothing may still be in use
     */
    record Announce(Revision stateRevision, Revision announcementRevision, boolean leased)
        implements GateAction {}

    /** Serve with the active version. */
    record Serve(ClusterVersionState state) implements GateAction {}

    /** Keep running without serving, and read again periodically. */
    record Incompatible(String reason) implements GateAction {}
  }

  private final VersionRange supported;
  private ClusterVersionState lastRead;
  private boolean serving;
  private boolean announcementLeased;

  /** Creates a closed gate for a build with this supported range. */
  public VersionGate(VersionRange supported) {
    this.supported = supported;
  }

  /** Returns the first action. */
  public GateAction start() {
    return new GateAction.Read();
  }

  /** Handles a read of the cluster versions and of the host's announcement. */
  public GateAction onRead(ClusterVersionState state, Revision announcementRevision) {
    lastRead = state;
    if (!state.supportsBuild(supported)) {
      serving = false;
      return new GateAction.Incompatible(state.incompatibility(supported));
    }
    boolean permanent = !state.active().isBelow(ClusterVersion.ANNOUNCED_BUILDS);
    if (serving && !(announcementLeased && permanent)) {
      return new GateAction.Serve(state);
    }
    return new GateAction.Announce(state.revision(), announcementRevision, !permanent);
  }

  /**
   * Handles the response to the announcement. If it was not confirmed, it may still have been
   * written, so the versions are read and the announcement is repeated.
   */
  public GateAction onAnnounced(boolean confirmed) {
    if (!confirmed) {
      return new GateAction.Read();
    }
    serving = true;
    announcementLeased = lastRead.active().isBelow(ClusterVersion.ANNOUNCED_BUILDS);
    return new GateAction.Serve(lastRead);
  }

  /**
   * Handles the expiry of the announcement's lease. The process continues to serve, since no
   * version is raised while its host has no announcement, but it must announce its build again.
   */
  public void onLeaseExpired() {
    serving = false;
  }
}
