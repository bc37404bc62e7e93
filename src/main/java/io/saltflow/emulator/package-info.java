/**
 * In-process emulators of a key-value store, a cloud and its machines, used by {@code local} and by
 * tests.
 */
package io.saltflow.emulator;
