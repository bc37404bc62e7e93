package io.saltflow.cluster;

import io.saltflow.model.JobId;
import io.saltflow.model.MachineId;
import io.saltflow.model.MachineType;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.Resources;
import io.saltflow.model.TaskId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/**
 * A machine of the cluster, with its life cycle, its resources, and the tasks that are or may be on
 * it. Used by the leader's thread only.
 */
public final class Machine {
  private static final int MAX_CACHED_IMAGES = 6;

  /** Factor above which a boot is slow. The protocol allows 0.6 to 1.5 times the stated time. */
  private static final double SLOW_BOOT_FACTOR = 1.6;

  /** A task that the last round assigned and that the answer to the next heartbeat launches. */
  public record Assignment(Job job, int taskIndex, boolean backfilled) {}

  public final MachineId id;
  public final String typeName;
  public final String zone;
  public final boolean spot;

  /** Time of the request or, for a machine of an earlier term, when it became known. */
  public final MonotonicTime provisionedAt;

  public final Map<TaskId, TaskPlacement> placements = new LinkedHashMap<>();
  public final List<Assignment> assignments = new ArrayList<>();

  /** Resources that migrations hold on this machine, for one task of each of these jobs. */
  public final Map<JobId, Resources> migrationHolds = new LinkedHashMap<>();

  /** Cached images, the least recently used first. */
  public final LinkedHashSet<String> cachedImages = new LinkedHashSet<>();

  private final HeartbeatState heartbeats = new HeartbeatState();
  private MonotonicTime billedFrom;
  private MachineType type;
  private boolean up;
  private boolean reconciled;
  private boolean mayRunEarlierTermTasks;
  private Resources unreconciledSize = Resources.ZERO;
  private boolean unresponsive;
  private boolean missingFromCloudList;
  private boolean inLedger;
  private boolean ledgerWriteRequested;
  private boolean cordoned;
  private boolean scalingIn;
  private MonotonicTime reclaimAt;
  private MonotonicTime idleSince;
  private final TrackRecord trackRecord = new TrackRecord();
  private boolean faulty;
  private MonotonicTime faultySince = MonotonicTime.LONG_AGO;
  private Resources used = Resources.ZERO;
  private Resources available = Resources.ZERO;
  private MachineReservation reservation;

  /**
   * Creates a machine that is not known to be up.
   *
   * @param type the machine type, or {@code null} if it is not known yet
   * @param provisionedAt the time at which the machine was requested or became known
   */
  public Machine(
      MachineId id,
      MachineType type,
      String typeName,
      String zone,
      boolean spot,
      MonotonicTime provisionedAt) {
    this.id = id;
    this.type = type;
    this.typeName = typeName;
    this.zone = zone;
    this.spot = spot;
    this.provisionedAt = provisionedAt;
    this.billedFrom = provisionedAt;
    this.idleSince = provisionedAt;
  }

  /** Returns the id of the machine. */
  public MachineId id() {
    return id;
  }

  /** Returns the state of the worker according to its heartbeats. */
  public HeartbeatState heartbeats() {
    return heartbeats;
  }

  /** Returns whether heartbeats arrive while the answers to them are lost. */
  public boolean answersLost() {
    return heartbeats.answersLost();
  }

  /** Returns whether new tasks may be placed on the machine. */
  public boolean schedulable() {
    return up
        && !unresponsive
        && reconciled
        && inLedger
        && !scalingIn
        && !faulty
        && reclaimAt == null
        && type != null;
  }

  /** Returns whether the machine will be gone soon: it is reclaimed, faulty or being scaled in. */
  public boolean departing() {
    return reclaimAt != null || faulty || scalingIn;
  }

  /** Marks the machine as faulty from now on, unless it already is. */
  public void markFaulty(MonotonicTime now) {
    if (!faulty) {
      faulty = true;
      faultySince = now;
    }
  }

  /** Returns whether the machine is not known to be up and is still expected to boot. */
  public boolean booting() {
    return !up && !scalingIn && type != null;
  }

