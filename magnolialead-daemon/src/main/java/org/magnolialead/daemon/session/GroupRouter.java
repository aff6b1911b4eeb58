package org.magnolialead.daemon.session;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.engine.account.AccountAccess;
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

	private final TreeSet<ConnectionRequest> waitingRequests = new TreeSet<>();

	private ConnectionShare share;

	private boolean byAccount;

	/**
	 * Number of requests by kind and account that were considered since the last
	 * selection has begun and found no connection.
	 */
	private final Map<String, Integer> unserved = new HashMap<>();

	private long lastSequenceNumber;

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
		List.copyOf(this.waitingRequests).forEach((request) -> refuse(request, StatementError.OVERLOADED));
	}

	/**
	 * Grants a request as soon as a connection is free, or refuses it.
	 * @param request the request
	 */
	void submit(ConnectionRequest request) {
		this.lastSequenceNumber++;
		request.sequenceNumber(this.lastSequenceNumber);
		if (this.waitingRequests.isEmpty() && grantIfPossible(request)) {
			return;
		}
		if (QueueAdmission.rejects(requestsAhead(request), connectionsServing(request),
				expectedServiceNanoseconds(request), request.deadline() - now())) {
			request.refuse(StatementError.OVERLOADED);
			return;
		}
		this.waitingRequests.add(request);
		this.requestQueued.run();
		dispatch();
	}

	private boolean lacksConnection(ConnectionRequest request) {
		if (request.plan().onReplica()) {
			return this.pools.values().stream().noneMatch(MemberPool::hasConnection);
		}
		return primary().map((pool) -> !pool.hasConnection()).orElse(true);
	}

	private int requestsAhead(ConnectionRequest request) {
		return this.waitingRequests.headSet(request).size();
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
			this.waitingRequests.stream()
				.filter((request) -> !request.isCancelled() && request.account().equals(connection.account())
						&& mayServe(connection.pool(), request))
				.findFirst()
				.ifPresent((request) -> grant(request, connection));
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
		this.unserved.clear();
		for (ConnectionRequest request : List.copyOf(this.waitingRequests)) {
			if (request.isCancelled()) {
				this.waitingRequests.remove(request);
			}
			else if (grantIfPossible(request)) {
				this.dispatchAgain = true;
			}
		}
	}

	private boolean grantIfPossible(ConnectionRequest request) {
		Optional<PooledConnection> connection = connectionFor(request);
		if (connection.isEmpty()) {
			return false;
		}
		grant(request, connection.get());
		return true;
	}

	private void grant(ConnectionRequest request, PooledConnection connection) {
		this.waitingRequests.remove(request);
		connection.acquire(now());
		connection.pool().requestGranted(request);
		request.grant(connection);
	}

	private int countUnserved(ConnectionRequest request) {
		return this.unserved.merge(request.plan().onReplica() + request.account(), 1, Integer::sum) - 1;
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
			.sorted(Comparator.comparingLong(MemberPool::expectedReadNanoseconds))
			.map((pool) -> pool.free(request.account(), request.sessionVariables()))
			.flatMap(Optional::stream)
			.findFirst();
		if (free.isPresent()) {
			return free;
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
		boolean primaryMayServe = primary != null && primary.isUsable() && primary.permits(request);
		return primaryMayServe ? primary.free(request.account(), request.sessionVariables()) : Optional.empty();
	}

	// A connection costs a member more than the read, so only one is opened.
	private void dialForRead(ConnectionRequest request) {
		int ahead = countUnserved(request);
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
			pool.dialForWaiting(request.account(), countUnserved(request));
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
		for (ConnectionRequest request : List.copyOf(this.waitingRequests)) {
			if (request.isCancelled() || request.isQueueTimeoutReached(now)
					|| request.isUnavailableMemberTimeoutReached(now) && lacksConnection(request)) {
				refuse(request, StatementError.OVERLOADED);
			}
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
		return this.waitingRequests.isEmpty() ? AccountAccess.NO_ACCOUNT : this.waitingRequests.first().account();
	}

	private void refuse(ConnectionRequest request, StatementError error) {
		this.waitingRequests.remove(request);
		if (!request.isCancelled()) {
			request.refuse(error);
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
