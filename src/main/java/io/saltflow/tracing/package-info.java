/**
 * Exports rollouts as OpenTelemetry traces. The package is loaded only if tracing is enabled, and
 * no decision depends on the delivery of a span.
 */
package io.saltflow.tracing;
