package org.magnolialead.daemon.session;

import java.util.concurrent.CompletableFuture;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;

/**
 * Sends messages to other entry daemons.
 */
public interface ForwardingLink {

	/**
	 * Link that reaches no daemon.
	 */
	ForwardingLink NONE = new ForwardingLink() {

		@Override
		public CompletableFuture<Object> request(String address, Object message, long deadline) {
			return CompletableFuture.failedFuture(
					new MagnolialeadException(ErrorCode.UNREACHABLE, Step.FORWARD, address, "there is no link"));
		}

		@Override
		public void send(String address, Object message) {
			// Without a link no transaction was forwarded.
		}

	};

	/**
	 * Sends a request.
	 * @param address peer address of the daemon
	 * @param message the request
	 * @param deadline deadline of the request in nanoseconds
	 * @return a future of the answer. It fails with a {@link MagnolialeadException} whose
	 * code tells whether the request may have been handled
	 */
	CompletableFuture<Object> request(String address, Object message, long deadline);

	/**
	 * Sends a message to which no answer is expected. Messages to one daemon arrive in
	 * order; a message is lost with its connection.
	 * @param address peer address of the daemon
	 * @param message the message
	 */
	void send(String address, Object message);

}
