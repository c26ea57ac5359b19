package org.marjoramhoist.json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class Utf8Test {

  @TempDir private Path directory;

  @ParameterizedTest
  @ValueSource(strings = {"", "a", "Überfällig", "шлях 東京 𝄞"})
  void readsWhatIsInUtf8(String text) throws Exception {
    Path file = Files.write(directory.resolve("f"), text.getBytes(StandardCharsets.UTF_8));
    assertThat(Utf8.read(file)).isEqualTo(text);
  }

  /** On-call saw "Input length = 1" for a settings file in another charset. */
  @Test
  void namesThePlaceOfWhatIsNot() throws Exception {
    Path file = Files.write(directory.resolve("f"), new byte[] {'a', 'b', (byte) 0xfc, 'c'});
    IOException e = assertThrows(IOException.class, () -> Utf8.read(file));
    assertThat(e).hasMessageThat().isEqualTo("not in UTF-8 at byte 2, counted from 0");
  }

  @Test
  void namesThePlaceOfCutCharacter() throws Exception {
    Path file = Files.write(directory.resolve("f"), new byte[] {'a', (byte) 0xe6, (byte) 0x9d});
    IOException e = assertThrows(IOException.class, () -> Utf8.read(file));
    assertThat(e).hasMessageThat().isEqualTo("not in UTF-8 at byte 1, counted from 0");
  }
}
