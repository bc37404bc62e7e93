/**
 * Minimum shares of each job class and team while demand exceeds the cluster's capacity. A plan is
 * a pure function of the current requests and their ages: only recorded arrival times carry over
 * between rounds, so a failover does not affect it. Shares are measured by the dominant resource
 * (Ghodsi et al., NSDI 2011) and divided by max-min fairness: small requests are served in full and
 * the others share the rest evenly.
 */
package io.saltflow.fairshare;
