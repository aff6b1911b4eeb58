package org.magnolialead.daemon;

import org.magnolialead.daemon.session.SessionAdapter;
import org.magnolialead.daemon.settings.DaemonSettings;
import org.magnolialead.transport.http.HttpHandler;

/**
 * What adapts a daemon to a platform: interfaces of the platform towards control daemons,
 * and connections of clients and members.
 */
public interface DaemonExtension {

	/**
	 * Daemon without an extension.
	 */
	DaemonExtension NONE = new DaemonExtension() {

		@Override
		public HttpHandler controlHandler(ControlOperations operations, DaemonSettings settings, HttpHandler fallback) {
			return fallback;
		}

		@Override
		public SessionAdapter sessionAdapter(DaemonSettings settings) {
			throw new IllegalStateException("sessions need a platform adapter");
		}

	};

	/**
	 * Returns what answers HTTP requests to a control daemon.
	 * @param operations operations on the replicated state
	 * @param settings settings of the daemon
	 * @param fallback answers all requests that the platform does not know
	 * @return the handler
	 */
	HttpHandler controlHandler(ControlOperations operations, DaemonSettings settings, HttpHandler fallback);

	/**
	 * Returns the connections of clients and members.
	 * @param settings settings of the daemon
	 * @return the adapter, which the daemon closes
	 */
	SessionAdapter sessionAdapter(DaemonSettings settings);

}
