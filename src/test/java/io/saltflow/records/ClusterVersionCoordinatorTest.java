package io.saltflow.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.clusterversion.ClusterVersion;
import io.saltflow.clusterversion.ClusterVersionState;
import io.saltflow.clusterversion.VersionRange;
import io.saltflow.clusterversion.VersionUpgrade;
import io.saltflow.clusterversion.VersionedFeature;
import io.saltflow.emulator.EmulatedKeyValueStore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kvserver.KeyValueServer;
import io.saltflow.model.Revision;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.Keys;
import io.saltflow.store.StoreLimits;
import io.saltflow.store.Transaction;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards the announcement, activation and enforcement of cluster versions on a key-value store. */
class ClusterVersionCoordinatorTest {
  private static final VersionUpgrade.UpgradePolicy POLICY =
      new VersionUpgrade.UpgradePolicy(TimeSpan.millis(100), TimeSpan.millis(400));

  private static final class RootRoutine extends Routine {
    RootRoutine(Routine parent) {
      super(parent);
    }
  }

  private final RootRoutine root = new RootRoutine(null);
  private EventLoop loop;
  private HttpServer server;

  @BeforeEach
  void start() throws IOException {
    loop = new EventLoop();
    EmulatedKeyValueStore store =
        new EmulatedKeyValueStore(new KeyValueLimits(1000, 300, 8, 8), steps -> {}, loop.now());
    KeyValueServer keyValueServer =
        new KeyValueServer(root, loop, store.core(), () -> store.flush(loop.now()));
    server = new HttpServer(root, loop, Addresses.parse("127.0.0.1:0"), 64, keyValueServer::handle);
    loop.scheduleRepeating(TimeSpan.millis(20), root, () -> store.flush(loop.now()));
  }

  @AfterEach
  void end() {
    root.cancel();
  }

  private KeyValueClient client(Routine parent) {
    HttpClient http =
        new HttpClient(parent, loop, Addresses.parse("127.0.0.1:" + server.port()), 8, 64);
    return new KeyValueClient(parent, loop, http, http, 450, 150, new StoreLimits(8, 8, 300));
  }

  /** Starts the coordinator of a process, which stops when its parent is cancelled. */
  private ClusterVersionCoordinator startProcess(
      Routine parent, String host, VersionRange supported) {
    ClusterVersionCoordinator coordinator =
        new ClusterVersionCoordinator(
            parent,
            loop,
            client(parent),
            new ClusterVersionCoordinator.LocalBuild(
                host, host + "-1", supported, Set.of("one", "two")),
            POLICY,
            active -> {});
    coordinator.start();
    return coordinator;
  }

  private void runUntil(BooleanSupplier condition) throws IOException {
    for (int i = 0; i < 1000 && !condition.getAsBoolean(); i++) {
      loop.schedule(TimeSpan.millis(10), root, loop::pause);
      loop.run();
    }
    assertTrue(condition.getAsBoolean());
  }

  private static ClusterVersionCoordinator.LeaderContext leaderContext(boolean newCluster) {
    return new ClusterVersionCoordinator.LeaderContext(Transaction::new, newCluster, () -> null);
  }

  private ClusterVersionCodec.RecordedVersions recorded() throws IOException {
    ClusterVersionCodec.RecordedVersions[] all = new ClusterVersionCodec.RecordedVersions[1];
    client(root)
        .list(
            KeyValueClient.RequestPriority.LEADERSHIP,
            Keys.CLUSTER_VERSION,
            listing -> {
              try {
                all[0] = ClusterVersionCodec.decode(listing);
              } catch (InvalidMessageException exception) {
                throw new IllegalStateException(exception);
              }
            });
    runUntil(() -> all[0] != null);
    return all[0];
  }

  /** Reads repeatedly, because a lease that expired on a stalled machine is announced again. */
  private void assertAnnounced(int hosts) throws IOException {
    int announced = -1;
    for (int i = 0; i < 100 && announced != hosts; i++) {
      announced = recorded().announcements().size();
    }
    assertEquals(hosts, announced);
  }