  /** Returns whether the machine has been booting for longer than boots normally take. */
  public boolean bootOverdue(MonotonicTime now) {
    return booting() && now.after(provisionedAt.plus(type.boot().times(SLOW_BOOT_FACTOR)));
  }

  /** Returns the resources of the tasks that are or may be on the machine. */
  public Resources used() {
    return used;
  }

  /** Returns the resources that are not used by placed tasks. */
  public Resources free() {
    return type.size().minus(used);
  }

  /** Holds resources for a task of the job that a migration plan moves to this machine. */
  public void holdForMigration(JobId job, Resources size) {
    migrationHolds.put(job, size);
  }

  /** Returns the total resources that migrations hold on the machine. */
  public Resources totalMigrationHold() {
    Resources sum = Resources.ZERO;
    for (Resources held : migrationHolds.values()) {
      sum = sum.plus(held);
    }
    return sum;
  }

  /** Returns the resources available to the job, excluding holds for migrations of other jobs. */
  public Resources availableFor(Job job) {
    return migrationHolds.isEmpty()
        ? available
        : available.minus(totalMigrationHold()).plus(migrationHoldFor(job));
  }

  Resources migrationHoldFor(Job job) {
    return migrationHolds.getOrDefault(job.id(), Resources.ZERO);
  }

  /** Adds a placement and deducts its resources. */
  public void addPlacement(TaskPlacement placement) {
    TaskPlacement previous = placements.put(placement.taskId(), placement);
    used =
        (previous == null ? used : used.minus(previous.job.spec.size()))
            .plus(placement.job.spec.size());
    available = available.minus(placement.job.spec.size());
  }

  /** Removes a placement and frees its resources. */
  public void removePlacement(TaskPlacement placement) {
    if (placements.remove(placement.taskId(), placement)) {
      used = placements.isEmpty() ? Resources.ZERO : used.minus(placement.job.spec.size());
      available = available.plus(placement.job.spec.size());
    }
  }

  /** Records a cached image; the least recently used one is assumed evicted from a full cache. */
  public void addCachedImage(String image) {
    cachedImages.remove(image);
    cachedImages.add(image);
    if (cachedImages.size() > MAX_CACHED_IMAGES) {
      cachedImages.remove(cachedImages.iterator().next());
    }
  }

  /** Returns the hourly price per core. */
  public double pricePerCore() {
    return type.hourly(spot) / Math.max(0.1, type.size().cores());
  }

  /** Returns the type, zone and market in one word, for logs and grouping. */
  public String kind() {
    return typeName + "/" + zone + (spot ? "/spot" : "/ordinary");
  }

  /** Returns when billing began, which the cloud's list may move before the provisioning time. */
  public MonotonicTime billedFrom() {
    return billedFrom;
  }

  /** Sets when billing began. */
  public void setBilledFrom(MonotonicTime billedFrom) {
    this.billedFrom = billedFrom;
  }

  /** Returns the machine type, or {@code null} if it is not known yet. */
  public MachineType type() {
    return type;
  }

  /** Sets the machine type, or {@code null} if it is not known yet. */
  public void setType(MachineType type) {
    this.type = type;
  }

  /** Returns whether the worker has sent a heartbeat. */
  public boolean isUp() {
    return up;
  }

  /** Sets whether the worker has sent a heartbeat. */
  public void setUp(boolean up) {
    this.up = up;
  }

  /**
   * Returns whether a heartbeat carried this term's fencing token. Its task list then includes all
   * tasks that earlier terms launched.
   */
  public boolean isReconciled() {
    return reconciled;
  }

  /** Sets whether a heartbeat carried this term's fencing token. */
  public void setReconciled(boolean reconciled) {
    this.reconciled = reconciled;
  }

  /** Returns whether tasks that an earlier term launched may still be on the machine. */
  public boolean mayRunEarlierTermTasks() {
    return mayRunEarlierTermTasks;
  }

