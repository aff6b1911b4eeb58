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
	 * Returns whether a message is handled before messages that wait for the executor.
	 * The handling of an urgent message must not block, because it runs on the event loop
	 * of the connection.
	 * @param message the message
	 * @return {@code true} if it must not wait behind others
	 */
	default boolean isUrgent(Object message) {
		return false;
	}

	/**
	 * Releases what the handler keeps for its connection after the connection was lost.
	 * Called on the executor of the server, only if each connection has its own handler.
	 */
	default void connectionClosed() {
	}

}
