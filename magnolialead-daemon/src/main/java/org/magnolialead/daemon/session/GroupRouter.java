package org.magnolialead.daemon.session;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.engine.account.AccountAccess;
import org.magnolialead.engine.queue.FairQueue;
import org.magnolialead.engine.queue.QueueRefusal;
import org.magnolialead.engine.queue.ServiceTimes;
import org.magnolialead.engine.queue.ServiceTimes.Work;
import org.magnolialead.engine.session.ConnectionLimits;
import org.magnolialead.engine.session.ConnectionSelection;
import org.magnolialead.engine.session.ConnectionShare;
import org.magnolialead.engine.session.PrimaryProgress;
import org.magnolialead.engine.session.QueueAdmission;

/**
 * Dispatches the statements of this daemon's sessions to the members of one group, the
 * most urgent first.
 */
final class GroupRouter {

	/**
	 * Time for which a replica that had not reached a required log position receives no
	 * further reads.
	 */
	private static final long BEHIND_PAUSE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(250);

	/**
	 * Time for the answer to a rollback, which needs no slot of the member. Closing the
	 * connection rolls the transaction back as well.
	 */
	private static final long ROLLBACK_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_000);

	private final String group;

	private final SessionContext context;

	private final Map<String, MemberPool> pools = new HashMap<>();

	private final Runnable requestQueued;

	private final PrimaryTracker primaryTracker;

	private final FairQueue<ConnectionRequest> waitingRequests = new FairQueue<>();

	private final ServiceTimes serviceTimes = new ServiceTimes();

	private ConnectionShare share;

	private boolean byAccount;

	private boolean dispatching;

	private boolean dispatchAgain;

	/**
	 * Creates a router without members.
	 * @param group name of the group
	 * @param context dependencies and scheduling
	 * @param requestQueued called when a request starts to wait
	 */
	GroupRouter(String group, SessionContext context, Runnable requestQueued) {
		this.group = group;
		this.context = context;
		this.requestQueued = requestQueued;
		this.primaryTracker = new PrimaryTracker(this, context.now());
	}

	String group() {
		return this.group;
	}

	long now() {
		return this.context.now();
	}

	/**
	 * Returns the tracker of the primary of the group.
	 * @return the tracker
	 */
	PrimaryTracker primaryTracker() {
		return this.primaryTracker;
	}

	PrimaryProgress progress() {
		return this.primaryTracker.progress();
	}

	Optional<MemberPool> primary() {
		return this.primaryTracker.primary();
	}

	/**
	 * Returns the service times of the routes that the group serves.
	 * @return the service times
	 */
	ServiceTimes serviceTimes() {
		return this.serviceTimes;
	}

	int waitingCount() {
		return this.waitingRequests.size();
	}

	Collection<MemberPool> pools() {
		return this.pools.values();
	}

	MemberPool pool(String member) {
		return this.pools.get(member);
	}

	/**
	 * Applies the current view of the group.
	 * @param view the view
	 * @param connectionShare share of this daemon in the connections to the members
	 * @param accountsConfigured whether clients have accounts, whose connections are
	 * separated
	 */
	void viewChanged(GroupView view, ConnectionShare connectionShare, boolean accountsConfigured) {
		this.share = connectionShare;
		this.byAccount = accountsConfigured;
		for (MemberDescription member : view.allMembers()) {
			MemberPool pool = this.pools.get(member.member());
			if (pool != null && isOtherProcess(pool.member(), member)) {
				removePool(pool);
				pool = null;
			}
			if (pool == null) {
				pool = new MemberPool(this, this.context, member);
				this.pools.put(member.member(), pool);
			}
			boolean mayBePrimary = member.member().equals(view.primary()) || member.reportsPrimary();
			pool.update(member, new ConnectionLimits(connectionShare.permanent(), connectionShare.maximum(mayBePrimary),
					accountsConfigured));
		}
		List.copyOf(this.pools.values())
			.stream()
			.filter((pool) -> !view.members().containsKey(pool.member().member()))
			.forEach(this::removePool);
		this.primaryTracker.viewChanged(view);
		tick();
	}

	private static boolean isOtherProcess(MemberDescription known, MemberDescription current) {
		return !known.address().equals(current.address())
				|| known.startedAtMilliseconds() != current.startedAtMilliseconds();
	}

	private void removePool(MemberPool pool) {
		this.pools.remove(pool.member().member());
		this.primaryTracker.primaryLost(pool, "removed");
		pool.close();
	}

	void close() {
		List.copyOf(this.pools.values()).forEach(this::removePool);
		this.waitingRequests.entries().forEach((entry) -> refuse(entry, QueueRefusal.CLOSED));
	}

	/**
	 * Grants a request as soon as a connection is free, or refuses it.
	 * @param request the request
	 */
	void submit(ConnectionRequest request) {
		Optional<PooledConnection> connection = this.waitingRequests.isEmpty() ? connectionFor(request)
				: Optional.empty();
		if (connection.isPresent()) {
			grant(request, connection.get());
			return;
		}
		if (isExpectedWaitTooLong(request)) {
			refuse(request, QueueRefusal.EXPECTED_WAIT);
			return;
		}
		this.waitingRequests.add(request, request.priority(), request.account(), request.lane(), costOf(request));
		this.requestQueued.run();
		dispatch();
	}

	private boolean lacksConnection(ConnectionRequest request) {
		if (request.plan().onReplica()) {
			return this.pools.values().stream().noneMatch(MemberPool::hasConnection);
		}
		return primary().map((pool) -> !pool.hasConnection()).orElse(true);
	}

	// How long requests wait for the first connection is not known, and refusing them at
	// once would use up the retries of their clients.
	private boolean isExpectedWaitTooLong(ConnectionRequest request) {
		long remaining = request.deadline() - now();
		if (request.account().isEmpty()) {
			return QueueAdmission.rejects(this.waitingRequests.requestsAhead(request.priority()),
					connectionsServing(request), expectedServiceNanoseconds(request), remaining);
		}
		long workAhead = this.waitingRequests.workAhead(request.priority(), request.account(),
				request.plan().onReplica());
		return !lacksConnection(request) && QueueAdmission.rejects(workAhead, connectionsServing(request), remaining);
	}

	private long costOf(ConnectionRequest request) {
		long smoothed = expectedServiceNanoseconds(request);
		return request.account().isEmpty() ? smoothed : learnedServiceNanoseconds(request, request.work(), smoothed);
	}

	private boolean isTooLate(ConnectionRequest request, long now) {
		return !request.account().isEmpty() && QueueAdmission
			.isTooLate(learnedServiceNanoseconds(request, Work.STATEMENT, 0), request.deadline() - now)
				&& !lacksConnection(request);
	}

	private long learnedServiceNanoseconds(ConnectionRequest request, Work work, long unknown) {
		long timeout = TimeUnit.MILLISECONDS.toNanos(request.route().statementTimeoutMilliseconds());
		return this.serviceTimes.expected(request.route().database(), work, timeout, unknown);
	}

	private int connectionsServing(ConnectionRequest request) {
		if (!request.plan().onReplica()) {
			return primary().map(MemberPool::connectionCount).orElse(1);
		}
		return this.pools.values().stream().mapToInt(MemberPool::connectionCount).sum();
	}

	private long expectedServiceNanoseconds(ConnectionRequest request) {
		if (!request.plan().onReplica() && primary().isPresent()) {
			return primary().get().serviceNanoseconds();
		}
		return (long) this.pools.values().stream().mapToLong(MemberPool::serviceNanoseconds).average().orElse(0);
	}

	/**
	 * Grants free connections to the most urgent requests. Requests that wait for the
	 * primary do not block reads that a replica can serve.
	 */
	void dispatch() {
		if (this.dispatching) {
			this.dispatchAgain = true;
			return;
		}
		this.dispatching = true;
		try {
			do {
				this.dispatchAgain = false;
				grantWaitingRequests();
			}
			while (this.dispatchAgain);
		}
		finally {
			this.dispatching = false;
		}
	}

	/**
	 * Grants a connection that was just opened to the first request of its account that
	 * can use it, and free connections to the others. A more urgent request of another
	 * account would otherwise close it before it was used.
	 * @param connection the connection
	 */
	void connectionOpened(PooledConnection connection) {
		if (this.byAccount && connection.isFree()) {
			this.waitingRequests
				.first(connection.account(),
						(request) -> !request.isCancelled() && mayServe(connection.pool(), request))
				.ifPresent((entry) -> {
					this.waitingRequests.grant(entry);
					grant(entry.request(), connection);
				});
		}
		dispatch();
	}

	private boolean mayServe(MemberPool pool, ConnectionRequest request) {
		boolean eligible = request.plan().onReplica() ? isReplicaFor(request, pool) : pool == primary().orElse(null);
		return eligible && pool.permits(request);
	}

	private boolean isReplicaFor(ConnectionRequest request, MemberPool pool) {
		return pool != primary().orElse(null) && pool.isUsable() && pool != request.avoided() && !pool.isBehind(now());
	}

	private void grantWaitingRequests() {
		FairQueue<ConnectionRequest>.Scan scan = this.waitingRequests.scan();
		Optional<FairQueue.Entry<ConnectionRequest>> next = scan.next();
		while (next.isPresent()) {
			grantOrRefuse(next.get(), scan);
			next = scan.next();
		}
	}

	private void grantOrRefuse(FairQueue.Entry<ConnectionRequest> entry, FairQueue<ConnectionRequest>.Scan scan) {
		ConnectionRequest request = entry.request();
		if (request.isCancelled()) {
			this.waitingRequests.remove(entry);
			return;
		}
		if (isTooLate(request, now())) {
			refuse(entry, QueueRefusal.INSUFFICIENT_TIME);
			return;
		}
		Optional<PooledConnection> connection = connectionFor(request);
		if (connection.isEmpty()) {
			scan.blocked(entry);
			return;
		}
		this.waitingRequests.grant(entry);
		this.dispatchAgain = true;
		grant(request, connection.get());
	}

	private void grant(ConnectionRequest request, PooledConnection connection) {
		connection.acquire(now());
		connection.priority(request.priority());
		connection.pool().requestGranted(request);
		request.grant(connection);
	}

	private int requestsOfAccountAhead(ConnectionRequest request) {
		return Math.max(0, this.waitingRequests.requestsOf(request.account(), request.plan().onReplica()) - 1);
	}

	private Optional<PooledConnection> connectionFor(ConnectionRequest request) {
		if (!request.plan().onReplica()) {
			return freeConnectionOrDial(primary().orElse(null), request);
		}
		long now = now();
		MemberPool primary = primary().orElse(null);
		Optional<PooledConnection> free = this.pools.values()
			.stream()
			.filter((pool) -> pool.isUsable() && pool != primary && pool != request.avoided() && !pool.isBehind(now)
					&& pool.permits(request))
			.sorted(Comparator.comparing(MemberPool::isAtLimit).thenComparingLong(MemberPool::expectedReadNanoseconds))
			.map((pool) -> pool.free(request.account(), request.sessionVariables()))
			.flatMap(Optional::stream)
			.findFirst();
		boolean primaryMayServe = primary != null && primary.isUsable() && primary.permits(request);
		if (free.isPresent()) {
			boolean primaryPreferred = free.get().pool().isAtLimit() && primaryMayServe && primary != request.avoided()
					&& !primary.isAtLimit();
			return primaryPreferred ? primary.free(request.account(), request.sessionVariables()).or(() -> free) : free;
		}
		if (this.byAccount || !request.account().isEmpty()) {
			dialForRead(request);
		}
		else {
			this.pools.values()
				.stream()
				.filter((pool) -> pool.isUsable() && pool.free(request.account(), request.sessionVariables()).isEmpty())
				.forEach((pool) -> pool.dialForWaiting(request.account(), 0));
		}
		return primaryMayServe ? primary.free(request.account(), request.sessionVariables()) : Optional.empty();
	}

	// A connection costs a member more than the read, so only one is opened.
	private void dialForRead(ConnectionRequest request) {
		int ahead = requestsOfAccountAhead(request);
		List<MemberPool> replicas = this.pools.values().stream().filter((pool) -> isReplicaFor(request, pool)).toList();
		List<MemberPool> permitting = replicas.stream().filter((pool) -> pool.permits(request)).toList();
		permitting.stream().filter(MemberPool::isUnreachable).forEach((pool) -> pool.dialForProbe(request.account()));
		ConnectionSelection.replicaToDial(permitting, request.account(), ahead)
			.ifPresent((pool) -> pool.dialForWaiting(request.account(), ahead));
		MemberPool primary = primary().orElse(null);
		boolean primaryNeeded = primary != null && primary.isUsable() && primary.permits(request)
				&& ConnectionSelection.needsPrimary(replicas, request.account());
		if (primaryNeeded && primary.free(request.account(), request.sessionVariables()).isEmpty()) {
			primary.dialForWaiting(request.account(), ahead);
		}
	}

	private Optional<PooledConnection> freeConnectionOrDial(MemberPool pool, ConnectionRequest request) {
		if (pool == null) {
			this.primaryTracker.probeAll(request.account());
			return Optional.empty();
		}
		if (!pool.permits(request)) {
			return Optional.empty();
		}
		Optional<PooledConnection> free = pool.free(request.account(), request.sessionVariables());
		if (free.isEmpty()) {
			pool.dialForWaiting(request.account(), requestsOfAccountAhead(request));
		}
		return free;
	}

	/**
	 * Refuses requests whose queue timeout has passed, maintains the connections and
	 * searches for the primary if it is not known. Must be called every few tens of
	 * milliseconds.
	 */
	void tick() {
		if (isAtRest()) {
			return;
		}
		long now = now();
		for (FairQueue.Entry<ConnectionRequest> entry : this.waitingRequests.entries()) {
			overdueReason(entry.request(), now).ifPresent((reason) -> refuse(entry, reason));
		}
		for (MemberPool pool : List.copyOf(this.pools.values())) {
			if (pool.isUsable()) {
				pool.dialPermanent();
			}
			pool.tryDirectPath();
			pool.closeIdleAdditional();
		}
		if (primary().isEmpty() && needsPrimary()) {
			this.primaryTracker.probeAll(waitingAccount());
		}
		dispatch();
	}

	/**
	 * Tells whether there is nothing to maintain. In a large fleet this holds for most
	 * groups of a daemon.
	 * @return {@code true} without connections, without waiting requests and without the
	 * need to know the primary
	 */
	boolean isAtRest() {
		return !needsPrimary() && this.pools.values().stream().noneMatch(MemberPool::hasOpenOrDialing);
	}

	/**
	 * Tells whether nothing waits for the next tick. Connections are still maintained,
	 * which may take longer.
	 * @return {@code true} without waiting requests, and with a primary if this daemon
	 * has to know one
	 */
	boolean isQuiet() {
		return this.waitingRequests.isEmpty() && (!needsPrimary() || primary().isPresent());
	}

	/**
	 * Tells whether this daemon has to know the primary of the group. In a large fleet it
	 * does not for most groups, and looking for the primary would open connections to all
	 * members.
	 * @return {@code true} if it keeps connections to the group or statements wait
	 */
	boolean needsPrimary() {
		return this.share == null || this.share.followsPrimary() || !this.waitingRequests.isEmpty();
	}

	/**
	 * Returns the client account for which a connection is needed next.
	 * @return account of the first waiting request, or an empty string if none waits
	 */
	String waitingAccount() {
		return this.waitingRequests.scan()
			.next()
			.map((entry) -> entry.request().account())
			.orElse(AccountAccess.NO_ACCOUNT);
	}

	private Optional<QueueRefusal> overdueReason(ConnectionRequest request, long now) {
		if (request.isCancelled() || request.isQueueTimeoutReached(now)) {
			return Optional.of(QueueRefusal.QUEUE_TIMEOUT);
		}
		if (request.isUnavailableMemberTimeoutReached(now) && lacksConnection(request)) {
			return Optional.of(QueueRefusal.UNAVAILABLE_MEMBER);
		}
		return isTooLate(request, now) ? Optional.of(QueueRefusal.INSUFFICIENT_TIME) : Optional.empty();
	}

	// The refusal of another request may have led to a grant of this one.
	private void refuse(FairQueue.Entry<ConnectionRequest> entry, QueueRefusal reason) {
		if (entry.isWaiting()) {
			this.waitingRequests.remove(entry);
			refuse(entry.request(), reason);
		}
	}

	private void refuse(ConnectionRequest request, QueueRefusal reason) {
		if (!request.isCancelled()) {
			this.context.metrics().requestRefused(reason);
			request.refuse(reason);
		}
	}

	void dialFailed(MemberPool pool, DialError error) {
		if (error == DialError.WRONG_MEMBER || pool.health().isFailed(now())) {
			this.primaryTracker.primaryLost(pool, "connection failed: " + error);
		}
		dispatch();
	}

	/**
	 * Records that a replica had not reached a required log position, so that reads avoid
	 * it for a while.
	 * @param pool the member
	 */
	void replicaBehind(MemberPool pool) {
		pool.behindUntil(now() + BEHIND_PAUSE_NANOSECONDS);
	}

	/**
	 * Releases a connection, after rolling back its transaction if one is open. Discards
	 * it if the rollback fails or is not answered in time.
	 * @param connection the connection
	 * @param state state of the connection after the last answer
	 */
	void endTransaction(PooledConnection connection, SessionState state) {
		if (state == SessionState.IDLE) {
			connection.release();
			return;
		}
		Future<?> timeout = this.context.schedule(ROLLBACK_TIMEOUT_NANOSECONDS, connection::discard);
		connection.send(MemberCommand.internal(MemberCommand.Kind.ROLLBACK), (reply) -> {
			timeout.cancel(false);
			if (reply.state() == SessionState.IDLE && reply.error() != StatementError.CONNECTION_LOST) {
				connection.release();
			}
			else {
				connection.discard();
			}
		});
	}

}
