package org.magnolialead.ctl.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;

import org.magnolialead.ctl.load.LoadSession.TokenUse;

/**
 * Open-loop load generator. Requests arrive as a Poisson process with a configured mean
 * rate, and a slow response does not delay later requests. Latency is measured from the
 * time at which a request is due.
 */
public final class LoadGenerator {

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	/**
	 * Additional time, after the end of the run and two request timeouts, within which
	 * every request completes. Two timeouts are needed because a write may be sent twice;
	 * the additional time covers connecting and the response grace period of the client.
	 */
	private static final long DRAIN_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

	private final LoadSettings settings;

	/**
	 * Random number generator that is shared by several threads; {@link Random} is
	 * thread-safe.
	 */
	private final RandomGenerator random;

	private final LoadChecks checks = new LoadChecks();

	private final WriteGapTracker gaps = new WriteGapTracker();

	private final AtomicInteger inFlight = new AtomicInteger();

	private final List<MixDriver> drivers = new ArrayList<>();

	/**
	 * Creates a load generator.
	 * @param settings settings of the run
	 */
	public LoadGenerator(LoadSettings settings) {
		this.settings = settings;
		this.random = new Random(settings.seed());
	}

	/**
	 * Runs the load, waits for the last responses and verifies the result.
	 * @return the report
	 */
	public LoadReport run() {
		try (HttpLoadClient client = new HttpLoadClient(this.settings.connections())) {
			client.openIdleConnections(this.settings.addresses(), this.settings.idleConnections());
			String runName = "run" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
			RequestFactory requests = new RequestFactory(this.settings, runName, this.random);
			generate(client, requests, runName);
			int idleOpen = client.countOpenIdleConnections();
			new LoadVerifier(this.settings, client, requests, this.checks).verify();
			return report(idleOpen);
		}
	}

	private void generate(HttpLoadClient client, RequestFactory requests, String runName) {
		long start = System.nanoTime();
		long measureFrom = start + nanoseconds(this.settings.warmUpSeconds());
		long end = start + nanoseconds(this.settings.seconds());
		List<LoadSession> sessions = sessions(runName);
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < this.settings.mixes().size(); i++) {
			LoadMix mix = this.settings.mixes().get(i);
			MixDriver driver = new MixDriver(mix, runName + "-m" + i, this.settings, sessions, client, requests,
					this.checks, this.gaps, this.random, this.inFlight, measureFrom);
			this.drivers.add(driver);
			Thread thread = new Thread(() -> sendAtRate(driver, mix.rate(), start, end), "load-" + mix.profile());
			thread.start();
			threads.add(thread);
		}
		threads.forEach(LoadGenerator::join);
		this.gaps.finish(end);
		long drainDeadline = end + DRAIN_TIMEOUT_NANOSECONDS + TimeUnit.MILLISECONDS
			.toNanos(2 * this.settings.mixes().stream().mapToLong(LoadMix::timeoutMilliseconds).max().orElse(0));
		while (this.inFlight.get() > 0) {
			if (System.nanoTime() - drainDeadline > 0) {
				throw new IllegalStateException(
						this.inFlight.get() + " requests did not complete after their deadlines");
			}
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
		}
	}

	private List<LoadSession> sessions(String runName) {
		int keys = this.settings.mixes().stream().mapToInt(LoadMix::keys).max().orElse(1);
		List<LoadSession> sessions = new ArrayList<>();
		for (int i = 0; i < this.settings.sessions(); i++) {
			TokenUse tokenUse = TokenUse.values()[i % TokenUse.values().length];
			sessions.add(new LoadSession(runName + "-s" + i, tokenUse, keys, this.settings.groups()));
		}
		return sessions;
	}

	private void sendAtRate(MixDriver driver, double rate, long start, long end) {
		long due = start;
		while (due - end < 0) {
			for (long wait = due - System.nanoTime(); wait > 0; wait = due - System.nanoTime()) {
				LockSupport.parkNanos(wait);
			}
			driver.sendNext(due);
			due += Math.max(1, (long) (-Math.log(1 - this.random.nextDouble()) / rate * NANOSECONDS_PER_SECOND));
		}
	}

	private LoadReport report(int idleOpen) {
		double measured = this.settings.seconds() - this.settings.warmUpSeconds();
		long answered = this.drivers.stream().mapToLong((driver) -> driver.statistics().answeredCount()).sum();
		return new LoadReport(measured, answered / measured,
				this.drivers.stream().map((driver) -> driver.statistics().report()).toList(), this.gaps.report(),
				this.settings.idleConnections(), idleOpen, this.checks.report());
	}

	private static long nanoseconds(double seconds) {
		return (long) (seconds * NANOSECONDS_PER_SECOND);
	}

	private static void join(Thread thread) {
		try {
			thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while the load was running", ex);
		}
	}

}