  /** Guards against the use of features while a host runs a build that announces nothing. */
  @Test
  void featuresAreInactiveUntilAllBuildsAnnounceSupport() throws IOException {
    ClusterVersionCoordinator one = startProcess(root, "one", VersionRange.THIS_BUILD);
    runUntil(one::isServing);
    one.setLeaderContext(leaderContext(false));
    long checksDoneAt = loop.now().ms() + 2500;
    runUntil(() -> loop.now().ms() > checksDoneAt);
    assertFalse(
        one.allows(VersionedFeature.SUBMISSION_BATCHES),
        "features must stay inactive until the other host announces its build");
    assertEquals(Revision.ABSENT, recorded().state().revision());
    ClusterVersionCoordinator two = startProcess(root, "two", VersionRange.THIS_BUILD);
    runUntil(
        () ->
            two.allows(VersionedFeature.MACHINE_ADDRESSES)
                && one.allows(VersionedFeature.SUBMISSION_BATCHES));
    assertEquals(VersionRange.THIS_BUILD.newest(), recorded().state().required());
    // Announcements are now permanent and must outlast the lease without renewal.
    long settledAt = loop.now().ms() + 1000;
    runUntil(() -> loop.now().ms() > settledAt);
    assertAnnounced(2);
  }

  /** Guards against a stale announcement when the next build on the host is older. */
  @Test
  void announcementExpiresWithItsProcess() throws IOException {
    RootRoutine processRoutine = new RootRoutine(root);
    ClusterVersionCoordinator one = startProcess(processRoutine, "one", VersionRange.THIS_BUILD);
    runUntil(one::isServing);
    assertAnnounced(1);
    processRoutine.cancel();
    long expiredAt = loop.now().ms() + 700;
    runUntil(() -> loop.now().ms() > expiredAt);
    assertAnnounced(0);
  }

  /** Guards against an outdated build that serves or blocks other builds. */
  @Test
  void buildBelowRequiredVersionDoesNotServe() throws IOException {
    ClusterVersion newVersion = new ClusterVersion(4);
    ClusterVersionState raised =
        new ClusterVersionState(newVersion, newVersion, ClusterVersion.INITIAL, Revision.ABSENT);
    boolean[] done = new boolean[1];
    client(root)
        .commit(
            KeyValueClient.RequestPriority.LEADERSHIP,
            new Transaction().put(Keys.CLUSTER_VERSION_STATE, ClusterVersionCodec.encode(raised)),
            TimeSpan.seconds(1),
            response -> done[0] = response.isSuccess());
    runUntil(() -> done[0]);
    ClusterVersionCoordinator outdated = startProcess(root, "one", VersionRange.THIS_BUILD);
    ClusterVersionCoordinator current =
        startProcess(root, "two", new VersionRange(ClusterVersion.INITIAL, newVersion));
    runUntil(current::isServing);
    assertFalse(outdated.isServing());
    assertAnnounced(1);
    assertEquals(
        "the stored state is of level 4 and this build knows levels 1 to 3: install a build that"
            + " knows level 4",
        raised.incompatibility(VersionRange.THIS_BUILD));
  }

  /** Guards against serving on an unreadable state record as if it were absent. */
  @Test
  void buildDoesNotServeOnUnreadableState() throws IOException {
    boolean[] done = new boolean[1];
    client(root)
        .commit(
            KeyValueClient.RequestPriority.LEADERSHIP,
            new Transaction().put(Keys.CLUSTER_VERSION_STATE, MessageBody.of().with("raised", 2)),
            TimeSpan.seconds(1),
            response -> done[0] = response.isSuccess());
    runUntil(() -> done[0]);
    ClusterVersionCoordinator one = startProcess(root, "one", VersionRange.THIS_BUILD);
    long settledAt = loop.now().ms() + 600;
    runUntil(() -> loop.now().ms() > settledAt);
    assertFalse(one.isServing());
  }
}
