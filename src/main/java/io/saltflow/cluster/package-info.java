/**
 * The leader's model of the cluster: jobs, machines, task placements, quota usage and run time
 * estimates. It is deterministic and uses neither sockets nor a clock.
 */
package io.saltflow.cluster;
