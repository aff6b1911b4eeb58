package org.magnolialead.transport.peer;

import java.util.Objects;

import org.magnolialead.api.message.MessageKind;

/**
 * Decoded frame of the peer protocol.
 *
 * @param kind kind of the message
 * @param correlationId identifier that the answer repeats, or 0 if no answer is expected
 * @param message the message
 */
public record PeerFrame(MessageKind kind, long correlationId, Object message) {

	public PeerFrame {
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(message, "message must not be null");
	}

}
