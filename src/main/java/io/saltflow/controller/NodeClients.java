package io.saltflow.controller;

import io.saltflow.cloud.CloudClient;
import io.saltflow.config.PlatformSettings;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.StoreLimits;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.Routine;

/**
 * Clients of the key-value store and the cloud, each limited to this node's share of the request
 * rate that the platform grants to all controllers.
 */
record NodeClients(KeyValueClient store, CloudClient cloud) {
  /** Share of the total rate per node, large because a node may have to serve all users alone. */
  private static final double STORE_RATE_SHARE = 0.45;

  private static final double STORE_WRITE_RATE_SHARE = 0.5;
  private static final double CLOUD_RATE_SHARE = 0.75;

  /** Opens the clients, which are closed with their owner. */
  static NodeClients open(Routine owner, EventLoop loop, PlatformSettings settings) {
    HttpClient storeHttp = new HttpClient(owner, loop, settings.storeAddress(), 24, 256);
    HttpClient watchHttp = new HttpClient(owner, loop, settings.storeAddress(), 4, 8);
    HttpClient cloudHttp = new HttpClient(owner, loop, settings.cloudAddress(), 8, 32);
    StoreLimits limits =
        new StoreLimits(
            settings.maxTransactionOperations(),
            settings.maxValueKb(),
            settings.storeWritesPerSecond());
    KeyValueClient store =
        new KeyValueClient(
            owner,
            loop,
            storeHttp,
            watchHttp,
            settings.storeRequestsPerSecond() * STORE_RATE_SHARE,
            storeWritesPerSecond(settings),
            limits);
    double cloudRate = settings.cloudRequestsPerSecond() * CLOUD_RATE_SHARE;
    return new NodeClients(store, new CloudClient(owner, loop, cloudHttp, cloudRate));
  }

  /** Returns the number of writes per second that a follower may send to the store. */
  static double storeWritesPerSecond(PlatformSettings settings) {
    return settings.storeWritesPerSecond() * STORE_WRITE_RATE_SHARE;
  }
}
