/**
 * Value types shared by all other packages (ids, terms, revisions, times, resources and job
 * specifications) and rate limiters.
 */
package io.saltflow.model;
