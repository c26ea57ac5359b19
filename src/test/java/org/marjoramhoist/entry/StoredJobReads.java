package org.marjoramhoist.entry;

import java.util.List;
import org.marjoramhoist.dispatch.DispatchEvent.EndedJob;
import org.marjoramhoist.dispatch.DispatchEvent.LoadedJob;
import org.marjoramhoist.platform.KeyValueClient.Item;

/** Reads stored jobs from lists of items. */
final class StoredJobReads {

  private StoredJobReads() {}

  static List<LoadedJob> open(List<Item> records, List<Item> progress) {
    StoredJobs jobs = new StoredJobs();
    progress.forEach(jobs::addProgress);
    records.forEach(jobs::addRecord);
    return jobs.open();
  }

  static List<EndedJob> ended(List<Item> items) {
    StoredJobs jobs = new StoredJobs();
    items.forEach(jobs::addEnded);
    return jobs.ended();
  }
}
