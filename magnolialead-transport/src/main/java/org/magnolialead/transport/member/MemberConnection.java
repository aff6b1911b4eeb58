package org.magnolialead.transport.member;

import java.util.concurrent.CompletableFuture;

/**
 * Connection to a database member that carries one exchange at a time.
 */
public interface MemberConnection {

	/**
	 * Sends a request and waits for its answer.
	 * @param call the request
	 * @param deadline time of the monotonic clock at which the exchange fails
	 * @return the answer. Fails with a {@link org.magnolialead.api.MagnolialeadException}
	 * and closes the connection: code {@code UNREACHABLE}, step {@code CONNECT} if the
	 * request surely never left, code {@code NO_ANSWER}, step {@code EXECUTE} otherwise,
	 * also if the answer belongs to another request or is damaged
	 * @throws IllegalStateException if another exchange is in progress
	 */
	CompletableFuture<MemberResponse> exchange(MemberRequest call, long deadline);

	/**
	 * Tells whether the connection may be used for another exchange.
	 * @return {@code true} until it is closed by either side
	 */
	boolean isOpen();

	/**
	 * Closes the connection; an exchange in progress fails.
	 */
	void close();

	/**
	 * Returns when the connection is closed by either side.
	 * @return completes after closing
	 */
	CompletableFuture<Void> closed();

	/**
	 * Returns the address of the member.
	 * @return the address in the form {@code host:port}
	 */
	String address();

}
