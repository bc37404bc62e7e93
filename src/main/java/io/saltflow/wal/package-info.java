/**
 * A write-ahead log on disk with checksummed records, segments and snapshots. Entries survive any
 * crash once {@link io.saltflow.wal.WriteAheadLog#append} has returned. {@link
 * io.saltflow.wal.StorageDirectory} abstracts the file system, so that tests can simulate crashes
 * and I/O errors. {@code docs/STATE.md} describes the format.
 */
package io.saltflow.wal;
