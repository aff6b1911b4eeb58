package org.magnolialead.daemon;

import org.magnolialead.daemon.settings.DaemonSettings;

/**
 * Running daemon of either role.
 */
interface Daemon {

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
		return switch (settings.role()) {
			case ENTRY -> settings.sessions().isPresent() ? SessionDaemon.start(settings, extension)
					: EntryDaemon.start(settings);
			case CONTROL -> ControlDaemon.start(settings, extension, launchedAt);
		};
	}

}
