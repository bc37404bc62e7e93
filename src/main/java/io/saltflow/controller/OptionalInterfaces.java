package io.saltflow.controller;

import io.saltflow.broker.AmqpSettings;
import io.saltflow.services.RolloutEvent;
import java.util.function.Consumer;

/**
 * Interfaces that a controller may serve in addition to the platform's protocol.
 *
 * @param amqpSettings settings of the AMQP server and its queues; {@code null} if AMQP is not
 *     served
 * @param servicesEnabled whether services and their rollouts are served
 * @param rolloutListener receives each rollout event
 */
public record OptionalInterfaces(
    AmqpSettings amqpSettings, boolean servicesEnabled, Consumer<RolloutEvent> rolloutListener) {
  /** Creates interfaces that ignore rollout events. */
  public OptionalInterfaces(AmqpSettings amqpSettings, boolean servicesEnabled) {
    this(amqpSettings, servicesEnabled, event -> {});
  }
}
