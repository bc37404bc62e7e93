package io.saltflow.controller;

import io.saltflow.autoscaler.ScaleOutRequest;
import io.saltflow.cloud.CloudClient;
import io.saltflow.leader.LeaderCore;
import io.saltflow.leader.LeaderLease;
import io.saltflow.model.MachineId;
import io.saltflow.model.TimeSpan;
import io.saltflow.records.LeaderRepository;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.ArrayList;
import java.util.List;

/**
 * Executes the autoscaler's plans through the cloud API, and reports the existing machines and
 * machine types to the leader core. Used on the event loop's thread; stops when the leader session
 * is cancelled.
 */
final class MachineProvisioner {
  private static final TimeSpan THROTTLED_RETRY_DELAY = TimeSpan.millis(300);
  private static final TimeSpan FAILED_RETRY_DELAY = TimeSpan.seconds(1);

  /** Maximum number of machines that the cloud deletes per request. */
  private static final int MAX_DELETES_PER_REQUEST = 100;

  private static final int BAD_REQUEST = 400;

  private final Routine session;
  private final EventLoop loop;
  private final CloudClient cloud;
  private final LeaderLease leaderLease;
  private final LeaderRepository records;
  private final LeaderCore core;
  private final LeaderSession.Environment environment;
  private final List<MachineId> pendingDeletes = new ArrayList<>();
  private boolean listing;
  private boolean deleting;

  MachineProvisioner(
      Routine session,
      EventLoop loop,
      CloudClient cloud,
      LeaderLease leaderLease,
      LeaderRepository records,
      LeaderCore core,
      LeaderSession.Environment environment) {
    this.session = session;
    this.loop = loop;
    this.cloud = cloud;
    this.leaderLease = leaderLease;
    this.records = records;
    this.core = core;
    this.environment = environment;
  }

  /** Requests the machines by which the core scales out. */
  void scaleOut() {
    if (!mayScaleOut()) {
      return;
    }
    for (ScaleOutRequest request : core.machines().planScaleOut(loop.now())) {
      createMachines(request);
    }
  }

  private boolean mayScaleOut() {
    return leaderLease.mayScaleOut(environment.storeDownForAllPeers(), loop.now());
  }

  /** Retries until the cloud answers; the name makes the request idempotent. */
  private void createMachines(ScaleOutRequest request) {
    if (!mayScaleOut() || !cloud.tryAcquire()) {
      // Checked before each attempt, since this controller may have lost leadership during a
      // process
      // pause after the attempt was queued.
      loop.schedule(THROTTLED_RETRY_DELAY, session, () -> createMachines(request));
      return;
    }
    cloud.createMachines(
        request.name(),
        request.type(),
        request.zone(),
        request.spot(),
        request.count(),
        (status, hosts) -> {
          if (session.cancelled()) {
            return;
          }
          if (hosts != null) {
            core.machines().onCreated(request, hosts, loop.now());
            records.recordMachines();
          } else if (status == CloudClient.NO_CAPACITY || status == BAD_REQUEST) {
            core.machines().onScaleOutRefused(request, loop.now());
          } else {
            loop.schedule(FAILED_RETRY_DELAY, session, () -> createMachines(request));
          }
        });
  }

  /** Deletes the machines by which the core scales in, one request at a time. */
  void scaleIn() {
    if (!leaderLease.mayScaleIn(loop.now())) {
      return;
    }
    pendingDeletes.addAll(core.machines().planScaleIn(loop.now()));
    if (deleting || pendingDeletes.isEmpty() || !cloud.tryAcquire()) {
      return;
    }
    deleting = true;
    int count = Math.min(MAX_DELETES_PER_REQUEST, pendingDeletes.size());
    List<MachineId> batch = new ArrayList<>(pendingDeletes.subList(0, count));
    cloud.deleteMachines(
        batch,
        deleted -> {
          deleting = false;
          if (session.cancelled() || !deleted) {
            return;
          }
          pendingDeletes.removeAll(batch);
          core.machines().onDeleted(batch, loop.now());
          records.removeMachines(batch);
        });
  }

  /** Reports the cloud's machine list to the core. Only one list request is open at a time. */
  void listMachines() {
    if (listing || !cloud.tryAcquire()) {
      return;
    }
    listing = true;
    cloud.listMachines(
        machines -> {
          listing = false;
          if (!session.cancelled() && machines != null) {
            core.machines().onListed(machines, loop.now());
          }
        });
  }

  /** Reads and records the machine types. Retries a failure only while no types are known. */
  void refreshMachineTypes() {
    if (!cloud.tryAcquire()) {
      loop.schedule(THROTTLED_RETRY_DELAY, session, this::refreshMachineTypes);
      return;
    }
    cloud.listMachineTypes(
        types -> {
          if (session.cancelled()) {
            return;
          }
          if (types != null) {
            records.recordMachineTypes(types);
            environment.onMachineTypes(types);
            core.machines().onTypesRead(types);
          } else if (!core.machines().hasTypes()) {
            loop.schedule(FAILED_RETRY_DELAY, session, this::refreshMachineTypes);
          }
        });
  }
}
