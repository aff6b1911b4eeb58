package org.magnolialead.daemon.session;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.engine.account.AccountAccess;
import org.magnolialead.engine.session.ConcurrencyLimit;
import org.magnolialead.engine.session.ConnectionLimits;
import org.magnolialead.engine.session.ConnectionPurpose;
import org.magnolialead.engine.session.ConnectionSelection;
import org.magnolialead.engine.session.DialCandidate;
import org.magnolialead.engine.session.DialDecision;
import org.magnolialead.engine.session.DialProgress;
import org.magnolialead.engine.session.FailureShare;
import org.magnolialead.engine.session.OverloadBackoff;
import org.magnolialead.engine.session.PrimaryHealth;
import org.magnolialead.engine.session.UnqueuedCommandTimeout;

/**
 * Pool of the connections of this daemon to one database member.
 */
final class MemberPool implements DialCandidate {

	private static final System.Logger LOGGER = System.getLogger(MemberPool.class.getName());

	/** Reciprocal of the weight of the latest sample in exponentially smoothed times. */
	private static final int SMOOTHING_DIVISOR = 8;

	private static final long INITIAL_SERVICE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(10);

	/** Time after which an idle additional connection is closed. */
	private static final long ADDITIONAL_IDLE_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(300);

	/** Time for which a member that has repeated a reply is expected to repeat others. */
	private static final long REPETITION_MEMORY_NANOSECONDS = TimeUnit.MINUTES.toNanos(5);

	/** Interval in which evictions are counted for the log. */
	private static final long EVICTION_INTERVAL_NANOSECONDS = TimeUnit.MINUTES.toNanos(1);

	/**
	 * Number of evictions within the interval that is logged. Opening a connection takes
	 * about 12 ms of a slot of the member, so ten in a second use an eighth of a slot.
	 */
	private static final int LOGGED_EVICTIONS = 600;

	private final GroupRouter router;

	private final SessionContext context;

	private final PrimaryHealth health = new PrimaryHealth();

	private final FailureShare failureShare;

	private final ConcurrencyLimit concurrencyLimit;

	private int loggedLimit = ConcurrencyLimit.DEFAULT_LIMIT;

	private final MemberConnector connector;

	private final List<PooledConnection> connections = new ArrayList<>();

	/** Users that receive the next free connection before any statement does. */
	private final Deque<Consumer<PooledConnection>> prioritizedUsers = new ArrayDeque<>();

	private MemberDescription member;

	private ConnectionLimits limits = new ConnectionLimits(1, 1, false);

	private final OverloadBackoff overloadBackoff = new OverloadBackoff();

	private long behindUntil;

	private long serviceNanoseconds = INITIAL_SERVICE_NANOSECONDS;

	private long smoothedRoundTripNanoseconds;

	private boolean lossRecorded;

	/** Time until which the member is expected to repeat replies. */
	private long repetitionsExpectedUntil;

	private boolean closed;

	private long evictionIntervalEndsAt;

	private int evictions;

