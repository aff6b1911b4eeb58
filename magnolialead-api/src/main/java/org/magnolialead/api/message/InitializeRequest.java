package org.magnolialead.api.message;

/**
 * Asks a control daemon to start a new cluster with the control peers from its settings.
 */
public record InitializeRequest() {
}
