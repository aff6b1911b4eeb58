package org.magnolialead.transport.peer;

import java.util.concurrent.CompletableFuture;

/**
 * Handles messages of other magnolialead processes.
 */
@FunctionalInterface
public interface PeerHandler {

	/**
	 * Handles a message. Called on the executor of the server.
	 * @param message the message, of a type listed in
	 * {@link org.magnolialead.api.message.MessageKind}
	 * @return a future of the answer; no answer is sent if the future or its result is
	 * {@code null}. A failure is sent as an
	 * {@link org.magnolialead.api.message.ErrorAnswer}
	 */
	CompletableFuture<Object> handle(Object message);

	/**
	 * Releases what the handler keeps for its connection after the connection was lost.
	 * Called on the executor of the server, only if each connection has its own handler.
	 */
	default void connectionClosed() {
	}

}
