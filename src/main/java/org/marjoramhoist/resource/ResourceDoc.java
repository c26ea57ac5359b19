package org.marjoramhoist.resource;

/**
 * A resource in the form in which it is stored and passed on.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param key {@code kind/name}
 * @param version the store revision of its last change; 0 if it is not stored yet
 * @param json the specification as JSON without comments
 */
public record ResourceDoc(String key, long version, String json) {}
