/**
 * The level of what is stored: which forms of records, frames and answers a build may read and
 * write. One number for all of them; it only rises, and only when all controllers have announced
 * that they can act on it. Pure: the shell reads and commits, this package says what. No comparison
 * of builds or levels stands anywhere else. {@code docs/design/levels.md} has the proof and the
 * ways weighed.
 */
package io.saltflow.levels;
