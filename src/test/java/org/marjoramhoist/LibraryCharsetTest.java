package org.marjoramhoist;

import static com.google.common.truth.Truth.assertThat;

import de.thetaphi.forbiddenapis.Checker;
import de.thetaphi.forbiddenapis.Logger;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Classes of the libraries that we ship and that take the default charset of the process. */
class LibraryCharsetTest {

  /** Names of jars that only tests use. */
  private static final Pattern TEST_LIBRARY =
      Pattern.compile(
          "(truth|guava|failureaccess|listenablefuture|junit|jqwik|opentest4j|apiguardian|archunit"
              + "|slf4j|asm|forbiddenapis|surefire|common-java5|jspecify|error_prone|j2objc).*");

  private static final Pattern PLACE = Pattern.compile("in ([\\w.$]+) \\(");

  private static final String DEFAULT_CHARSET = "default charset";

  /** The classes that were looked at, each with why no text of ours depends on it. */
  private static final Map<String, String> REVIEWED =
      Map.ofEntries(
          Map.entry(
              "com.fasterxml.jackson.core.io.schubfach.DoubleToDecimal", "digits of numbers only"),
          Map.entry(
              "com.fasterxml.jackson.core.io.schubfach.FloatToDecimal", "digits of numbers only"),
          Map.entry(
              "io.micrometer.core.instrument.util.IOUtils",
              "not used: reads streams of registries that we don't have"),
          Map.entry(
              "io.undertow.util.StringWriteChannelListener",
              "the build forbids its constructor without a charset"),
          Map.entry(
              "net.sourceforge.argparse4j.internal.ArgumentParserImpl", "we pass the writers"),
          Map.entry("net.sourceforge.argparse4j.internal.TerminalWidth", "switched off"),
          Map.entry("org.HdrHistogram.HistogramLogProcessor", "not used: files of histograms"),
          Map.entry("org.HdrHistogram.HistogramLogScanner", "not used: files of histograms"),
          Map.entry("org.HdrHistogram.HistogramLogWriter", "not used: files of histograms"),
          Map.entry(
              "org.apache.logging.log4j.core.appender.ConsoleAppender",
              "only without a layout; LoggingTest"),
          Map.entry(
              "org.apache.logging.log4j.core.appender.rolling.action.FileRenameAction",
              "not used: files"),
          Map.entry(
              "org.apache.logging.log4j.core.config.AbstractConfiguration",
              "not used: monitored files"),
          Map.entry(
              "org.apache.logging.log4j.core.config.DefaultLayout",
              "not used: without a configuration"),
          Map.entry(
              "org.apache.logging.log4j.core.config.plugins.convert.TypeConverters",
              "not used: plugins"),
          Map.entry(
              "org.apache.logging.log4j.core.config.status.StatusConfiguration",
              "its own faults only"),
          Map.entry(
              "org.apache.logging.log4j.core.layout.AbstractJacksonLayout",
              "not used: another layout"),
          Map.entry(
              "org.apache.logging.log4j.core.layout.PatternLayout",
              "we set the charset; LoggingTest"),
          Map.entry("org.apache.logging.log4j.core.net.ssl.FilePasswordProvider", "not used: TLS"),
          Map.entry("org.apache.logging.log4j.core.script.ScriptFile", "not used: scripts"),
          Map.entry(
              "org.apache.logging.log4j.core.util.NameUtil", "digests of names within the process"),
          Map.entry("org.apache.logging.log4j.core.util.StringEncoder", "not used: binary layouts"),
          Map.entry(
              "org.apache.logging.log4j.simple.internal.SimpleProvider",
              "not used: without log4j-core"),
          Map.entry("org.apache.logging.log4j.status.StatusData", "its own faults only"),
          Map.entry("org.apache.logging.log4j.util.Base64Util", "not used: lookups in patterns"),
          Map.entry(
              "org.apache.logging.log4j.util.PropertiesUtil",
              "names of charsets in settings of its own"),
          Map.entry(
              "org.msgpack.jackson.dataformat.MessagePackParser",
              "not used: MessagePackTokens; FrameCodecTest"),
          Map.entry("org.xnio.ByteString", "not used: text made from bytes without a charset"),
          Map.entry("org.xnio.http.HttpUpgrade", "not used: upgrades of connections"),
          Map.entry("org.xnio.streams.ReaderInputStream", "not used: streams of characters"),
          Map.entry("org.xnio.streams.WriterOutputStream", "not used: streams of characters"));

  /** Collects the classes in which something is reported. */
  private static final class Places implements Logger {
    private final Set<String> classes = new TreeSet<>();

    /** Whether the call whose place is reported next takes the default charset. */
    private boolean isDefaultCharset;

    @Override
    public void warn(String message) {
      Matcher place = PLACE.matcher(message);
      if (!place.find()) {
        isDefaultCharset = message.contains(DEFAULT_CHARSET);
      } else if (isDefaultCharset) {
        classes.add(place.group(1).replaceFirst("\\$.*", ""));
      }
    }

    @Override
    public void error(String message) {}

    @Override
    public void info(String message) {}

    @Override
    public void debug(String message) {}
  }

  /** Guards against texts that a library reads or writes in another charset than we mean. */
  @Test
  void eachUseOfTheDefaultCharsetWasLookedAt() throws Exception {
    Places places = new Places();
    Checker checker =
        new Checker(places, getClass().getClassLoader(), EnumSet.noneOf(Checker.Option.class));
    checker.addBundledSignatures("jdk-unsafe", "17");
    checker.parseSignaturesString("java.nio.charset.Charset#defaultCharset() @ default charset");
    for (JarFile jar : libraries()) {
      try (jar) {
        addClasses(jar, checker);
      }
    }
    checker.run();
    assertThat(places.classes).containsExactlyElementsIn(REVIEWED.keySet());
  }

  private static List<JarFile> libraries() throws IOException {
    List<JarFile> jars = new ArrayList<>();
    for (String path : System.getProperty("java.class.path").split(File.pathSeparator)) {
      File file = new File(path);
      if (file.isFile() && !TEST_LIBRARY.matcher(file.getName()).matches()) {
        jars.add(new JarFile(file));
      }
    }
    return jars;
  }

  private static void addClasses(JarFile jar, Checker checker) throws IOException {
    for (JarEntry entry : jar.stream().toList()) {
      String name = entry.getName();
      boolean isClass = name.endsWith(".class") && !name.endsWith("module-info.class");
      if (isClass && !name.startsWith("META-INF/")) {
        try (InputStream in = jar.getInputStream(entry)) {
          checker.streamReadClassToCheck(in, name);
        }
      }
    }
  }
}
