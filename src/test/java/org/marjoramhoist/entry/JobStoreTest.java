package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramhoist.dispatch.DispatchEvent;
import org.marjoramhoist.platform.KeyValueClient.Put;

/** A leader's start on the stored jobs, against an in-process store stand-in. */
class JobStoreTest extends StoreFixture {

  private static final long WAIT_MILLIS = 5_000;
  private static final String LAST_WRITE_KEY = JobRecords.ROOT + "writer/0";

  private void assertJobsAreLoaded() throws Exception {
    Put leader = new Put(HostRegistration.LEADER, "{}", 0);
    long term = client.txn(List.of(), List.of(leader), List.of()).get().revision();
    CompletableFuture<DispatchEvent> loaded = new CompletableFuture<>();
    JobStore jobs =
        new JobStore(term, client, new StoreHealth(), loop, loaded::complete, reason -> {});
    loop.execute(jobs::start);
    DispatchEvent event = loaded.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
    assertThat(event).isInstanceOf(DispatchEvent.JobsLoaded.class);
  }

  @Test
  void jobsAreLoadedByFirstLeader() throws Exception {
    assertJobsAreLoaded();
  }

  /** Another writer left it; no durable job would be accepted or continued again. */
  @ParameterizedTest
  @ValueSource(strings = {"", "odd", "1", "1 x 3", "99999999999999999999 1 1"})
  void oddLastWriteLeavesJobsLoadable(String odd) throws Exception {
    store.put(LAST_WRITE_KEY, odd);
    assertJobsAreLoaded();
  }
}
