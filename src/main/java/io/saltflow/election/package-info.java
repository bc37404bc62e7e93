/**
 * Leader election with a key under a lease and a term that is incremented in the same transaction.
 * The term is the fencing token that workers check.
 */
package io.saltflow.election;
