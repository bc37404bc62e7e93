/**
 * Durable records in the state service, and clients of the state service and of the cloud: leader
 * election, job records, plans, queues and services. Each write of a leader is guarded by its
 * leader key and by the version that it replaces.
 */
package io.saltflow.bookkeeping;
