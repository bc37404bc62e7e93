package io.saltflow.store;

import io.saltflow.protocol.MessageBody;
import java.util.ArrayList;
import java.util.List;

/** The encoded content of a page: its records and the copies of moved records. */
final class PageContent<T> {
  private final RecordFormat<T> format;
  private final List<T> records = new ArrayList<>();
  private final List<Object> values = new ArrayList<>();
  private final List<String> reduced = new ArrayList<>();
  private final MessageBody body = MessageBody.of();

  PageContent(RecordFormat<T> format, RecordPage<T> page) {
    this.format = format;
    for (T record : page.records().values()) {
      records.add(record);
      values.add(encode(record));
    }
    page.movedCopies().forEach(this::encode);
  }

  private Object encode(T record) {
    Object value = format.encode(record);
    if (!format.retainsAll(record, value)) {
      reduced.add(format.name(record));
    }
    body.with(format.name(record), value);
    return value;
  }

  /** Returns the records that are assigned to the page. */
  List<T> records() {
    return records;
  }

  /** Returns the encoded forms of the records, in the same order. */
  List<Object> values() {
    return values;
  }

  /**
   * Returns the names of records that this content encodes with less data than was stored before.
   */
  List<String> reduced() {
    return reduced;
  }

  /** Returns the value to be written. */
  MessageBody body() {
    return body;
  }
}
