/**
 * HTTP servers of the key-value store, either a standalone node with a write-ahead log or a member
 * of a replicated group, and backup, restore and repair of a data directory.
 */
package io.saltflow.kvserver;
