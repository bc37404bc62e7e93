/**
 * What each class and each team gets at the least when more work waits than the fleet can do. A
 * pure function of what is asked for now and since when: nothing is carried over from one round to
 * the next but the times of arrival, which are recorded, so a takeover changes nothing. Parts are
 * of the fleet by the scarcest resource (dominant resources, Ghodsi et al., NSDI 2011); who asks
 * for little is served in full and the rest share evenly (max-min fairness).
 */
package io.saltflow.shares;
