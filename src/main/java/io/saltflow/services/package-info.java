/**
 * Long-running services and their rollouts during a leader's term: durable records, the jobs that
 * run replicas, health probes, and the steps of a rollout. Each decision is recorded before it
 * takes effect, so that a new leader continues from the record. See {@code docs/ROLLOUTS.md} for
 * operators.
 */
package io.saltflow.services;
