package io.saltflow.records;

import io.saltflow.clusterversion.ClusterVersion;
import io.saltflow.clusterversion.ClusterVersionState;
import io.saltflow.clusterversion.VersionGate;
import io.saltflow.clusterversion.VersionRange;
import io.saltflow.clusterversion.VersionUpgrade;
import io.saltflow.clusterversion.VersionedFeature;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.LeaseClient;
import io.saltflow.store.Transaction;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the cluster version to one controller. It announces the build before the controller
 * serves, follows the active version, and raises the version while the controller is the leader.
 * {@link VersionGate} and {@link VersionUpgrade} make the decisions; this class reads and writes
 * the key-value store. Runs on the event loop.
 */
public final class ClusterVersionCoordinator extends Routine {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterVersionCoordinator.class);
  private static final TimeSpan REQUEST_TIMEOUT = TimeSpan.millis(1500);
  private static final TimeSpan RETRY_DELAY = TimeSpan.millis(300);
  private static final TimeSpan INCOMPATIBLE_RETRY_DELAY = TimeSpan.seconds(5);
  private static final TimeSpan WATCH_TIMEOUT = TimeSpan.seconds(30);
  private static final TimeSpan UPGRADE_CHECK_INTERVAL = TimeSpan.seconds(1);
  private static final TimeSpan IDLE_UPGRADE_CHECK_INTERVAL = TimeSpan.seconds(30);

  /** Fraction of the lease that elapses between two renewals. */
  private static final double RENEWAL_FRACTION = 0.25;

  private static final long NO_LEASE = 0;
  private static final int STATUS_NOT_FOUND = 404;

  /**
   * Identity of the local build.
   *
   * @param configuredHosts all hosts named in this controller's settings
   */
  public record LocalBuild(
      String host, String process, VersionRange supported, Set<String> configuredHosts) {}

  /**
   * State of an elected leader that upgrades need.
   *
   * @param newGuardedTransaction creates transactions that are guarded by the leader key
   * @param newCluster whether no leader was elected on this store before
   * @param blocker returns why the version must not be raised now, or {@code null} if it may be
   */
  public record LeaderContext(
      Supplier<Transaction> newGuardedTransaction, boolean newCluster, Supplier<String> blocker) {}

  private final EventLoop loop;
  private final KeyValueClient client;
  private final LeaseClient leases;
  private final LocalBuild localBuild;
  private final VersionUpgrade.UpgradePolicy policy;
  private final Consumer<ClusterVersionState> onStateChange;
  private final VersionGate gate;
  private ClusterVersionState servingState;
  private String lastLogged = "";
  private long leaseId = NO_LEASE;
  private LeaderContext leaderContext;
  private VersionUpgrade.StabilityWindow stabilityWindow = VersionUpgrade.StabilityWindow.NONE;

  /**
   * Creates a coordinator that is inactive until {@link #start}.
   *
   * @param onStateChange called when this controller may start to serve and whenever the versions
   *     change
   */
  public ClusterVersionCoordinator(
      Routine parent,
      EventLoop loop,
      KeyValueClient client,
      LocalBuild localBuild,
      VersionUpgrade.UpgradePolicy policy,
      Consumer<ClusterVersionState> onStateChange) {
    super(parent);
    this.loop = loop;
    this.client = client;
    this.leases = new LeaseClient(client);
    this.localBuild = localBuild;
    this.policy = policy;
    this.onStateChange = onStateChange;
    this.gate = new VersionGate(localBuild.supported);
  }

  /** Reads the cluster versions and announces this build. */
  public void start() {
    execute(gate.start());
    loop.scheduleRepeating(
        policy.announcementLease().times(RENEWAL_FRACTION), this, this::renewAnnouncement);
    checkUpgrade();
  }

  /** Returns whether this controller may serve. */
  public boolean isServing() {
    return servingState != null;
  }

  /** Returns whether the active cluster version allows a feature. */
  public boolean allows(VersionedFeature feature) {
    return servingState != null && servingState.allows(feature);
  }

  /** Sets the context of the leader, or {@code null} when this controller stops leading. */
  public void setLeaderContext(LeaderContext context) {
    leaderContext = context;
    stabilityWindow = VersionUpgrade.StabilityWindow.NONE;
  }

  /** Logs a line unless it equals the previous one. */
  private void logOnChange(String line) {
    if (!line.equals(lastLogged) && !line.isEmpty()) {
      LOG.info("{}", line);
    }
    lastLogged = line;
  }

  private void readRecorded(Consumer<ClusterVersionCodec.RecordedVersions> callback) {
    client.list(
        KeyValueClient.RequestPriority.LEADERSHIP,
        Keys.CLUSTER_VERSION,
        listing -> {
          if (cancelled() || listing == null) {
            callback.accept(null);
            return;
          }
          ClusterVersionCodec.RecordedVersions recorded = null;
          try {
            recorded = ClusterVersionCodec.decode(listing);
          } catch (InvalidMessageException exception) {
            logOnChange(
                "cannot read cluster versions, keeping the current state: "
                    + exception.getMessage());
          }
          callback.accept(recorded);
        });
  }

  private void execute(VersionGate.GateAction action) {
    if (action instanceof VersionGate.GateAction.Read) {
      readAndExecute();
    } else if (action instanceof VersionGate.GateAction.Announce announce) {
      announce(announce);
    } else if (action instanceof VersionGate.GateAction.Incompatible incompatible) {
      servingState = null;
      logOnChange("not serving: " + incompatible.reason());
      loop.schedule(
          INCOMPATIBLE_RETRY_DELAY, this, () -> execute(new VersionGate.GateAction.Read()));
    } else if (action instanceof VersionGate.GateAction.Serve serve) {
      serve(serve.state());
    }
  }

  private void readAndExecute() {
    readRecorded(
        recorded -> {
          if (cancelled()) {
            return;
          }
          if (recorded == null) {
            scheduleRead();
          } else {
            execute(nextAction(recorded));
          }
        });
  }

  private VersionGate.GateAction nextAction(ClusterVersionCodec.RecordedVersions recorded) {
    return gate.onRead(recorded.state(), recorded.announcementRevision(localBuild.host));
  }

  private void scheduleRead() {
    loop.schedule(RETRY_DELAY, this, () -> execute(new VersionGate.GateAction.Read()));
  }

  private void serve(ClusterVersionState state) {
    boolean changed = !state.equals(servingState);
    servingState = state;
    if (changed) {
      String pending =
          state.active().equals(state.required()) ? "" : ", " + state.required() + " required";
      logOnChange(
          "cluster version "
              + state.active()
              + " active"
              + pending
              + "; this build supports "
              + localBuild.supported);
      onStateChange.accept(state);
    }
    watchState(state.revision());
  }

  private void announce(VersionGate.GateAction.Announce announce) {
    if (!announce.leased()) {
      announce(announce, NO_LEASE);
      return;
    }
    leases.grant(
        policy.announcementLease(),
        REQUEST_TIMEOUT,
        granted -> {
          if (cancelled()) {
            return;
          }
          if (granted.isPresent()) {
            announce(announce, granted.getAsLong());
          } else {
            scheduleRead();
          }
        });
  }

  /**
   * @param newLeaseId lease that the announcement is bound to, or {@link #NO_LEASE} if permanent
   */
  private void announce(VersionGate.GateAction.Announce announce, long newLeaseId) {
    MessageBody record = ClusterVersionCodec.encode(localBuild.supported, localBuild.process);
    String key = Keys.BUILD_ANNOUNCEMENTS + localBuild.host;
    Transaction transaction =
        new Transaction()
            .guard(Keys.CLUSTER_VERSION_STATE, announce.stateRevision())
            .guard(key, announce.announcementRevision());
    client.commit(
        KeyValueClient.RequestPriority.LEADERSHIP,
        newLeaseId == NO_LEASE
            ? transaction.put(key, record)
            : transaction.put(key, record, newLeaseId),
        REQUEST_TIMEOUT,
        response -> {
          if (cancelled()) {
            return;
          }
          leaseId = response.isSuccess() ? newLeaseId : leaseId;
          VersionGate.GateAction next = gate.onAnnounced(response.isSuccess());
          if (response.isSuccess()) {
            execute(next);
          } else {
            loop.schedule(RETRY_DELAY, this, () -> execute(next));
          }
        });
  }

  /**
   * Renews the announcement's lease. After lease expiry the build is announced again before any
   * upgrade.
   */
  private void renewAnnouncement() {
    if (leaseId == NO_LEASE) {
      return;
    }
    long renewedLeaseId = leaseId;
    leases.renew(
        renewedLeaseId,
        policy.announcementLease(),
        REQUEST_TIMEOUT,
        response -> {
          boolean expired = response.status() == STATUS_NOT_FOUND && renewedLeaseId == leaseId;
          if (!cancelled() && expired) {
            leaseId = NO_LEASE;
            gate.onLeaseExpired();
            execute(new VersionGate.GateAction.Read());
          }
        });
  }

  private void watchState(Revision readRevision) {
    client.watch(
        Keys.CLUSTER_VERSION_STATE,
        readRevision.number(),
        WATCH_TIMEOUT,
        response -> {
          if (cancelled()
              || servingState == null
              || !servingState.revision().equals(readRevision)) {
            return;
          }
          // The watch only triggers a read, whose result is authoritative.
          loop.schedule(
              response.isSuccess() ? TimeSpan.millis(0) : RETRY_DELAY, this, this::refresh);
        });
  }

  private void refresh() {
    readRecorded(
        recorded -> {
          if (!cancelled()) {
            execute(
                recorded == null
                    ? new VersionGate.GateAction.Serve(servingState)
                    : nextAction(recorded));
          }
        });
  }

  /** Checks, while leading, whether the version can be raised; rarely once it is the newest. */
  private void checkUpgrade() {
    boolean upToDate =
        servingState != null && servingState.active().equals(localBuild.supported.newest());
    loop.schedule(
        upToDate ? IDLE_UPGRADE_CHECK_INTERVAL : UPGRADE_CHECK_INTERVAL, this, this::checkUpgrade);
    if (leaderContext == null || servingState == null) {
      return;
    }
    LeaderContext context = leaderContext;
    readRecorded(
        recorded -> {
          if (cancelled() || recorded == null || context != leaderContext) {
            return;
          }
          VersionUpgrade.ClusterView view =
              new VersionUpgrade.ClusterView(
                  recorded.state(),
                  recorded.announcements(),
                  localBuild.configuredHosts,
                  context.blocker.get(),
                  context.newCluster && recorded.state().revision().equals(Revision.ABSENT));
          VersionUpgrade.UpgradeOutcome outcome =
              VersionUpgrade.decide(policy, view, stabilityWindow, loop.now());
          stabilityWindow = outcome.window();
          if (outcome.decision() instanceof VersionUpgrade.UpgradeDecision.Wait wait) {
            logOnChange(wait.reason());
          } else if (outcome.decision() instanceof VersionUpgrade.UpgradeDecision.Write write) {
            writeUpgrade(context, recorded.state(), write);
          }
        });
  }

  private void writeUpgrade(
      LeaderContext context,
      ClusterVersionState stateBefore,
      VersionUpgrade.UpgradeDecision.Write write) {
    Transaction transaction =
        context
            .newGuardedTransaction
            .get()
            .guard(Keys.CLUSTER_VERSION_STATE, stateBefore.revision());
    for (Map.Entry<String, Revision> entry : write.announcementRevisions().entrySet()) {
      transaction.guard(Keys.BUILD_ANNOUNCEMENTS + entry.getKey(), entry.getValue());
    }
    client.commit(
        KeyValueClient.RequestPriority.LEADERSHIP,
        transaction.put(Keys.CLUSTER_VERSION_STATE, ClusterVersionCodec.encode(write.next())),
        REQUEST_TIMEOUT,
        response -> {
          ClusterVersion required = write.next().required();
          LOG.info(
              "cluster version {} required, {} active: {}",
              required,
              write.next().active(),
              response.isSuccess() ? "written" : "not confirmed, status " + response.status());
        });
  }
}
