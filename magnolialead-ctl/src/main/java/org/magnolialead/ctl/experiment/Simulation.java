package org.magnolialead.ctl.experiment;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * One group under load: requests arrive at random entry daemons and are passed on to
 * whatever serves the group.
 */
final class Simulation {

	private static final int SESSIONS = 2_000;

	/** Age of the write of a session that browses right after it. */
	private static final long WRITE_AGE_NANOSECONDS = 100 * VirtualTime.MILLISECOND;

	/** Longest time from the answer to a write to a read of the same session. */
	private static final long THINK_NANOSECONDS = 100 * VirtualTime.MILLISECOND;

	/** Share of browsing reads whose session wrote about 100 ms before. */
	private static final double BROWSING_AFTER_WRITE = 0.1;

	private final VirtualTime time = new VirtualTime();

	private final Random random;

	private final SimulatedGroup group;

	private final Deque<Acknowledged> recentWrites = new ArrayDeque<>();

	private Consumer<Request> target = (request) -> {
	};

	private Consumer<Tally> phaseListener = (tally) -> {
	};

	/** Share of requests that arrive at few daemons. */
	private double favouredShare;

	private int favoured;

	private int firstFavoured;

	private int deadDaemon = -1;

	private double readsAfterWrite;

	private Tally tally = new Tally();

	Simulation(Deployment deployment, long seed, long lagMilliseconds) {
		this.random = new Random(seed);
		this.group = new SimulatedGroup(this.time, this.random, deployment, lagMilliseconds * VirtualTime.MILLISECOND);
	}

	VirtualTime time() {
		return this.time;
	}

	SimulatedGroup group() {
		return this.group;
	}

	Random random() {
		return this.random;
	}

	/**
	 * Serves the group by one owner.
	 * @param owner the owner
	 * @return this simulation
	 */
	Simulation servedBy(SimulatedOwner owner) {
		target((request) -> this.time.after(this.group.deployment().hopNanoseconds(), () -> owner.submit(request)),
				owner::tally);
		owner.acknowledged(this::acknowledged);
		return this;
	}

	void target(Consumer<Request> changed, Consumer<Tally> changedPhaseListener) {
		this.target = changed;
		this.phaseListener = changedPhaseListener;
		changedPhaseListener.accept(this.tally);
	}

	/**
	 * Lets part of the load arrive at few daemons.
	 * @param daemons number of daemons
	 * @param share part of the load from 0 to 1
	 */
	void skew(int daemons, double share) {
		this.favoured = daemons;
		this.favouredShare = share;
	}

	void moveSkewEvery(long nanoseconds) {
		this.time.every(nanoseconds,
				() -> this.firstFavoured = (this.firstFavoured + this.favoured) % Deployment.DAEMONS);
	}

	void daemonDied(int daemon) {
		this.deadDaemon = daemon;
	}

	/**
	 * Lets sessions read right after their writes.
	 * @param share part of the writes that are followed by a read
	 */
	void readAfterWrite(double share) {
		this.readsAfterWrite = share;
	}

	Tally run(List<RequestClass> load, long milliseconds) {
		this.tally = new Tally();
		this.phaseListener.accept(this.tally);
		long end = this.time.now() + milliseconds * VirtualTime.MILLISECOND;
		load.forEach((requestClass) -> arrive(requestClass, end));
		this.time.run(milliseconds * VirtualTime.MILLISECOND);
		return this.tally;
	}

	/** Waits for the outcome of all requests. */
	void finish() {
		this.time.run(2 * Request.TIMEOUT_NANOSECONDS);
	}

	private void arrive(RequestClass requestClass, long end) {
		long wait = (long) (-Math.log(1 - this.random.nextDouble()) * 1_000 * VirtualTime.MILLISECOND
				/ requestClass.perSecond());
		if (this.time.now() + wait - end >= 0) {
			return;
		}
		this.time.after(wait, () -> {
			this.target.accept(request(requestClass, sessionOf(requestClass), false));
			arrive(requestClass, end);
		});
	}

	private Request request(RequestClass requestClass, String session, boolean afterOwnWrite) {
		return new Request(requestClass, session, entryDaemon(), this.time.now(), this.tally, afterOwnWrite);
	}

	private String sessionOf(RequestClass requestClass) {
		if (requestClass.profile().freshness().boundsAge()) {
			boolean wrote = this.random.nextDouble() < BROWSING_AFTER_WRITE;
			return wrote ? sessionThatWrote() : "";
		}
		return "session-" + this.random.nextInt(SESSIONS);
	}

	private String sessionThatWrote() {
		long limit = this.time.now() - WRITE_AGE_NANOSECONDS;
		String session = "";
		while (!this.recentWrites.isEmpty() && this.recentWrites.peek().at() - limit <= 0) {
			session = this.recentWrites.poll().session();
		}
		if (!session.isEmpty()) {
			this.recentWrites.addFirst(new Acknowledged(limit, session));
		}
		return session;
	}

	private int entryDaemon() {
		int daemon = this.random.nextInt(Deployment.DAEMONS);
		if (this.random.nextDouble() < this.favouredShare) {
			daemon = (this.firstFavoured + this.random.nextInt(this.favoured)) % Deployment.DAEMONS;
		}
		if (daemon == this.deadDaemon) {
			daemon = (daemon + 1 + this.random.nextInt(Deployment.DAEMONS - 1)) % Deployment.DAEMONS;
		}
		return daemon;
	}

	void acknowledged(Request write) {
		this.recentWrites.add(new Acknowledged(this.time.now(), write.session()));
		if (this.random.nextDouble() < this.readsAfterWrite) {
			long think = (long) (this.random.nextDouble() * THINK_NANOSECONDS);
			RequestClass reads = new RequestClass(write.requestClass().profileName(), false, 0);
			this.time.after(think, () -> this.target.accept(request(reads, write.session(), true)));
		}
	}

	private record Acknowledged(long at, String session) {
	}

}
