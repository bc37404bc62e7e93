/**
 * The program: command line, settings, HTTP interfaces for users and workers, and the wiring of one
 * controller node.
 */
package io.saltflow.app;
