/**
 * Which questions about jobs are answered when there are too many. They give way to all other work,
 * and they are fair to each job: who was refused goes before who was just answered. Pure: told who
 * asks and what became of it, with the time.
 */
package io.saltflow.polls;
