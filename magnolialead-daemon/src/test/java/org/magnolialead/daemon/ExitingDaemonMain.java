package org.magnolialead.daemon;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;

/**
 * Starts a daemon and ends the process with a status once the daemon runs.
 */
public final class ExitingDaemonMain {

	private static final long POLL_INTERVAL_MILLISECONDS = 10;

	private ExitingDaemonMain() {
	}

	/**
	 * Runs the daemon.
	 * @param arguments the settings file and the exit status
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		Thread launcher = new Thread(() -> MagnolialeadMain.launch(Path.of(arguments[0]), DaemonExtension.NONE));
		launcher.setDaemon(true);
		launcher.start();
		while (launcher.isAlive() && !runs(launcher)) {
			Thread.sleep(POLL_INTERVAL_MILLISECONDS);
		}
		MagnolialeadMain.exit(Integer.parseInt(arguments[1]));
	}

	// A running daemon waits for the end of the process. Its start creates latches too,
	// so
	// only the wait of the main class itself counts.
	private static boolean runs(Thread launcher) {
		StackTraceElement[] trace = launcher.getStackTrace();
		return IntStream.range(1, trace.length)
			.anyMatch((index) -> trace[index].getClassName().equals(MagnolialeadMain.class.getName())
					&& isAwait(trace[index - 1]));
	}

	private static boolean isAwait(StackTraceElement frame) {
		return frame.getClassName().equals(CountDownLatch.class.getName()) && frame.getMethodName().equals("await");
	}

}
