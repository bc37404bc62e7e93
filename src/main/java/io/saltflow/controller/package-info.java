/**
 * The controller process: wiring of a node, and the leader session, which reads the recorded state
 * and drives the leader core with events from the network.
 */
package io.saltflow.controller;
