/**
 * Fault attribution: whether a task's failures are the fault of its job or of the machine. Pure:
 * told of failures and successes, it returns findings.
 */
package io.saltflow.faultattribution;
