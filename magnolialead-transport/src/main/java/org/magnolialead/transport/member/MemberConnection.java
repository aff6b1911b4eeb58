package org.magnolialead.transport.member;

import java.util.concurrent.CompletableFuture;

/**
 * Connection to a database member that processes one request at a time.
 */
public interface MemberConnection {

	/**
	 * Sends a request and returns the future response.
	 * @param request the request
	 * @param deadline deadline of the exchange in nanoseconds of the monotonic clock
	 * @return a future of the response. On failure, it closes the connection and
	 * completes with a {@link org.magnolialead.api.MagnolialeadException}: code
	 * {@code UNREACHABLE}, step {@code CONNECT} if the request was certainly not sent;
	 * code {@code NO_ANSWER}, step {@code EXECUTE} otherwise, including responses that
	 * are malformed or belong to another request
	 * @throws IllegalStateException if another exchange is in progress
	 */
	CompletableFuture<MemberResponse> exchange(MemberRequest request, long deadline);

	/**
	 * Returns whether the connection can be used for another exchange.
	 * @return {@code true} until either side closes the connection
	 */
	boolean isOpen();

	/**
	 * Closes the connection. An exchange in progress fails.
	 */
	void close();

	/**
	 * Returns a future that completes when either side has closed the connection.
	 * @return the future
	 */
	CompletableFuture<Void> closed();

	/**
	 * Returns the address of the member.
	 * @return the address in the form {@code host:port}
	 */
	String address();

}
