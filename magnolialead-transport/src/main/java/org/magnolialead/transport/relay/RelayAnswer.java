package org.magnolialead.transport.relay;

/**
 * Answer to a {@link RelayRequest}.
 *
 * @param connected whether the connection to the member is open
 */
record RelayAnswer(boolean connected) {
}
