/**
 * Admission of status queries under overload. Status queries yield to all other work, and queries
 * of jobs that were refused take precedence over queries of jobs that were just answered. Pure:
 * events and times are passed in.
 */
package io.saltflow.admission;
