package org.magnolialead.transport.relay;

/**
 * Answer to a {@link RelayRequest}.
 *
 * @param connected whether the relay is connected to the member
 */
record RelayAnswer(boolean connected) {
}
