/**
 * Detection of one-way loss between a controller and a worker: reports arrive, answers and commands
 * are lost. Such a worker looks well until its lease runs out. Pure: told what was answered and
 * what the next report shows, with the time. {@code docs/design/hearing.md} has the ways weighed.
 */
package io.saltflow.reachability;
