package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.engine.session.BeginTimeout;
import org.magnolialead.engine.session.ConnectBackoff;
import org.magnolialead.engine.session.MemberPath;
import org.magnolialead.engine.session.OverloadBackoff;
import org.magnolialead.engine.session.PrimaryHealth;

/**
 * Connections of this daemon to one database member.
 */
final class MemberPool {

	private static final System.Logger LOGGER = System.getLogger(MemberPool.class.getName());

	/** Weight of the latest measure in smoothed times: one eighth. */
	private static final int SMOOTHING = 8;

	private static final long INITIAL_SERVICE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(10);

	/** Time after which a connection beyond the fair share is closed if unused. */
	private static final long EXTRA_IDLE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(300);

	private final GroupRouter router;

	private final SessionServices services;

	private final PrimaryHealth health = new PrimaryHealth();

	private final MemberPath path;

	private final ConnectBackoff schedule;

	private final List<PooledConnection> connections = new ArrayList<>();

	private MemberDescription member;

	private int fairShare = 1;

	private int maximum = 1;

	private int dialingDirect;

	private int dialingRelayed;

	private final OverloadBackoff overload = new OverloadBackoff();

	private long behindUntil;

	private long serviceNanoseconds = INITIAL_SERVICE_NANOSECONDS;

	private long beginNanoseconds;

	private boolean lossNoted;

	private boolean closed;

