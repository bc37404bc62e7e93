/**
 * Command line: serves a controller or a key-value store, runs a local cluster in one process, and
 * provides the commands of users and operators.
 */
package io.saltflow.cli;
