/**
 * Health gates: a typed language for conditions such as {@code ready >= 95% for 30s}, and their
 * evaluation over time in three-valued logic. Observations and times are passed in.
 */
package io.saltflow.healthgates;
