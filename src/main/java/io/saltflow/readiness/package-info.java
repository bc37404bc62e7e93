/**
 * A morning's deadline of a queue, which is a named set of classes and teams: when it is due, what
 * is forecast, and which late work is pushed first so that the fewest jobs miss it. Pure: instants
 * and work are passed in. {@code docs/design/readiness.md} has the ways weighed and what was
 * published.
 */
package io.saltflow.readiness;
