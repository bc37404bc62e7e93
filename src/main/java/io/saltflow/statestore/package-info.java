/**
 * The processes of the state service: a single node with a journal, or one node of a replicated
 * group, behind HTTP. Also backup, restore and repair of its folder.
 */
package io.saltflow.statestore;
