package org.magnolialead.daemon;

import org.magnolialead.api.MonotonicClock;
import org.magnolialead.daemon.settings.DaemonRole;
import org.magnolialead.daemon.settings.DaemonSettings;

/**
 * A daemon process in one of its roles.
 */
interface Daemon {

	/**
	 * Opens the listening sockets and starts background work.
	 * @throws org.magnolialead.api.MagnolialeadException if it cannot start
	 */
	void open();

	/**
	 * Stops all work immediately and releases resources. May be called after
	 * {@link #open()} has failed.
	 */
	void close();

	/**
	 * Shuts down gracefully: completes requests in progress, up to a time limit, and
	 * closes the daemon.
	 */
	void shutDown();

	/**
	 * Starts a daemon in the role that its settings name.
	 * @param settings validated settings
	 * @param extension adapts the daemon to a platform
	 * @param launchedAt monotonic time in nanoseconds at which this process was launched;
	 * any earlier process of the same daemon ended before it
	 * @return the running daemon
	 * @throws org.magnolialead.api.MagnolialeadException if it cannot start
	 */
	static Daemon start(DaemonSettings settings, DaemonExtension extension, long launchedAt) {
		settings.sessions()
			.flatMap(DaemonSettings.SessionSettings::startAfter)
			.ifPresent((address) -> StartOrder.await(address, MonotonicClock.SYSTEM));
		Daemon daemon = create(settings, extension, launchedAt);
		try {
			daemon.open();
			return daemon;
		}
		catch (RuntimeException ex) {
			daemon.close();
			throw ex;
		}
	}

	private static Daemon create(DaemonSettings settings, DaemonExtension extension, long launchedAt) {
		if (settings.role() == DaemonRole.CONTROL) {
			return new ControlDaemon(settings, extension, launchedAt);
		}
		return settings.sessions().isPresent() ? new SessionDaemon(settings, extension) : new EntryDaemon(settings);
	}

}
