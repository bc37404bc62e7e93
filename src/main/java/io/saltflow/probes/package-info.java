/**
 * Scheduling and evaluation of health probes: which replica to probe next, from which controller,
 * and what the responses mean. Responses and times are passed in.
 */
package io.saltflow.probes;
