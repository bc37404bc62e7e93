/**
 * Whether a worker hears what it is answered. Its reports may arrive while answers and commands are
 * lost: it looks well, and its lease runs out. Pure: told what was answered and what came next,
 * with the time. {@code docs/design/hearing.md} has the ways weighed.
 */
package io.saltflow.hearing;
