package org.marjoramhoist.platform;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class StoreKeysTest {

  /** Guards against keys that hosts of other languages neither find nor sort alike. */
  @Test
  void keysDoNotDependOnTheLanguageOfTheHost() {
    assertThat(StoreKeys.claimBatch("d/0", 3, 12))
        .isEqualTo("/marjoramhoist/claims/d/0/0000000000000003-000000000012");
    assertThat(StoreKeys.accountBatch("h", 1, 12))
        .isEqualTo("/marjoramhoist/accounts/h/1/000000000012");
  }
}
