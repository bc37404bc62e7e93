package io.saltflow.compat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.saltflow.amqp.AmqpForms;
import io.saltflow.kvserver.GroupStorageForms;
import io.saltflow.records.RepositoryForms;
import io.saltflow.services.ServiceRecordForms;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against incompatible changes to stored and transmitted data, command-line output and
 * settings, by comparison with samples in the repository. Run with {@code -Dcompat.write=true} to
 * regenerate the samples, and review the difference before committing it.
 */
class StoredFormsTest {
  private static final Path FOLDER = Path.of("src/test/resources/compat");
  private static final Path FORMS_FILE = FOLDER.resolve("forms.txt");
  private static final Path TEXTS_FILE = FOLDER.resolve("texts.txt");
  private static final String REWRITTEN = ", as it is written now";
  private static final HexFormat HEX = HexFormat.of();

  @TempDir static Path folder;
  private static Map<String, StoredForm> forms;
  private static Map<String, List<String>> texts;
  private static Map<String, String> formSamples;
  private static Map<String, List<String>> textSamples;

  @BeforeAll
  static void readSamples() throws Exception {
    boolean write = Boolean.getBoolean("compat.write");
    forms = collectForms();
    if (write) {
      Samples.write(FORMS_FILE, newFormSamples());
    }
    formSamples = new LinkedHashMap<>();
    Samples.read(FORMS_FILE)
        .forEach((name, values) -> formSamples.put(name, String.join("\n", values)));
    texts = collectTexts();
    if (write) {
      Samples.write(TEXTS_FILE, texts);
    }
    textSamples = Samples.read(TEXTS_FILE);
  }

  private static Map<String, StoredForm> collectForms() throws Exception {
    List<StoredForm> all = new ArrayList<>(MessageForms.all());
    all.addAll(AmqpForms.all());
    all.addAll(JournalForms.all());
    all.addAll(GroupStorageForms.all());
    all.addAll(RepositoryForms.all());
    all.addAll(ServiceRecordForms.all());
    all.addAll(RecordScenario.all());
    Map<String, StoredForm> byName = new LinkedHashMap<>();
    for (StoredForm form : all) {
      if (byName.put(form.name(), form) != null) {
        throw new IllegalStateException("duplicate form name: " + form.name());
      }
    }
    return byName;
  }

  private static Map<String, List<String>> newFormSamples() throws Exception {
    Map<String, List<String>> samples = new LinkedHashMap<>();
    for (StoredForm form : forms.values()) {
      samples.put(form.name(), List.of(HEX.formatHex(form.bytes())));
      if (form.earlier()) {
        byte[] rewritten = form.codec().roundTrip(form.bytes());
        samples.put(form.name() + REWRITTEN, List.of(HEX.formatHex(rewritten)));
      }
    }
    return samples;
  }

  private static Map<String, List<String>> collectTexts() throws Exception {
    Map<String, List<String>> all = new LinkedHashMap<>();
    all.put("amqp connection.start", AmqpForms.connectionStart());
    all.put("read of the store's requests", StoreReader.ofRequests(formSamples));
    all.put("read of earlier records", StoreReader.ofEarlierRecords(formSamples));
    all.put("read of the queues' record", StoreReader.ofQueues(formSamples));
    all.putAll(SettingsTexts.all());
    all.putAll(CommandLineTexts.ofCommands(folder));
    all.put("http", CommandLineTexts.ofHttp());
    return all;
  }

  private static Set<String> formNames() throws Exception {
    return collectForms().keySet();
  }

  @ParameterizedTest
  @MethodSource("formNames")
  void formMatchesSample(String name) throws Exception {
    StoredForm form = forms.get(name);
    String sample = formSamples.get(name);
    assertNotNull(sample, "there is no sample of " + name);
    String reencoded = HEX.formatHex(form.codec().roundTrip(HEX.parseHex(sample)));
    if (form.earlier()) {
      assertEquals(formSamples.get(name + REWRITTEN), reencoded);
      assertEquals(reencoded, HEX.formatHex(form.codec().roundTrip(form.bytes())));
    } else {
      assertEquals(sample, HEX.formatHex(form.bytes()), "current encoding");
      assertEquals(sample, reencoded, "encoding of the decoded sample");
    }
  }

  /** Guards against samples that no form reads any more. */
  @Test
  void everySampleHasForm() throws Exception {
    assertEquals(new LinkedHashSet<>(newFormSamples().keySet()), formSamples.keySet());
    assertEquals(texts.keySet(), textSamples.keySet());
  }

  private static List<String> textNames() throws Exception {
    return List.copyOf(Samples.read(TEXTS_FILE).keySet());
  }

  @ParameterizedTest
  @MethodSource("textNames")
  void textMatchesSample(String name) {
    assertEquals(String.join("\n", textSamples.get(name)), String.join("\n", texts.get(name)));
  }
}
