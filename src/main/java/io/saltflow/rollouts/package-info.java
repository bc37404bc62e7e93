/**
 * The state machine of rollouts, a pure function from a rollout's record and the observed replicas
 * to its next record.
 */
package io.saltflow.rollouts;
