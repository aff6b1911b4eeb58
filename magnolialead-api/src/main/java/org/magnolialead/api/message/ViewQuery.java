package org.magnolialead.api.message;

/**
 * Asks a control daemon for the complete fleet view and for its own state; used by
 * operators.
 */
public record ViewQuery() {
}