	MemberPool(GroupRouter router, SessionContext context, MemberDescription member) {
		long now = context.now();
		this.router = router;
		this.context = context;
		this.failureShare = new FailureShare(now);
		this.concurrencyLimit = new ConcurrencyLimit(now);
		this.member = member;
		this.connector = new MemberConnector(this, context);
		this.behindUntil = now;
		this.repetitionsExpectedUntil = now;
		this.evictionIntervalEndsAt = now;
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

	/**
	 * Returns the time that a read at the member is expected to take, by which reads
	 * choose among the members.
	 * @return the time in nanoseconds, longer if the member fails a part of its work or,
	 * with learned limits, for each statement in flight there
	 */
	@Override
	public long expectedReadNanoseconds() {
		long now = now();
		long service = this.context.learnedLimits().isEnabled()
				? this.concurrencyLimit.expectedNanoseconds(inFlight(), now) : this.serviceNanoseconds;
		return this.failureShare.expectedNanoseconds(service, now);
	}

	/**
	 * Tells whether reads should prefer other members because of the statements in flight
	 * at this one.
	 * @return {@code false} if learned limits are not enabled or nothing is in flight
	 */
	boolean isAtLimit() {
		return this.context.learnedLimits().isEnabled() && inFlight() >= limit();
	}

	int limit() {
		return this.concurrencyLimit.value(now());
	}

	int inFlight() {
		return (int) this.connections.stream().filter(PooledConnection::isInFlight).count();
	}

	long smoothedNanoseconds() {
		return this.concurrencyLimit.smoothedNanoseconds();
	}

	void statementStarted() {
		this.concurrencyLimit.started(inFlight(), now());
	}

	/**
	 * Learns from the reply to a statement. Only executed statements show how fast the
	 * member is.
	 * @param priority priority of the statement
	 * @param reply the reply
	 * @param nanoseconds time from the statement to the reply in nanoseconds
	 */
	void statementAnswered(int priority, StatementReply reply, long nanoseconds) {
		if (reply.isDone()) {
			learn(priority, nanoseconds);
		}
		else if (reply.error() == StatementError.OVERLOADED) {
			this.concurrencyLimit.refused();
		}
	}

	/**
	 * Learns from a statement that is given up without a reply, whose age is the least
	 * time that the member would have taken.
	 * @param priority priority of the statement
	 * @param nanoseconds time since the statement in nanoseconds
	 */
	void statementAbandoned(int priority, long nanoseconds) {
		if (nanoseconds > smoothedNanoseconds()) {
			learn(priority, nanoseconds);
		}
	}

	private void learn(int priority, long nanoseconds) {
		long now = now();
		this.concurrencyLimit.answered(priority, nanoseconds, now);
		this.loggedLimit = this.context.learnedLimits()
			.logChange(this.member, this.loggedLimit, this.concurrencyLimit.value(now), smoothedNanoseconds(), now);
	}

	/**
	 * Records whether the member has failed a read or the alignment ahead of it.
	 * @param failed whether it failed
	 */
	void readFinished(boolean failed) {
		this.failureShare.record(failed, now());
	}

	int relayedCount() {
		return (int) this.connections.stream().filter(PooledConnection::isRelayed).count();
	}

	int connectionCount() {
		return this.connections.size();
	}

	/**
	 * Applies the current description of the member.
	 * @param description the description
	 * @param connectionLimits numbers of connections of this daemon
	 */
	void update(MemberDescription description, ConnectionLimits connectionLimits) {
		this.member = description;
		this.limits = connectionLimits;
	}

	/**
	 * Tells whether the member may receive new requests.
	 * @return {@code false} once it is leaving or the pool is closed
	 */
	boolean isUsable() {
		return !this.member.leaving() && !this.closed;
	}

	/**
	 * Tells whether a request may be sent to the member, which may recently have refused
	 * others because its queue is full.
	 * @param request the request
	 * @return {@code false} while the request has to wait for the overload backoff
	 */
	boolean permits(ConnectionRequest request) {
		return this.overloadBackoff.permits(request.priority(), now());
	}

	void requestGranted(ConnectionRequest request) {
		this.overloadBackoff.sent(request.priority(), now());
	}

	void overloaded() {
		this.overloadBackoff.refused(now());
	}

	boolean isBehind(long now) {
		return now - this.behindUntil < 0;
	}

	void behindUntil(long time) {
		this.behindUntil = time;
	}

	/**
	 * Tells whether this daemon can relay connections to the member. A relay must not use
	 * another relay, or requests could be forwarded in a cycle.
	 * @return {@code true} if a direct connection is open, the direct path is not down
	 * and the pool is usable
	 */
	boolean isDirectlyReachable() {
		return isUsable() && !this.connector.isDirectPathDown()
				&& this.connections.stream().anyMatch((connection) -> !connection.isRelayed() && connection.isOpen());
	}

	/**
	 * Tells whether the member counts as failed, directly and through the relays that
	 * were tried.
	 * @return {@code true} if it did not answer in time or too many consecutive
	 * connections failed
	 */
	@Override
	public boolean isUnreachable() {
		return this.health.isFailed(now());
	}

	boolean hasOpenOrDialing() {
		return !this.connections.isEmpty() || this.connector.isDialing();
	}

	boolean hasConnection() {
		return this.connections.stream().anyMatch((connection) -> connection.isInUse() || connection.isFree());
	}

	/**
	 * Returns the free connection of an account whose alignment with a session takes the
	 * fewest steps.
	 * @param account name of the account, or an empty string
	 * @param sessionVariables variables of the session by name
	 * @return the connection, not yet acquired, or empty if none is free
	 */
	Optional<PooledConnection> free(String account, Map<String, String> sessionVariables) {
		return ConnectionSelection.toUse(this.connections, account, sessionVariables);
	}

	/**
	 * Returns a free connection for a command of this daemon itself, which belongs to no
	 * account.
	 * @return the connection, not yet acquired, or empty if none is free
	 */
	Optional<PooledConnection> freeForInternalCommand() {
		return ConnectionSelection.forInternalCommand(this.connections);
	}

	/**
	 * Acquires the next connection that is free, ahead of all statements, so that load
	 * cannot delay it beyond the statement in progress.
	 * @param user receives the connection, immediately if one is free
	 */
	void acquireNext(Consumer<PooledConnection> user) {
		this.prioritizedUsers.add(user);
		grantToPrioritizedUsers();
		if (this.prioritizedUsers.contains(user)) {
			dialForWaiting(AccountAccess.NO_ACCOUNT, 0);
		}
	}

	/**
	 * Withdraws a call of {@link #acquireNext}.
	 * @param user the user
	 * @return {@code false} if the user has received a connection already
	 */
	boolean cancelAcquire(Consumer<PooledConnection> user) {
		return this.prioritizedUsers.remove(user);
	}

	private void grantToPrioritizedUsers() {
		while (!this.prioritizedUsers.isEmpty()) {
			Optional<PooledConnection> free = freeForInternalCommand();
			if (free.isEmpty()) {
				return;
			}
			free.get().acquire(now());
			this.prioritizedUsers.remove().accept(free.get());
		}
	}

	/**
	 * Opens a connection if fewer than the permanent ones are open.
	 */
	void dialPermanent() {
		if (openOrDialing() < this.limits.openedInAdvance()) {
			dial(this.connections.isEmpty() ? ConnectionPurpose.FIRST : ConnectionPurpose.HELD,
					AccountAccess.NO_ACCOUNT);
		}
	}

	/**
	 * Opens a connection to probe the member. If connections exist and are only in use,
	 * it opens no additional one.
	 * @param account client account on whose behalf the member is probed, or an empty
	 * string
	 */
	void dialForProbe(String account) {
		if (this.connections.isEmpty() && (!this.limits.byAccount() || openOrDialing() == 0)) {
			dialForWaiting(account, 0);
		}
		else {
			dialPermanent();
		}
	}

	/**
	 * Opens a connection because requests are waiting. The first connection does not
	 * count as additional: if there are more daemons than permanent connections, each
	 * daemon opens its first one when it has requests. Idle connections of other accounts
	 * are closed if the maximum would be exceeded.
	 * @param account client account of the requests, or an empty string
	 * @param ahead number of requests of the account that wait before the one for which
	 * the connection is opened
	 */
	void dialForWaiting(String account, int ahead) {
		DialDecision<PooledConnection> decision = dialDecision(account, ahead);
		if (!decision.dials() || this.closed || !this.connector.permits(decision.purpose())) {
			return;
		}
		decision.evicted().forEach(this::evict);
		dial(decision.purpose(), account);
	}

	private DialDecision<PooledConnection> dialDecision(String account, int ahead) {
		return ConnectionSelection.toDial(this.connections, this.connector.dialing(), account, ahead, this.limits);
	}

	// Removed first, so that no other request takes the place in the meantime.
	private void evict(PooledConnection connection) {
		this.connections.remove(connection);
		connection.discard();
		metrics().connectionEvicted();
		long now = now();
		if (now - this.evictionIntervalEndsAt >= 0) {
			this.evictionIntervalEndsAt = now + EVICTION_INTERVAL_NANOSECONDS;
			this.evictions = 0;
		}
		this.evictions++;
		if (this.evictions == LOGGED_EVICTIONS) {
			LogEvent.MEMBER_CONNECTIONS_CONTESTED.log(LOGGER, this.member.group(), this.member.member(), this.evictions,
					TimeUnit.NANOSECONDS.toSeconds(EVICTION_INTERVAL_NANOSECONDS));
		}
	}

	@Override
	public boolean hasRoomFor(String account, int ahead) {
		return dialDecision(account, ahead).dials();
	}

	@Override
	public boolean permitsDial(String account) {
		DialDecision<PooledConnection> decision = dialDecision(account, 0);
		return this.connector.permits(decision.dials() ? decision.purpose() : ConnectionPurpose.HELD);
	}

	@Override
	public DialProgress dialProgress(String account) {
		return this.connector.dialProgress(account);
	}

	/**
	 * Tries the direct path again if connections are relayed and the retry interval has
	 * passed.
	 */
	void tryDirectPath() {
		if (isUsable()) {
			this.connector.tryDirectPath(latestAccount());
		}
	}

	// The direct connection replaces a relayed one.
	private String latestAccount() {
		return this.connections.stream()
			.reduce((left, right) -> (right.releasedAt() - left.releasedAt() > 0) ? right : left)
			.map(PooledConnection::account)
			.orElse(AccountAccess.NO_ACCOUNT);
	}

	private int openOrDialing() {
		return this.connections.size() + this.connector.dialing().size();
	}

	private void dial(ConnectionPurpose purpose, String account) {
		if (!this.closed) {
			this.connector.dial(purpose, account);
		}
	}

	/**
	 * Records that an attempt to connect has ended. Losses from now on count as a new
	 * failure of the member.
	 */
	void dialFinished() {
		this.lossRecorded = false;
	}

	/**
	 * Records that an attempt to connect has failed.
	 * @param error the error
	 */
	void dialFailed(DialError error) {
		this.router.dialFailed(this, error);
	}

	/**
	 * Closes the free connections over one kind of path.
	 * @param relayed whether the relayed or the direct ones are closed
	 */
	void discardFree(boolean relayed) {
		List.copyOf(this.connections)
			.stream()
			.filter((connection) -> connection.isFree() && connection.isRelayed() == relayed)
			.forEach(PooledConnection::discard);
	}

	/**
	 * Adds a connection that was opened.
	 * @param connection the connection
	 * @param channel its channel
	 */
	void connected(PooledConnection connection, MemberChannel channel) {
		if (this.closed) {
			channel.close();
			return;
		}
		this.health.responseReceived();
		metrics().connectionOpened();
		connection.opened(channel, now());
		this.connections.add(connection);
		closeExcess();
		grantToPrioritizedUsers();
		this.router.connectionOpened(connection);
	}

	// A direct attempt is not counted while the direct path is down, so it may open one
	// connection too many.
	private void closeExcess() {
		if (this.limits.byAccount() && openOrDialing() > this.limits.maximum()) {
			ConnectionSelection.leastRecentlyUsed(this.connections, (any) -> true)
				.stream()
				.findFirst()
				.ifPresent(this::evict);
		}
	}

	void released(PooledConnection connection, long busyNanoseconds) {
		this.serviceNanoseconds += (busyNanoseconds - this.serviceNanoseconds) / SMOOTHING_DIVISOR;
		if (this.closed) {
			connection.discard();
			return;
		}
		grantToPrioritizedUsers();
		this.router.dispatch();
	}

	void discarded(PooledConnection connection) {
		if (this.connections.remove(connection)) {
			this.router.dispatch();
		}
	}

	/**
	 * Closes additional connections that have been idle for too long.
	 */
	void closeIdleAdditional() {
		long now = now();
		while (this.connections.size() > this.limits.permanent()) {
			Optional<PooledConnection> idle = this.connections.stream()
				.filter((connection) -> connection.isFree()
						&& now - connection.releasedAt() > ADDITIONAL_IDLE_TIMEOUT_NANOSECONDS)
				.findFirst();
			if (idle.isEmpty()) {
				return;
			}
			idle.get().discard();
		}
	}

	/**
	 * Closes the pool. Connections in use are closed when they are released.
	 */
	void close() {
		this.closed = true;
		List.copyOf(this.connections).stream().filter(PooledConnection::isFree).forEach(PooledConnection::discard);
	}

	void requestSent() {
		this.health.requestSent(now());
	}

	void responseReceived() {
		this.health.responseReceived();
	}

	/**
	 * Records that a connection was lost. Several losses before the next connection
	 * attempt, for example after a suspension of this VM, count as one failure of the
	 * member.
	 */
	void connectionLost() {
		if (!this.lossRecorded) {
			this.lossRecorded = true;
			this.health.connectionFailed();
		}
	}

	/**
	 * Records that the member has sent a reply twice.
	 */
	void replyRepeated() {
		long now = now();
		if (!repeatsReplies()) {
			LogEvent.MEMBER_REPEATS_ANSWERS.log(LOGGER, this.member.group(), this.member.member());
		}
		this.repetitionsExpectedUntil = now + REPETITION_MEMORY_NANOSECONDS;
		metrics().replyRepeated();
	}

	/**
	 * Tells whether the member is expected to repeat replies.
	 * @return {@code true} for some time after it has repeated one
	 */
	boolean repeatsReplies() {
		return now() - this.repetitionsExpectedUntil < 0;
	}

	/**
	 * Returns the timeout of a command that does not wait for a slot of the member.
	 * @return the timeout in nanoseconds
	 */
	long unqueuedCommandTimeout() {
		return UnqueuedCommandTimeout.nanoseconds(this.smoothedRoundTripNanoseconds);
	}

	void unqueuedCommandAnswered(long durationNanoseconds) {
		this.smoothedRoundTripNanoseconds += (durationNanoseconds - this.smoothedRoundTripNanoseconds)
				/ SMOOTHING_DIVISOR;
	}

	/**
	 * Records that a command that does not wait for a slot was not answered in time. Free
	 * connections over the same path are closed, because they would not be answered
	 * either.
	 * @param connection the connection, which the caller closes
	 */
	void unqueuedCommandTimedOut(PooledConnection connection) {
		this.health.connectionFailed();
		this.connector.pathTimedOut(connection.isRelayed());
		discardFree(connection.isRelayed());
	}

	SessionMetrics metrics() {
		return this.context.metrics();
	}

	Future<?> schedule(long delayNanoseconds, Runnable task) {
		return this.context.schedule(delayNanoseconds, task);
	}

}
