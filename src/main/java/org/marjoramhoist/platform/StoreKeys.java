package org.marjoramhoist.platform;

import java.util.Locale;
import org.marjoramhoist.resource.ResourceKey;

/**
 * The keys of this project's state in the store.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class StoreKeys {

  /** The prefix of all keys. */
  public static final String ROOT = "/marjoramhoist/";

  /** The prefix of the configuration's resources. */
  public static final String CONFIG = ROOT + "config/";

  /**
   * The key that each change of the configuration sets, including deletions of resources; its
   * revision is that of the last change.
   */
  public static final String CONFIG_HEAD = CONFIG + "~head";

  /** The prefix of the batches of accounts. */
  public static final String ACCOUNTS = ROOT + "accounts/";

  /** The prefix of the registered hosts. */
  public static final String HOSTS = ROOT + "hosts/";

  private StoreKeys() {}

  /** Returns the key of a resource. */
  public static String resource(ResourceKey key) {
    return CONFIG + key;
  }

  /** Returns the key of a shard's record. */
  public static String shard(String shard) {
    return ROOT + "shards/" + shard;
  }

  /** Returns the prefix of a shard's logged claims. */
  public static String claims(String shard) {
    return ROOT + "claims/" + shard + "/";
  }

  /** Returns the key of a batch of logged claims; later batches sort after earlier ones. */
  public static String claimBatch(String shard, long epoch, long batch) {
    return claims(shard) + String.format(Locale.ROOT, "%016d-%012d", epoch, batch);
  }

  /** Returns the key of a batch of accounts. */
  public static String accountBatch(String host, long boot, long seq) {
    return ACCOUNTS + host + "/" + boot + "/" + String.format(Locale.ROOT, "%012d", seq);
  }
}
