package org.magnolialead.transport.member;

import java.util.concurrent.CompletableFuture;

/**
 * Opens connections for a {@link ConnectionPool}.
 */
@FunctionalInterface
public interface ConnectionOpener {

	/**
	 * Opens a connection.
	 * @param address address of the member in the form {@code host:port}
	 * @param deadline time of the monotonic clock at which the attempt fails
	 * @return the connection
	 */
	CompletableFuture<MemberConnection> connect(String address, long deadline);

}
