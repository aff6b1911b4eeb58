package org.magnolialead.ctl.experiment;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Simulation of one group under load. Requests arrive at random entry daemons, which pass
 * them to a handler that serves the group.
 */
final class Simulation {

	private static final int SESSIONS = 2_000;

	/**
	 * Minimum time between an acknowledged write and a browsing read of the same session.
	 */
	private static final long RECENT_WRITE_AGE_NANOSECONDS = 100 * VirtualClock.NANOSECONDS_PER_MILLISECOND;

	/**
	 * Maximum think time between the response to a write and a read of the same session.
	 */
	private static final long MAXIMUM_THINK_NANOSECONDS = 100 * VirtualClock.NANOSECONDS_PER_MILLISECOND;

	/** Share of browsing reads that belong to a session with a recent write. */
	private static final double BROWSING_AFTER_WRITE_SHARE = 0.1;

	private final VirtualClock clock = new VirtualClock();

	private final Random random;

	private final SimulatedGroup group;

	private final Deque<AcknowledgedWrite> recentWrites = new ArrayDeque<>();

	private Consumer<Request> requestHandler = (request) -> {
	};

	private Consumer<PhaseStatistics> phaseListener = (statistics) -> {
	};

	/** Share of requests that arrive at the hot daemons. */
	private double hotDaemonShare;

	private int hotDaemonCount;

	private int firstHotDaemon;

	private int crashedDaemon = -1;

	private double readAfterWriteShare;

	private PhaseStatistics statistics = new PhaseStatistics();

	Simulation(Deployment deployment, long seed, long lagMilliseconds) {
		this.random = new Random(seed);
		this.group = new SimulatedGroup(this.clock, this.random, deployment,
				lagMilliseconds * VirtualClock.NANOSECONDS_PER_MILLISECOND);
	}

	VirtualClock clock() {
		return this.clock;
	}

	SimulatedGroup group() {
		return this.group;
	}

	Random random() {
		return this.random;
	}

	/**
	 * Lets one owner serve the group.
	 * @param owner the owner
	 * @return this simulation
	 */
	Simulation serveWith(SimulatedOwner owner) {
		serveWith((request) -> this.clock.schedule(this.group.deployment().oneWayDelayNanoseconds(),
				() -> owner.submit(request)), owner::recordInto);
		owner.onAcknowledged(this::acknowledged);
		return this;
	}

	void serveWith(Consumer<Request> changed, Consumer<PhaseStatistics> changedPhaseListener) {
		this.requestHandler = changed;
		this.phaseListener = changedPhaseListener;
		changedPhaseListener.accept(this.statistics);
	}

	/**
	 * Directs part of the load to a few hot daemons.
	 * @param daemons number of hot daemons
	 * @param share share of the load, from 0 to 1
	 */
	void skewLoad(int daemons, double share) {
		this.hotDaemonCount = daemons;
		this.hotDaemonShare = share;
	}

	void rotateHotDaemons(long intervalNanoseconds) {
		this.clock.scheduleRepeatedly(intervalNanoseconds,
				() -> this.firstHotDaemon = (this.firstHotDaemon + this.hotDaemonCount) % Deployment.DAEMONS);
	}

	void daemonCrashed(int daemon) {
		this.crashedDaemon = daemon;
	}

	/**
	 * Lets sessions read right after their writes.
	 * @param share share of the writes that are followed by a read, from 0 to 1
	 */
	void readAfterWrite(double share) {
		this.readAfterWriteShare = share;
	}

	PhaseStatistics run(List<RequestClass> load, long milliseconds) {
		this.statistics = new PhaseStatistics();
		this.phaseListener.accept(this.statistics);
		long end = this.clock.now() + milliseconds * VirtualClock.NANOSECONDS_PER_MILLISECOND;
		load.forEach((requestClass) -> scheduleArrivals(requestClass, end));
		this.clock.advance(milliseconds * VirtualClock.NANOSECONDS_PER_MILLISECOND);
		return this.statistics;
	}

	/** Advances the clock until every request has completed or expired. */
	void finish() {
		this.clock.advance(2 * Request.TIMEOUT_NANOSECONDS);
	}

	private void scheduleArrivals(RequestClass requestClass, long end) {
		long waitNanoseconds = (long) (-Math.log(1 - this.random.nextDouble()) * 1_000
				* VirtualClock.NANOSECONDS_PER_MILLISECOND / requestClass.requestsPerSecond());
		if (this.clock.now() + waitNanoseconds - end >= 0) {
			return;
		}
		this.clock.schedule(waitNanoseconds, () -> {
			this.requestHandler.accept(request(requestClass, sessionOf(requestClass), false));
			scheduleArrivals(requestClass, end);
		});
	}

	private Request request(RequestClass requestClass, String session, boolean afterOwnWrite) {
		return new Request(requestClass, session, entryDaemon(), this.clock.now(), this.statistics, afterOwnWrite);
	}

	private String sessionOf(RequestClass requestClass) {
		if (requestClass.profile().freshness().boundsAge()) {
			boolean wrote = this.random.nextDouble() < BROWSING_AFTER_WRITE_SHARE;
			return wrote ? sessionWithRecentWrite() : "";
		}
		return "session-" + this.random.nextInt(SESSIONS);
	}

	private String sessionWithRecentWrite() {
		long latestAcknowledgement = this.clock.now() - RECENT_WRITE_AGE_NANOSECONDS;
		String session = "";
		while (!this.recentWrites.isEmpty() && this.recentWrites.peek().acknowledgedAt() - latestAcknowledgement <= 0) {
			session = this.recentWrites.poll().session();
		}
		if (!session.isEmpty()) {
			this.recentWrites.addFirst(new AcknowledgedWrite(latestAcknowledgement, session));
		}
		return session;
	}

	private int entryDaemon() {
		int daemon = this.random.nextInt(Deployment.DAEMONS);
		if (this.random.nextDouble() < this.hotDaemonShare) {
			daemon = (this.firstHotDaemon + this.random.nextInt(this.hotDaemonCount)) % Deployment.DAEMONS;
		}
		if (daemon == this.crashedDaemon) {
			daemon = (daemon + 1 + this.random.nextInt(Deployment.DAEMONS - 1)) % Deployment.DAEMONS;
		}
		return daemon;
	}

	void acknowledged(Request write) {
		this.recentWrites.add(new AcknowledgedWrite(this.clock.now(), write.session()));
		if (this.random.nextDouble() < this.readAfterWriteShare) {
			long thinkNanoseconds = (long) (this.random.nextDouble() * MAXIMUM_THINK_NANOSECONDS);
			RequestClass readClass = new RequestClass(write.requestClass().profileName(), false, 0);
			this.clock.schedule(thinkNanoseconds,
					() -> this.requestHandler.accept(request(readClass, write.session(), true)));
		}
	}

	private record AcknowledgedWrite(long acknowledgedAt, String session) {
	}

}
