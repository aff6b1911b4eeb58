package org.magnolialead.daemon;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Thread factories of a daemon.
 */
final class DaemonThreads {

	private DaemonThreads() {
	}

	static ThreadFactory named(String prefix) {
		AtomicInteger count = new AtomicInteger();
		return (task) -> {
			Thread thread = new Thread(task, prefix + "-" + count.incrementAndGet());
			thread.setDaemon(true);
			return thread;
		};
	}

}
