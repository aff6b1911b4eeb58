package org.magnolialead.daemon;

import org.magnolialead.daemon.session.SessionAdapter;
import org.magnolialead.daemon.settings.DaemonSettings;
import org.magnolialead.transport.http.HttpHandler;

/**
 * Adapts a daemon to a platform. It supplies the HTTP interface of control daemons and
 * the connections of clients and database members.
 */
public interface DaemonExtension {

	/**
	 * Extension that adds nothing.
	 */
	DaemonExtension NONE = new DaemonExtension() {

		@Override
		public HttpHandler controlHandler(ControlOperations operations, DaemonSettings settings, HttpHandler fallback) {
			return fallback;
		}

		@Override
		public SessionAdapter sessionAdapter(DaemonSettings settings) {
			throw new IllegalStateException("serving sessions requires a platform extension");
		}

	};

	/**
	 * Returns the handler for HTTP requests to a control daemon.
	 * @param operations operations on the replicated state
	 * @param settings settings of the daemon
	 * @param fallback handler for all requests that the platform does not define
	 * @return the handler
	 */
	HttpHandler controlHandler(ControlOperations operations, DaemonSettings settings, HttpHandler fallback);

	/**
	 * Returns the adapter for connections of clients and database members.
	 * @param settings settings of the daemon
	 * @return the adapter; closed by the daemon
	 */
	SessionAdapter sessionAdapter(DaemonSettings settings);

}
