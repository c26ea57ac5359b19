package org.marjoramhoist.resource;

import java.util.ArrayList;
import java.util.List;
import org.marjoramhoist.json.InvalidDocumentException;
import org.marjoramhoist.json.Problems;
import org.marjoramhoist.json.StrictObject;

/**
 * Reads and checks declared resources.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Declarations {

  private Declarations() {}

  /**
   * A resource as declared in a file.
   *
   * @param key its kind and name
   * @param spec an {@link UpstreamSpec}, {@link TeamSpec} or {@link ClassSpec}
   * @param json the specification without comments, as it is stored
   * @param expectedVersion the version that the change is based on; -1 if the document names none
   */
  public record Declared(ResourceKey key, Object spec, String json, long expectedVersion) {}

  /**
   * Reads a document of one resource or an array of them; it is refused whole if any part is wrong.
   *
   * @param source the file's name, for the messages
   * @param text the document, JSON with comments
   * @return the resources in their order
   * @throws InvalidDocumentException with every fault found
   */
  public static List<Declared> parse(String source, String text) throws InvalidDocumentException {
    Problems problems = new Problems(source);
    List<Declared> all = new ArrayList<>();
    for (StrictObject item : StrictObject.parseMany(text, problems)) {
      Declared declared = read(item);
      if (declared != null) {
        all.add(declared);
      }
    }
    problems.throwIfAny();
    return all;
  }

  /**
   * Reads a stored specification.
   *
   * @return an {@link UpstreamSpec}, {@link TeamSpec} or {@link ClassSpec}
   * @throws InvalidDocumentException with every fault found
   */
  public static Object parseSpec(ResourceKey key, String json) throws InvalidDocumentException {
    Problems problems = new Problems(key.toString());
    Object spec;
    try (StrictObject object = StrictObject.parse(json, problems)) {
      spec = readSpec(key, object);
    }
    problems.throwIfAny();
    return spec;
  }

  private static Declared read(StrictObject item) {
    try (item) {
      Kind kind = item.value("kind", Kind::of);
      String name = item.value("name", Declarations::checkedName);
      long version = item.number("version", -1, Long.MAX_VALUE, -1);
      StrictObject spec = item.object("spec");
      if (kind == null || name == null) {
        return null;
      }
      ResourceKey key = new ResourceKey(kind, name);
      try (spec) {
        return new Declared(key, readSpec(key, spec), spec.toJson(), version);
      }
    }
  }

  private static String checkedName(String name) {
    return org.marjoramhoist.model.Names.check("name", name);
  }

  private static Object readSpec(ResourceKey key, StrictObject spec) {
    return switch (key.kind()) {
      case UPSTREAM -> SpecParser.upstream(key.name(), spec);
      case TEAM -> SpecParser.team(key.name(), spec);
      case CLASS -> SpecParser.requestClass(key.name(), spec);
    };
  }
}
