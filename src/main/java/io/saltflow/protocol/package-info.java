/**
 * The wire protocol and the value types that all other packages use: ids, terms, versions, times
 * and sizes. Field names on the wire appear in this package's codecs and nowhere else.
 */
package io.saltflow.protocol;
