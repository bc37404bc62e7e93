/** HTTP APIs of a controller for users, operators and workers. */
package io.saltflow.api;
