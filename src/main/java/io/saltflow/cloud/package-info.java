/**
 * Client of the cloud provider's API for machine types, scale-out, scale-in and the list of
 * machines.
 */
package io.saltflow.cloud;
