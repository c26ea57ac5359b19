package org.marjoramhoist.decision;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32C;
import org.marjoramhoist.model.DomainId;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.SubmissionId;

/**
 * Maps submissions to shards, and ranks hosts by rendezvous hashing.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Shards {

  /** Separates the name of the home domain from the rest of a submission id. */
  public static final char HOME_SEPARATOR = '~';

  private static final long MIX_FACTOR = 0x9E3779B97F4A7C15L;

  private Shards() {}

  /**
   * Returns the shard that decides on a submission.
   *
   * <ul>
   *   <li>An id {@code domain~rest} with a known domain belongs to that domain.
   *   <li>Any other id belongs to the domain that its hash selects.
   * </ul>
   */
  public static String shardOf(SubmissionId id, Policy policy) {
    long hash = hash(id.value());
    DomainId home = homeOf(id, policy.domains());
    if (home == null) {
      int index = (int) Math.floorMod(hash >>> 20, (long) policy.domains().size());
      home = policy.domains().get(index);
    }
    return shardKey(home, (int) Math.floorMod(hash, (long) policy.shardsPerDomain()));
  }

  private static DomainId homeOf(SubmissionId id, List<DomainId> domains) {
    int at = id.value().indexOf(HOME_SEPARATOR);
    if (at <= 0) {
      return null;
    }
    String name = id.value().substring(0, at);
    return domains.stream().filter(domain -> domain.value().equals(name)).findFirst().orElse(null);
  }

  /** Returns the key of a domain's shard. */
  public static String shardKey(DomainId domain, int number) {
    return domain.value() + "/" + number;
  }

  /** Returns the domain of a shard's key. */
  public static String domainOf(String shard) {
    return shard.substring(0, shard.lastIndexOf('/'));
  }

  /** Returns an order in which the host that should hold the key comes first. */
  public static Comparator<HostId> preference(String key) {
    return Comparator.<HostId>comparingLong(host -> weight(key, host))
        .thenComparing(Comparator.naturalOrder());
  }

  /** Returns the rendezvous weight of a host for a key; the smallest is preferred. */
  public static long weight(String key, HostId host) {
    return hash(key + "|" + host.value());
  }

  /** Returns a 64-bit hash of a text that is the same on every host. */
  public static long hash(String text) {
    CRC32C crc = new CRC32C();
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    crc.update(bytes);
    long low = crc.getValue();
    crc.update(bytes.length);
    long mixed = (low << 32 | crc.getValue()) * MIX_FACTOR;
    mixed ^= mixed >>> 29;
    mixed *= MIX_FACTOR;
    return (mixed ^ mixed >>> 32) & Long.MAX_VALUE;
  }
}
