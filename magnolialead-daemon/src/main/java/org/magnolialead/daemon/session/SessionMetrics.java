package org.magnolialead.daemon.session;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.engine.queue.QueueRefusal;

/**
 * Counters and latencies of statements, and gauges of sessions, queued requests and
 * connections. The gauges are updated on the serial executor and may be read on any
 * thread.
 */
public final class SessionMetrics {

	private static final String DONE = "DONE";

	private final MetricRegistry registry = new MetricRegistry();

	private volatile int sessions;

	private volatile int forwardedSessions;

	private volatile long heldBytes;

	private volatile int waiting;

	private volatile int connections;

	private volatile int relayed;

	private volatile int withoutPrimary;

	private final MemberLoadMetrics memberLoads;

	SessionMetrics() {
		this.memberLoads = new MemberLoadMetrics(this.registry);
		gauge("sessions.open", () -> this.sessions);
		gauge("sessions.forwarded-here", () -> this.forwardedSessions);
		gauge("sessions.held-bytes", () -> this.heldBytes);
		gauge("statements.waiting", () -> this.waiting);
		gauge("connections.open", () -> this.connections);
		gauge("connections.relayed", () -> this.relayed);
		gauge("groups.without-primary", () -> this.withoutPrimary);
	}

	private <T extends Number> void gauge(String name, Gauge<T> gauge) {
		this.registry.registerGauge(name, gauge);
	}

	/**
	 * Returns the registry with all metrics.
	 * @return the registry
	 */
	public MetricRegistry registry() {
		return this.registry;
	}

	/**
	 * Counts an answered statement as {@code statements.<priority>.<outcome>} and records
	 * its latency as {@code latency.<priority>.<outcome>}, where the outcome is the name
	 * of the error or {@code DONE}.
	 * @param priority priority of its route, 0 for the most urgent
	 * @param error error in the answer to the client, or {@code null} if the statement
	 * succeeded
	 * @param nanoseconds time in nanoseconds from its arrival to the answer
	 */
	void statementAnswered(int priority, StatementError error, long nanoseconds) {
		String suffix = priority + "." + ((error != null) ? error.name() : DONE);
		this.registry.counter("statements." + suffix).inc();
		this.registry.timer("latency." + suffix).update(nanoseconds, TimeUnit.NANOSECONDS);
	}

	/**
	 * Counts a request for a member connection that was refused as
	 * {@code requests.refused.<reason>}.
	 * @param reason the reason
	 */
	void requestRefused(QueueRefusal reason) {
		this.registry.counter("requests.refused." + reason.metricName()).inc();
	}

	/**
	 * Counts the end of an alignment of a connection with a session whose answers were
	 * awaited, and its round trips.
	 * @param aligned whether the connection is aligned
	 * @param roundTrips number of round trips to the member
	 */
	void alignmentFinished(boolean aligned, int roundTrips) {
		this.registry.counter(aligned ? "alignments.done" : "alignments.failed").inc();
		this.registry.counter("alignments.round-trips").inc(roundTrips);
	}

	/**
	 * Counts a session that was refused because its key belongs to no client account.
	 */
	void sessionNotAuthorized() {
		this.registry.counter("sessions.not-authorized").inc();
	}

	/**
	 * Counts a member connection that was opened.
	 */
	void connectionOpened() {
		this.registry.counter("connections.opened").inc();
	}

	/**
	 * Counts an idle member connection that was closed to open one for another client
	 * account.
	 */
	void connectionEvicted() {
		this.registry.counter("connections.evicted").inc();
	}

	/**
	 * Counts a reply that a member has sent before on the same connection.
	 */
	void replyRepeated() {
		this.registry.counter("replies.repeated").inc();
	}

	/**
	 * Counts a reply that belongs to no command, whose connection is closed.
	 */
	void replyRefused() {
		this.registry.counter("replies.refused").inc();
	}

	/**
	 * Counts a command that is sent only to find out to which command a reply belongs.
	 */
	void probeSent() {
		this.registry.counter("replies.probes").inc();
	}

	void update(int openSessions, int openForwardedSessions, long bytesHeldBySessions, Iterable<GroupRouter> routers) {
		int waitingCount = 0;
		int connectionCount = 0;
		int relayedCount = 0;
		int withoutPrimaryCount = 0;
		for (GroupRouter router : routers) {
			waitingCount += router.waitingCount();
			withoutPrimaryCount += router.primary().isPresent() ? 0 : 1;
			for (MemberPool pool : router.pools()) {
				connectionCount += pool.connectionCount();
				relayedCount += pool.relayedCount();
			}
		}
		this.sessions = openSessions;
		this.forwardedSessions = openForwardedSessions;
		this.heldBytes = bytesHeldBySessions;
		this.waiting = waitingCount;
		this.connections = connectionCount;
		this.relayed = relayedCount;
		this.withoutPrimary = withoutPrimaryCount;
		this.memberLoads.update(routers);
	}

}
