package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.MemberDescription;
import org.magnolialead.engine.session.PrimaryHealth;

/**
 * Connections of this daemon to one database member.
 */
final class MemberPool {

	/** Weight of the latest measure in smoothed times: one eighth. */
	private static final int SMOOTHING = 8;

	private static final long INITIAL_SERVICE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(10);

	/** Wait after a first failed attempt to connect; doubles with each further one. */
	private static final long FIRST_DIAL_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(50);

	private static final int MAXIMUM_DIAL_DOUBLINGS = 4;

	/** Wait for a permanent connection after the member refused one for its limit. */
	private static final long LIMIT_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

	/** Wait for a further connection after the member refused one for its limit. */
	private static final long EXTRA_LIMIT_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

	/** Time after which a connection beyond the fair share is closed if unused. */
	private static final long EXTRA_IDLE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(300);

	/**
	 * Time after the first view in which only permanent connections are opened. When a
	 * whole fleet starts, all daemons find a connection before any takes a second one.
	 */
	private static final long START_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	private final GroupRouter router;

	private final MemberDialer dialer;

	private final PrimaryHealth health = new PrimaryHealth();

	private final List<PooledConnection> connections = new ArrayList<>();

	private MemberDescription member;

	private int fairShare = 1;

	private int maximum = 1;

	private int dialing;

	private int dialFailures;

	private long nextDialAt;

	private long nextExtraDialAt;

	private long behindUntil;

	private long serviceNanoseconds = INITIAL_SERVICE_NANOSECONDS;

	private boolean closed;

	MemberPool(GroupRouter router, MemberDialer dialer, MemberDescription member, long now) {
		this.router = router;
		this.dialer = dialer;
		this.member = member;
		this.nextDialAt = now;
		this.nextExtraDialAt = now + START_NANOSECONDS;
		this.behindUntil = now;
	}

	MemberDescription member() {
		return this.member;
	}

	PrimaryHealth health() {
		return this.health;
	}

	long now() {
		return this.router.now();
	}

	long serviceNanoseconds() {
		return this.serviceNanoseconds;
	}

	int connectionCount() {
		return this.connections.size();
	}

	/**
	 * Applies the present description of the member.
	 * @param description the description
	 * @param share number of connections that are this daemon's fair share
	 * @param limit greatest number of connections of this daemon
	 */
	void update(MemberDescription description, int share, int limit) {
		this.member = description;
		this.fairShare = share;
		this.maximum = limit;
	}

	/**
	 * Tells whether the member may get new work.
	 * @return {@code false} once it is leaving
	 */
	boolean isUsable() {
		return !this.member.leaving() && !this.closed;
	}

	boolean isBehind(long now) {
		return now - this.behindUntil < 0;
	}

	void behindUntil(long time) {
		this.behindUntil = time;
	}

	boolean hasConnection() {
		return this.connections.stream().anyMatch((connection) -> connection.isTaken() || connection.isFree());
	}

	/**
	 * Returns the free connection that needs the fewest steps to serve a session.
	 * @param values values of the session
	 * @return the connection, not yet taken
	 */
	Optional<PooledConnection> free(Map<String, String> values) {
		return this.connections.stream()
			.filter(PooledConnection::isFree)
			.min(Comparator.comparingInt((connection) -> connection.distance(values)));
	}

	/**
	 * Opens a connection if fewer than the fair share are open.
	 */
	void dialShare() {
		if (this.connections.size() + this.dialing < this.fairShare) {
			dial(this.nextDialAt);
		}
	}

	/**
	 * Opens a further connection because work is waiting.
	 */
	void dialForWaiting() {
		int total = this.connections.size() + this.dialing;
		if (total < this.fairShare) {
			dial(this.nextDialAt);
		}
		else if (total < this.maximum && this.dialing == 0) {
			dial(this.nextExtraDialAt);
		}
	}

	private void dial(long notBefore) {
		if (this.closed || now() - notBefore < 0) {
			return;
		}
		this.dialing++;
		asked();
		PooledConnection connection = new PooledConnection(this);
		this.dialer.dial(this.member, (result) -> dialed(connection, result), () -> discarded(connection));
	}

	private void dialed(PooledConnection connection, MemberDialer.DialResult result) {
		this.dialing--;
		if (result.channel() != null) {
			connected(connection, result.channel());
			return;
		}
		if (result.error() == StatementError.TOO_MANY_CONNECTIONS) {
			this.health.answered();
			this.nextExtraDialAt = now() + EXTRA_LIMIT_DELAY_NANOSECONDS;
			this.nextDialAt = now() + LIMIT_DELAY_NANOSECONDS;
			return;
		}
		this.health.failed();
		int doublings = Math.min(this.dialFailures, MAXIMUM_DIAL_DOUBLINGS);
		this.dialFailures++;
		this.nextDialAt = now() + (FIRST_DIAL_DELAY_NANOSECONDS << doublings);
		this.nextExtraDialAt = this.nextDialAt;
		this.router.dialFailed(this, result.error());
	}

	private void connected(PooledConnection connection, MemberChannel channel) {
		if (this.closed) {
			channel.close();
			return;
		}
		this.health.answered();
		this.dialFailures = 0;
		connection.opened(channel, now());
		this.connections.add(connection);
		this.router.pump();
	}

	void released(PooledConnection connection, long busyNanoseconds) {
		this.serviceNanoseconds += (busyNanoseconds - this.serviceNanoseconds) / SMOOTHING;
		if (this.closed) {
			connection.discard();
			return;
		}
		this.router.pump();
	}

	void discarded(PooledConnection connection) {
		if (this.connections.remove(connection)) {
			this.router.pump();
		}
	}

	/**
	 * Closes connections beyond the fair share that were not needed for a while.
	 */
	void closeUnused() {
		long now = now();
		while (this.connections.size() > this.fairShare) {
			Optional<PooledConnection> unused = this.connections.stream()
				.filter((connection) -> connection.isFree() && now - connection.returnedAt() > EXTRA_IDLE_NANOSECONDS)
				.findFirst();
			if (unused.isEmpty()) {
				return;
			}
			unused.get().discard();
		}
	}

	/**
	 * Ends the use of the member. Connections in use are closed once they are returned.
	 */
	void close() {
		this.closed = true;
		List.copyOf(this.connections).stream().filter(PooledConnection::isFree).forEach(PooledConnection::discard);
	}

	void asked() {
		this.health.asked(now());
	}

	void replied(StatementReply reply) {
		if (reply.error() == StatementError.CONNECTION_LOST) {
			this.health.failed();
		}
		else {
			this.health.answered();
		}
	}

}
