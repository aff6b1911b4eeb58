package org.magnolialead.daemon;

import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/**
 * Log manager that keeps its handlers until the daemon has stopped. The log manager of
 * the JDK closes them in a shutdown hook of its own, which runs beside the one of the
 * daemon, so that the events of a graceful shutdown were lost.
 */
public final class ShutdownLogManager extends LogManager {

	private volatile boolean stopped;

	/**
	 * Sends all log lines to standard output.
	 */
	static void useStandardOutput() {
		Logger root = LogManager.getLogManager().getLogger("");
		for (Handler handler : root.getHandlers()) {
			root.removeHandler(handler);
		}
		root.addHandler(new StandardOutputHandler());
	}

	/**
	 * Closes the handlers of the installed log manager.
	 */
	static void close() {
		if (LogManager.getLogManager() instanceof ShutdownLogManager manager) {
			manager.stopped = true;
			manager.reset();
		}
	}

	@Override
	public void reset() {
		if (this.stopped) {
			super.reset();
		}
	}

}
