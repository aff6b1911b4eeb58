package org.magnolialead.daemon.session;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoopGroup;
import org.magnolialead.transport.http.HttpHandler;

/**
 * Connections to clients and members in the protocols of a platform.
 */
public interface SessionAdapter extends AutoCloseable {

	/**
	 * Returns the event loop group with the only event loop, which is the serial executor
	 * of all connections of the daemon.
	 * @return the event loop group
	 */
	EventLoopGroup eventLoops();

	/**
	 * Returns the serial executor on which connections are handled.
	 * @return the executor
	 */
	default ScheduledExecutorService loop() {
		return eventLoops().next();
	}

	/**
	 * Returns the dialer that opens connections to members.
	 * @return the dialer
	 */
	MemberDialer dialer();

	/**
	 * Returns the service that promotes members.
	 * @return the service
	 */
	PromotionService promotions();

	/**
	 * Starts to accept client connections.
	 * @param sessions service that opens their sessions
	 */
	void listen(SessionService sessions);

	/**
	 * Returns the handler of HTTP requests to this daemon.
	 * @param ready tells whether this daemon accepts new clients
	 * @param fallback handles all requests that the platform does not define
	 * @return the handler
	 */
	HttpHandler statusHandler(BooleanSupplier ready, HttpHandler fallback);

	@Override
	void close();

}
