package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramhoist.json.JsonText;

class NumberSetTest {

  private static NumberSet of(Iterable<Integer> numbers) {
    NumberSet.Builder builder = new NumberSet.Builder();
    numbers.forEach(each -> builder.addAll(NumberSet.of(each)));
    return builder.build();
  }

  private static List<Integer> numbers(NumberSet set) {
    List<Integer> numbers = new ArrayList<>();
    set.forEach(numbers::add);
    return numbers;
  }

  @Property(tries = 300)
  void holdsWhatWasAddedInAnyOrder(
      @ForAll List<@IntRange(max = 40) Integer> first,
      @ForAll Set<@IntRange(max = 40) Integer> second)
      throws JsonProcessingException {
    NumberSet set = of(first).union(of(second));
    Set<Integer> expected = new TreeSet<>(first);
    expected.addAll(second);
    assertThat(numbers(set)).containsExactlyElementsIn(expected).inOrder();
    assertThat(set.size()).isEqualTo(expected.size());
    for (int i = -1; i < 43; i++) {
      assertThat(set.contains(i)).isEqualTo(expected.contains(i));
    }
    assertThat(NumberSet.parse(set.toString())).isEqualTo(set);
    assertThat(JsonText.MAPPER.readValue(JsonText.of(set), NumberSet.class)).isEqualTo(set);
  }

  @Test
  void oneNumberIsWrittenAsSuch() {
    assertThat(JsonText.of(NumberSet.of(7))).isEqualTo("7");
    assertThat(JsonText.of(NumberSet.parse("7,9-8000,8"))).isEqualTo("\"7-8000\"");
    assertThat(JsonText.of(NumberSet.EMPTY)).isEqualTo("\"\"");
  }

  @Test
  void largestNumbersNeitherOverflowNorTakeRoom() {
    NumberSet all = NumberSet.parse("0-2147483647,2147483647,5");
    assertThat(all.toString()).isEqualTo("0-2147483647");
    assertThat(all.size()).isEqualTo(Integer.MAX_VALUE);
    assertThat(all.contains(Integer.MAX_VALUE)).isTrue();
    assertThat(all.max()).isEqualTo(Integer.MAX_VALUE);
  }

  /** Any writer may have stored a text. */
  @ParameterizedTest
  @ValueSource(
      strings = {"x", "-1", "1-", "2-1", "1,,2", ",", "2147483648", "1-99999999999", " 1", "١"})
  void oddTextIsRefused(String odd) {
    assertThrows(IllegalArgumentException.class, () -> NumberSet.parse(odd));
    assertThrows(
        JsonProcessingException.class,
        () -> JsonText.MAPPER.readValue(JsonText.of(odd), NumberSet.class));
  }

  @Test
  void negativeNumberIsRefused() {
    assertThrows(IllegalArgumentException.class, () -> NumberSet.of(-1));
  }
}
