package org.magnolialead.daemon.session;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;

import org.magnolialead.transport.http.HttpHandler;

/**
 * Connections of clients and members in the protocols of a platform.
 */
public interface SessionAdapter extends AutoCloseable {

	/**
	 * Returns the serial executor on which connections are handled.
	 * @return the executor
	 */
	ScheduledExecutorService loop();

	/**
	 * Returns what opens connections to members.
	 * @return the dialer
	 */
	MemberDialer dialer();

	/**
	 * Returns the service that promotes members.
	 * @return the service
	 */
	PromotionService promotions();

	/**
	 * Starts to accept clients.
	 * @param sessions sessions that they are given to
	 */
	void listen(SessionService sessions);

	/**
	 * Returns what answers HTTP requests to this daemon.
	 * @param ready tells whether new clients are welcome
	 * @param fallback answers all requests that the platform does not know
	 * @return the handler
	 */
	HttpHandler statusHandler(BooleanSupplier ready, HttpHandler fallback);

	@Override
	void close();

}
