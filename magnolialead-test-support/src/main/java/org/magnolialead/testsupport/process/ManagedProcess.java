package org.magnolialead.testsupport.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Child process whose output is written to a log file.
 */
public final class ManagedProcess {

	private static final long POLL_INTERVAL_MILLISECONDS = 20;

	private static final int CONNECT_TIMEOUT_MILLISECONDS = 200;

	private final String name;

	private final List<String> command;

	private final Path logFile;

	private Process process;

	private long logOffset;

	ManagedProcess(String name, List<String> command, Path logFile) {
		this.name = name;
		this.command = List.copyOf(command);
		this.logFile = logFile;
	}

	/**
	 * Starts the process, or restarts it after it has ended. Its output is appended to
	 * the log file.
	 * @throws IllegalStateException if the process is already running
	 * @throws UncheckedIOException if the process cannot be started
	 */
	public synchronized void start() {
		if (isAlive()) {
			throw new IllegalStateException("process " + this.name + " is already running");
		}
		try {
			this.logOffset = Files.exists(this.logFile) ? Files.size(this.logFile) : 0;
			this.process = new ProcessBuilder(this.command).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(this.logFile.toFile()))
				.start();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot start process " + this.name, ex);
		}
	}

	/**
	 * Returns the process identifier.
	 * @return the identifier
	 */
	public synchronized long pid() {
		return this.process.pid();
	}

	/**
	 * Returns whether the process exists, running or frozen.
	 * @return {@code true} from the start until the process has ended
	 */
	public synchronized boolean isAlive() {
		return this.process != null && this.process.isAlive();
	}

	/**
	 * Returns the output since the last start.
	 * @return standard output and standard error
	 * @throws UncheckedIOException if the log file cannot be read
	 */
	public synchronized String output() {
		try {
			byte[] bytes = Files.readAllBytes(this.logFile);
			int start = (int) Math.min(this.logOffset, bytes.length);
			return new String(bytes, start, bytes.length - start, StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot read " + this.logFile, ex);
		}
	}

	/**
	 * Waits until the output since the last start contains a match of a pattern.
	 * @param pattern the pattern
	 * @param deadline deadline of the monotonic clock in nanoseconds
	 * @return the match
	 * @throws IllegalStateException if the process ends or the deadline passes first
	 */
	public Matcher awaitOutput(Pattern pattern, long deadline) {
		return await("output that matches " + pattern, deadline, () -> {
			Matcher matcher = pattern.matcher(output());
			return matcher.find() ? Optional.of(matcher) : Optional.empty();
		});
	}

	/**
	 * Waits until a TCP port accepts connections.
	 * @param host host of the port
	 * @param port the port
	 * @param deadline deadline of the monotonic clock in nanoseconds
	 * @throws IllegalStateException if the process ends or the deadline passes first
	 */
	public void awaitPort(String host, int port, long deadline) {
		await("port " + port, deadline, () -> {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress(host, port), CONNECT_TIMEOUT_MILLISECONDS);
				return Optional.of(port);
			}
			catch (IOException ex) {
				return Optional.empty();
			}
		});
	}

	/**
	 * Requests a graceful shutdown with SIGTERM and waits for the process to end.
	 * @param deadline deadline of the monotonic clock in nanoseconds
	 * @return the exit code, or empty if the process is still running at the deadline
	 */
	public Optional<Integer> terminate(long deadline) {
		Process current = current();
		current.destroy();
		return waitFor(current, deadline);
	}

	/**
	 * Waits until the process ends without being signalled.
	 * @param deadline deadline of the monotonic clock in nanoseconds
	 * @return the exit code, or empty if the process is still running at the deadline
	 */
	public Optional<Integer> awaitExit(long deadline) {
		return waitFor(current(), deadline);
	}

	/**
	 * Kills the process with SIGKILL, like the loss of its VM, and waits up to 10 s for
	 * it to end.
	 */
	public void kill() {
		Process current = current();
		if (current != null) {
			current.destroyForcibly();
			waitFor(current, System.nanoTime() + TimeUnit.SECONDS.toNanos(10));
		}
	}

	/**
	 * Freezes the process with SIGSTOP.
	 * @throws IllegalStateException if the process is not running
	 */
	public void freeze() {
		sendSignal("-STOP");
	}

	/**
	 * Resumes a frozen process with SIGCONT.
	 * @throws IllegalStateException if the process is not running
	 */
	public void resume() {
		sendSignal("-CONT");
	}

	private synchronized Process current() {
		return this.process;
	}

	private synchronized void sendSignal(String signal) {
		if (!isAlive()) {
			throw new IllegalStateException("process " + this.name + " is not running");
		}
		try {
			int exitCode = new ProcessBuilder("kill", signal, Long.toString(pid())).start().waitFor();
			if (exitCode != 0) {
				throw new IllegalStateException("cannot send %s to process %s".formatted(signal, this.name));
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot send a signal to process " + this.name, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while sending a signal", ex);
		}
	}

	private <T> T await(String expectation, long deadline, Supplier<Optional<T>> condition) {
		while (true) {
			boolean alive = isAlive();
			Optional<T> result = condition.get();
			if (result.isPresent()) {
				return result.get();
			}
			if (!alive || System.nanoTime() - deadline > 0) {
				throw new IllegalStateException("process %s %s without %s; its output is:%n%s".formatted(this.name,
						alive ? "reached the deadline" : "ended", expectation, output()));
			}
			sleepPollInterval();
		}
	}

	private static Optional<Integer> waitFor(Process process, long deadline) {
		try {
			boolean ended = process.waitFor(Math.max(0, deadline - System.nanoTime()), TimeUnit.NANOSECONDS);
			return ended ? Optional.of(process.exitValue()) : Optional.empty();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Optional.empty();
		}
	}

	private static void sleepPollInterval() {
		try {
			Thread.sleep(POLL_INTERVAL_MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while waiting for a process", ex);
		}
	}

}
