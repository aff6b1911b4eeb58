package org.magnolialead.daemon;

import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/**
 * Log manager that keeps its handlers open until the daemon has stopped. The log manager
 * of the JDK closes them in its own shutdown hook, which runs concurrently with that of
 * the daemon, so events of a graceful shutdown would be lost.
 */
public final class ShutdownLogManager extends LogManager {

	private volatile boolean stopped;

	/**
	 * Replaces the handlers of the root logger by one that writes to standard output.
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
