package io.saltflow.controller;

import io.saltflow.api.HeldHeartbeats;
import io.saltflow.broker.AmqpServer;
import io.saltflow.election.LeaderElection;
import io.saltflow.leader.LeaderCore;
import io.saltflow.model.MachineType;
import io.saltflow.model.TimeSpan;
import io.saltflow.services.ServiceController;
import io.saltflow.services.ServiceNode;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Routine;
import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;

/**
 * Runs the components that are active only while this node leads: the leader session, services and
 * AMQP queues. Not thread-safe: used on the event loop's thread.
 */
final class LeaderRole implements LeaderSession.Environment {
  /** Store write rate of the leader, as a multiple of a node's regular share. */
  private static final double LEADER_WRITE_SHARE = 1.6;

  private static final double FOLLOWER_WRITE_SHARE = 1;

  /**
   * The components of the node that take part in leading.
   *
   * @param serviceNodes creates the node of each new service controller; {@code null} if services
   *     are not served
   * @param amqpServer {@code null} if AMQP is not served
   */
  record Components(
      LeaderElection election,
      PeerTable peers,
      MachineTypeCatalog machineTypes,
      HeldHeartbeats heldHeartbeats,
      HttpServer server,
      Supplier<ServiceNode> serviceNodes,
      AmqpServer amqpServer) {}

  private final Routine node;
  private final EventLoop loop;
  private final LeaderSession.Resources resources;
  private final Components components;
  private LeaderSession session;
  private ServiceController services;

  LeaderRole(Routine node, EventLoop loop, LeaderSession.Resources resources, Components parts) {
    this.node = node;
    this.loop = loop;
    this.resources = resources;
    this.components = parts;
  }

  /**
   * Returns the leader core, or {@code null} if this node does not lead or still reads the records.
   */
  LeaderCore core() {
    return session == null ? null : session.core();
  }

  /** Returns whether this node leads but still reads the records. */
  boolean recovering() {
    return session != null && session.core() == null;
  }

  /**
   * Returns the controller of the services, or {@code null} if this node does not control services.
   */
  ServiceController services() {
    return services;
  }

  /** Starts a session after leadership was acquired. */
  void begin() {
    resources.store().setWriteShare(LEADER_WRITE_SHARE);
    session = new LeaderSession(node, loop, resources, this);
    session.start();
    components.heldHeartbeats().onElected();
  }

  /** Ends the session, if any, after leadership was lost. */
  void end() {
    resources.store().setWriteShare(FOLLOWER_WRITE_SHARE);
    components.heldHeartbeats().release();
    if (session != null) {
      session.cancel();
      session = null;
    }
    services = null;
    if (components.amqpServer() != null) {
      components.amqpServer().deposed();
    }
  }

  @Override
  public void onReady(LeaderSession ready) {
    components.heldHeartbeats().release();
    if (components.serviceNodes() != null) {
      services = new ServiceController(ready, loop, components.serviceNodes().get(), ready.core());
      services.start();
    }
    if (components.amqpServer() != null) {
      components.amqpServer().lead(ready, ready.core());
    }
  }

  @Override
  public Collection<MachineType> machineTypes() {
    return components.machineTypes().types();
  }

  @Override
  public void onMachineTypes(List<MachineType> types) {
    components.machineTypes().addAll(types);
  }

  @Override
  public void onUnreachableInbound(TimeSpan abstain) {
    components.election().stepDown("no worker heartbeats received", abstain);
  }

  @Override
  public boolean storeDownForAllPeers() {
    return components.peers().storeDownForAll();
  }

  @Override
  public int takeRejectedConnections() {
    return components.server().takeRejectedCount();
  }
}
