/**
 * Fault attribution: whether task failures are caused by the job or by the machine. Pure: failures
 * and successes are passed in, findings are returned.
 */
package io.saltflow.faultattribution;
