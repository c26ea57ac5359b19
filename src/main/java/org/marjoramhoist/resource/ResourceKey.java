package org.marjoramhoist.resource;

import java.util.Comparator;
import org.marjoramhoist.model.Names;

/**
 * The kind and name of a resource.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param kind the kind
 * @param name the name, unique within its kind
 */
public record ResourceKey(Kind kind, String name) implements Comparable<ResourceKey> {

  private static final Comparator<ResourceKey> ORDER =
      Comparator.comparing(ResourceKey::kind).thenComparing(ResourceKey::name);

  /** Creates a key. */
  public ResourceKey {
    Names.check(kind.label() + " name", name);
  }

  /**
   * Parses the text form {@code kind/name}.
   *
   * @throws IllegalArgumentException if the text is not of that form
   */
  public static ResourceKey parse(String text) {
    int at = text.indexOf('/');
    if (at < 0) {
      throw new IllegalArgumentException("resource must be kind/name: " + text);
    }
    return new ResourceKey(Kind.of(text.substring(0, at)), text.substring(at + 1));
  }

  @Override
  public int compareTo(ResourceKey other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return kind.label() + "/" + name;
  }
}
