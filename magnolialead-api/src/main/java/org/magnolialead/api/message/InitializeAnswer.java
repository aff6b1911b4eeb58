package org.magnolialead.api.message;

/**
 * Answer to the request to start a new cluster.
 *
 * @param accepted whether a new cluster was started
 * @param message reason for the refusal, or an empty string
 */
public record InitializeAnswer(boolean accepted, String message) {
}
