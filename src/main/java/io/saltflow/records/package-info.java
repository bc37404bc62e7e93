/**
 * Repositories of the records that controllers keep in the key-value store: jobs and their
 * admission, job progress, the machine ledger, dependencies, plans, queues, services and cluster
 * versions. Each write of a leader is guarded by its leader key and by the revision of the record
 * that it replaces.
 */
package io.saltflow.records;
