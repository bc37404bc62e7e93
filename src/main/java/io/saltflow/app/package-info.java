/** Contains the entry points of the program. */
package io.saltflow.app;