	MemberPool(GroupRouter router, SessionServices services, MemberDescription member) {
		long now = services.now();
		this.router = router;
		this.services = services;
		this.path = new MemberPath(services.relays().first());
		this.member = member;
		this.schedule = new ConnectBackoff(now);
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

	int relayedCount() {
		return (int) this.connections.stream().filter(PooledConnection::isRelayed).count();
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

	/**
	 * Tells whether work may be sent although the member refused some for its full queue.
	 * @param work the work
	 * @return {@code false} if it should wait
	 */
	boolean permits(Work work) {
		return this.overload.permits(work.priority(), now());
	}

	void sent(Work work) {
		this.overload.sent(work.priority(), now());
	}

	void overloaded() {
		this.overload.refused(now());
	}

	boolean isBehind(long now) {
		return now - this.behindUntil < 0;
	}

	void behindUntil(long time) {
		this.behindUntil = time;
	}

	/**
	 * Tells whether this daemon may relay connections to the member.
	 * @return {@code true} if a direct connection is open and nothing speaks against it
	 */
	boolean isReachedDirectly() {
		return isUsable() && !this.path.isDirectPathDown()
				&& this.connections.stream().anyMatch((connection) -> !connection.isRelayed() && connection.isOpen());
	}

	/**
	 * Tells whether neither this daemon nor those that it asked reach the member.
	 * @return {@code true} if it was silent or refused connections for too long
	 */
	boolean isUnreachable() {
		return this.health.isFailed(now());
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
		if (total() < this.fairShare) {
			dial(false);
		}
	}

	/**
	 * Opens a connection to ask the member something, unless one is there that is merely
	 * in use.
	 */
	void dialToAsk() {
		if (this.connections.isEmpty()) {
			dialForWaiting();
		}
		else {
			dialShare();
		}
	}

	/**
	 * Tries the direct path again if connections have been relayed for a while.
	 */
	void tryDirectPath() {
		boolean relaying = this.path.isDirectPathDown() && !this.services.relays().addresses().isEmpty();
		if (relaying && this.path.isDirectAttemptDue(now()) && this.dialingDirect == 0 && isUsable()) {
			dialDirect();
		}
	}

	// A direct attempt that may take long does not hold up relayed ones.
	private int total() {
		int dialing = this.path.isDirectPathDown() ? this.dialingRelayed : this.dialingDirect + this.dialingRelayed;
		return this.connections.size() + dialing;
	}

	/**
	 * Opens a connection because work is waiting. The first one is no further one: with
	 * more daemons than permanent connections each opens it when it has work.
	 */
	void dialForWaiting() {
		int total = total();
		if (total < Math.max(1, this.fairShare)) {
			dial(false);
		}
		else if (total < this.maximum && total == this.connections.size()) {
			dial(true);
		}
	}

	private void dial(boolean extra) {
		if (this.closed || !this.schedule.permits(extra, now())) {
			return;
		}
		List<String> relays = this.services.relays().addresses();
		OptionalInt relay = this.path.nextRelay(relays.size(), this.dialingDirect > 0, now());
		if (relay.isPresent()) {
			this.dialingRelayed++;
			open(relays.get(relay.getAsInt()));
		}
		else if (this.dialingDirect == 0 || !this.path.isDirectPathDown()) {
			dialDirect();
		}
	}

	private void dialDirect() {
		this.dialingDirect++;
		open(null);
	}

	private void open(String relay) {
		asked();
		PooledConnection connection = new PooledConnection(this, relay != null);
		try {
			this.services.dialer()
				.dial(this.member, relay, (result) -> dialed(connection, result), () -> discarded(connection));
		}
		catch (RuntimeException ex) {
			LogEvent.MEMBER_UNREACHABLE.log(LOGGER, ex, this.member.group(), this.member.member(), ex);
			dialed(connection, new MemberDialer.DialResult(null,
					(relay != null) ? DialError.RELAY_FAILED : DialError.UNREACHABLE));
		}
	}

	private void dialed(PooledConnection connection, MemberDialer.DialResult result) {
		this.lossNoted = false;
		boolean pathWorks = result.channel() != null || result.error().isPathWorking();
		if (connection.isRelayed()) {
			this.dialingRelayed--;
			relayAnswered(pathWorks);
		}
		else {
			this.dialingDirect--;
			directAnswered(pathWorks);
		}
		if (result.channel() != null) {
			connected(connection, result.channel());
		}
		else {
			refused(connection, result.error());
		}
	}

	private void refused(PooledConnection connection, DialError error) {
		if (error.isPathWorking() && !error.isMemberDown()) {
			this.health.responseReceived();
			this.schedule.refused(now());
			return;
		}
		if (error.isMemberDown()) {
			this.health.connectionFailed();
		}
		this.schedule.failed(hasOtherPath(connection), now());
		this.router.dialFailed(this, error);
	}

	private void directAnswered(boolean answered) {
		if (!answered) {
			directFailed("no connection");
			return;
		}
		if (this.path.isDirectPathDown()) {
			LogEvent.MEMBER_PATH_REGAINED.log(LOGGER, this.member.group(), this.member.member());
		}
		this.path.directOpened();
		List.copyOf(this.connections)
			.stream()
			.filter((connection) -> connection.isRelayed() && connection.isFree())
			.forEach(PooledConnection::discard);
	}

	private void directFailed(String cause) {
		if (!this.path.isDirectPathDown()) {
			LogEvent.MEMBER_PATH_LOST.log(LOGGER, this.member.group(), this.member.member(), cause,
					this.services.relays().addresses().size());
		}
		this.path.directFailed(now());
	}

	private void relayAnswered(boolean answered) {
		if (answered) {
			this.path.relayOpened();
		}
		else {
			this.path.relayFailed();
		}
	}

	// Relays are asked one after the other without a wait.
	private boolean hasOtherPath(PooledConnection failed) {
		boolean firstRelay = !failed.isRelayed() && this.schedule.hasNoFailure()
				&& !this.services.relays().addresses().isEmpty();
		return firstRelay || this.path.hasUntriedRelay();
	}

	private void connected(PooledConnection connection, MemberChannel channel) {
		if (this.closed) {
			channel.close();
			return;
		}
		this.health.responseReceived();
		this.schedule.opened();
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
		this.health.requestSent(now());
	}

	void answered() {
		this.health.responseReceived();
	}

	/**
	 * Notes that a connection ended by itself. Several that end together, for example
	 * after a suspension of this VM, are one piece of evidence until a new one is tried.
	 */
	void lost() {
		if (!this.lossNoted) {
			this.lossNoted = true;
			this.health.connectionFailed();
		}
	}

	/**
	 * Returns how long the begin of a transaction may stay unanswered.
	 * @return the time in nanoseconds
	 */
	long beginLimit() {
		return BeginTimeout.nanoseconds(this.beginNanoseconds);
	}

	void begun(long nanoseconds) {
		this.beginNanoseconds += (nanoseconds - this.beginNanoseconds) / SMOOTHING;
	}

	/**
	 * Notes that the begin of a transaction was not answered in time. Free connections on
	 * the same path are closed, because they would be as silent.
	 * @param connection the connection, which is closed
	 */
	void silent(PooledConnection connection) {
		this.health.connectionFailed();
		if (connection.isRelayed()) {
			this.path.relayFailed();
		}
		else {
			directFailed("begin not answered");
		}
		this.schedule.permitNow(now());
		List.copyOf(this.connections)
			.stream()
			.filter((other) -> other.isFree() && other.isRelayed() == connection.isRelayed())
			.forEach(PooledConnection::discard);
	}

	Future<?> after(long nanoseconds, Runnable task) {
		return this.services.after(nanoseconds, task);
	}

}
