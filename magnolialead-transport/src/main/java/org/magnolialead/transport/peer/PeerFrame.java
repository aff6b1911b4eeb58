package org.magnolialead.transport.peer;

import java.util.Objects;

import org.magnolialead.api.message.MessageKind;

/**
 * Decoded frame of the peer protocol.
 *
 * @param kind kind of the message
 * @param correlationId number that an answer repeats; 0 for a message without an answer
 * @param message the message
 */
public record PeerFrame(MessageKind kind, long correlationId, Object message) {

	public PeerFrame {
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(message, "message must not be null");
	}

}
