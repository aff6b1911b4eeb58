package org.magnolialead.transport.member;

import java.util.concurrent.CompletableFuture;

/**
 * Opens connections for a {@link ConnectionPool}.
 */
@FunctionalInterface
public interface ConnectionOpener {

	/**
	 * Opens a connection asynchronously.
	 * @param address address of the member in the form {@code host:port}
	 * @param deadline deadline of the attempt in nanoseconds of the monotonic clock
	 * @return a future of the connection that fails if it cannot be opened
	 */
	CompletableFuture<MemberConnection> connect(String address, long deadline);

}
