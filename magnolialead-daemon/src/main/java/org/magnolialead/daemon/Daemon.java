package org.magnolialead.daemon;

import org.magnolialead.api.MonotonicClock;
import org.magnolialead.daemon.settings.DaemonRole;
import org.magnolialead.daemon.settings.DaemonSettings;

/**
 * Running daemon of either role.
 */
interface Daemon {

	/**
	 * Starts to listen and to work.
	 * @throws org.magnolialead.api.MagnolialeadException if it cannot start
	 */
	void open();

	/**
	 * Ends all work at once, also after a start that failed halfway.
	 */
	void close();

	/**
	 * Finishes the requests in progress and stops.
	 */
	void shutDown();

	/**
	 * Starts a daemon in the role of its settings.
	 * @param settings checked settings
	 * @param extension adapts the daemon to a platform
	 * @param launchedAt monotonic time in nanoseconds at which this process was launched;
	 * an earlier process of the same daemon has ended before
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
