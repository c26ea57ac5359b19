package org.marjoramhoist.job;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.json.JsonText;

class RequestClassTest {

  /** The form in which other hosts send a class and in which earlier versions have stored it. */
  private static final String TEXT =
      "{\"name\":\"check\",\"authority\":\"h\",\"pathPrefix\":\"/p/\",\"upstream\":\"reviews\","
          + "\"priority\":1,\"attempts\":3,\"stretch\":1.6,\"objectiveMillis\":60,"
          + "\"advised\":true}";

  private static final RequestClass VALUE =
      new RequestClass("check", "h", "/p/", "reviews", 1, 3, 1.6, 60, true);

  /** A renamed component would make messages and stored jobs of other versions unreadable. */
  @Test
  void keepsItsJsonForm() throws JsonProcessingException {
    assertThat(JsonText.MAPPER.readValue(TEXT, RequestClass.class)).isEqualTo(VALUE);
    assertThat(JsonText.MAPPER.readTree(JsonText.of(VALUE)))
        .isEqualTo(JsonText.MAPPER.readTree(TEXT));
  }

  @Test
  void keepsThatWorkersStartBeyondTheirCapacity() throws JsonProcessingException {
    RequestClass unguarded =
        new RequestClass("check", "h", "/p/", "reviews", 1, 3, 1.6, 60, true, true);
    assertThat(JsonText.MAPPER.readValue(JsonText.of(unguarded), RequestClass.class))
        .isEqualTo(unguarded);
  }
}