  /** Sets whether tasks that an earlier term launched may still be on the machine. */
  public void setMayRunEarlierTermTasks(boolean mayRunEarlierTermTasks) {
    this.mayRunEarlierTermTasks = mayRunEarlierTermTasks;
  }

  /**
   * Returns the resources that the machine counts for while unreconciled. This is its size, or more
   * than any limit if its type is unknown.
   */
  public Resources unreconciledSize() {
    return unreconciledSize;
  }

  /** Sets the resources that the machine counts for while unreconciled. */
  public void setUnreconciledSize(Resources unreconciledSize) {
    this.unreconciledSize = unreconciledSize;
  }

  /** Returns whether heartbeats are overdue or answers are lost, which precludes new tasks. */
  public boolean isUnresponsive() {
    return unresponsive;
  }

  /** Sets whether heartbeats are overdue or answers are lost. */
  public void setUnresponsive(boolean unresponsive) {
    this.unresponsive = unresponsive;
  }

  /** Returns whether the cloud's last list lacked the machine, which hints that it may be gone. */
  public boolean isMissingFromCloudList() {
    return missingFromCloudList;
  }

  /** Sets whether the cloud's last list lacked the machine. */
  public void setMissingFromCloudList(boolean missingFromCloudList) {
    this.missingFromCloudList = missingFromCloudList;
  }

  /** Returns whether the machine ledger in the store contains the machine. */
  public boolean isInLedger() {
    return inLedger;
  }

  /** Sets whether the machine ledger in the store contains the machine. */
  public void setInLedger(boolean inLedger) {
    this.inLedger = inLedger;
  }

  /** Returns whether the write to the machine ledger was requested. */
  public boolean isLedgerWriteRequested() {
    return ledgerWriteRequested;
  }

  /** Sets whether the write to the machine ledger was requested. */
  public void setLedgerWriteRequested(boolean ledgerWriteRequested) {
    this.ledgerWriteRequested = ledgerWriteRequested;
  }

  /** Returns whether the machine gets no new tasks and is scaled in once empty. */
  public boolean isCordoned() {
    return cordoned;
  }

  /** Sets whether the machine gets no new tasks and is scaled in once empty. */
  public void setCordoned(boolean cordoned) {
    this.cordoned = cordoned;
  }

  /** Returns whether the deletion of the machine was requested. */
  public boolean isScalingIn() {
    return scalingIn;
  }

  /** Sets whether the deletion of the machine was requested. */
  public void setScalingIn(boolean scalingIn) {
    this.scalingIn = scalingIn;
  }

  /** Returns the time at which the cloud reclaims the machine, or {@code null} without a notice. */
  public MonotonicTime reclaimAt() {
    return reclaimAt;
  }

  /** Sets the time at which the cloud reclaims the machine, or {@code null} without a notice. */
  public void setReclaimAt(MonotonicTime reclaimAt) {
    this.reclaimAt = reclaimAt;
  }

  /** Returns the time since which the machine is empty, or {@code null} if it is not empty. */
  public MonotonicTime idleSince() {
    return idleSince;
  }

  /** Sets the time since which the machine is empty, or {@code null} if it is not empty. */
  public void setIdleSince(MonotonicTime idleSince) {
    this.idleSince = idleSince;
  }

  /** Returns what the ends of its tasks say about the machine. */
  public TrackRecord trackRecord() {
    return trackRecord;
  }

  /** Returns whether the machine is considered faulty. */
  public boolean isFaulty() {
    return faulty;
  }

  /** Returns the time since which the machine is known to be faulty. */
  public MonotonicTime faultySince() {
    return faultySince;
  }

  /** Returns the free resources that are not taken by assignments. */
  public Resources available() {
    return available;
  }

  /** Sets the free resources that are not taken by assignments. */
  public void setAvailable(Resources available) {
    this.available = available;
  }

  /** Returns the reservation on the machine, or {@code null} if there is none. */
  public MachineReservation reservation() {
    return reservation;
  }

  /** Sets the reservation on the machine, or {@code null} for none. */
  public void setReservation(MachineReservation reservation) {
    this.reservation = reservation;
  }
}
