package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.magnolialead.api.FleetView;
import org.magnolialead.api.KeyDigest;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Route;
import org.magnolialead.api.RouteTable;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.daemon.quota.QuotaLink;
import org.magnolialead.daemon.quota.QuotaService;
import org.magnolialead.engine.account.AccountAccess;
import org.magnolialead.engine.session.SessionLimits;
import org.magnolialead.engine.session.SessionMemory;
import org.magnolialead.engine.session.SuspensionDetector;
import org.magnolialead.transport.peer.PeerHandler;

/**
 * Manages the client sessions of this daemon and the groups that serve them. All methods
 * except {@link #viewChanged(FleetView)} and {@link #isServing()} must be called on the
 * serial executor.
 */
public final class SessionService {

	private static final long TICK_MILLISECONDS = 20;

	/** Interval of the periodic work while nothing waits for it. */
	private static final long QUIET_TICK_MILLISECONDS = 100;

	private static final long METRICS_UPDATE_MILLISECONDS = 500;

	private final SessionContext context;

	private final LongSupplier wallClock;

	private final SuspensionDetector suspensionDetector;

	private final Map<String, GroupRouter> routers = new HashMap<>();

	private final Set<ClientSession> sessions = new HashSet<>();

	private final Set<ForwardedSession> forwardedSessions = new HashSet<>();

	private final SessionMemory memory;

	private final List<Runnable> tasksWaitingForRoutes = new ArrayList<>();

	private final StatementLog statementLog;

	private final SessionMetrics metrics = new SessionMetrics();

	private final QuotaService quotas;

	private Future<?> nextTick;

	private boolean quiet;

	private volatile RouteTable routes = RouteTable.EMPTY;

	private AccountAccess accountAccess = new AccountAccess(null);

	/**
	 * Creates a service without groups, with the default limits of sessions.
	 * @param daemon name of this daemon
	 * @param zone availability zone of this daemon
	 * @param loop serial executor on which sessions and connections are handled
	 * @param clock clock for all deadlines
	 * @param wallClock wall clock in milliseconds, read only to detect a suspension of
	 * the VM
	 * @param dialer opens connections to members
	 * @param link sends messages to other daemons
	 */
	public SessionService(String daemon, String zone, ScheduledExecutorService loop, MonotonicClock clock,
			LongSupplier wallClock, MemberDialer dialer, ForwardingLink link) {
		this(daemon, zone, loop, clock, wallClock, dialer, link,
				SessionLimits.defaults(Runtime.getRuntime().maxMemory()), false);
	}

	/**
	 * Creates a service without groups.
	 * @param daemon name of this daemon
	 * @param zone availability zone of this daemon
	 * @param loop serial executor on which sessions and connections are handled
	 * @param clock clock for all deadlines
	 * @param wallClock wall clock in milliseconds, read only to detect a suspension of
	 * the VM
	 * @param dialer opens connections to members
	 * @param link sends messages to other daemons
	 * @param limits limits of what sessions keep
	 * @param learnedLimits whether reads follow the learned limits of members
	 */
	public SessionService(String daemon, String zone, ScheduledExecutorService loop, MonotonicClock clock,
			LongSupplier wallClock, MemberDialer dialer, ForwardingLink link, SessionLimits limits,
			boolean learnedLimits) {
		this.memory = new SessionMemory(limits);
		this.context = new SessionContext(loop, clock, dialer, new StatementForwarder(daemon, zone, clock, link),
				this.metrics, new LearnedLimits(learnedLimits, clock.nanoseconds()));
		this.wallClock = wallClock;
		this.statementLog = new StatementLog(this.context);
		this.suspensionDetector = new SuspensionDetector(clock.nanoseconds(), wallClock.getAsLong());
		this.quotas = new QuotaService(loop, clock, wallClock, this.metrics.registry());
	}

	/**
	 * Sets the link over which tokens of client accounts with a rate limit are requested.
	 * Must be called before {@link #start()}.
	 * @param link the link; without one, operations of such accounts are rejected
	 */
	public void requestTokensFrom(QuotaLink link) {
		this.quotas.setLink(link);
	}

	/**
	 * Starts the periodic tasks.
	 */
	public void start() {
		scheduleTick();
		this.context.scheduleRepeatedly(METRICS_UPDATE_MILLISECONDS, this::updateMetrics);
	}

	/**
	 * Applies a new fleet view. May be called on any thread.
	 * @param view the new view
	 */
	public void viewChanged(FleetView view) {
		this.context.execute(() -> applyView(view));
	}

	private void applyView(FleetView view) {
		RouteTable before = this.routes;
		this.routes = view.configuration().routes();
		this.context.forwarder().update(view);
		if (!Objects.equals(before.accounts(), this.routes.accounts())) {
			this.accountAccess = new AccountAccess(this.routes.accounts());
			this.quotas.accountsChanged(this.routes.accounts());
			List.copyOf(this.sessions).forEach(ClientSession::endIfAccessRevoked);
		}
		if (isServing()) {
			List<Runnable> tasks = List.copyOf(this.tasksWaitingForRoutes);
			this.tasksWaitingForRoutes.clear();
			tasks.forEach(Runnable::run);
		}
		view.groups().values().forEach((group) -> {
			Integer limit = this.routes.connectionLimits().get(group.group());
			if (limit != null) {
				router(group.group()).viewChanged(group, this.context.forwarder().share(group, limit),
						this.routes.accounts() != null);
			}
		});
	}

	/**
	 * Tells whether this daemon can serve clients.
	 * @return {@code true} once routes are known
	 */
	public boolean isServing() {
		return this.routes.number() > 0;
	}

	/**
	 * Tells whether the configuration has client accounts.
	 * @return {@code false} if clients need no key
	 */
	public boolean hasAccounts() {
		return this.routes.accounts() != null;
	}

	/**
	 * Opens a session.
	 * @param database name of the database
	 * @param key digest of the key that the client sent, {@link KeyDigest#NONE} if there
	 * are no client accounts
	 * @param channel connection to the client
	 * @return the session, or the reason of its refusal
	 */
	public SessionOpening open(String database, KeyDigest key, ClientChannel channel) {
		Optional<Route> route = this.routes.route(database);
		if (route.isEmpty()) {
			return SessionOpening.refused(StatementError.UNKNOWN_DATABASE);
		}
		if (account(key, route.get()).isEmpty()) {
			this.metrics.sessionNotAuthorized();
			return SessionOpening.refused(StatementError.NOT_AUTHORIZED);
		}
		ClientSession session = new ClientSession(this, channel, database, key);
		this.sessions.add(session);
		return new SessionOpening(session, null);
	}

	/**
	 * Returns the client account of a session under the configuration in force.
	 * @param key digest of the key that the client sent
	 * @param route route of the session
	 * @return name of the account, or empty if the client may not use the database
	 */
	Optional<String> account(KeyDigest key, Route route) {
		return this.accountAccess.account(key, route);
	}

	QuotaService quotas() {
		return this.quotas;
	}

	/**
	 * Runs a task once routes are known. Until then a daemon that has just started cannot
	 * tell an unknown database from one whose route it has not received yet.
	 * @param task the task, run immediately if routes are known
	 */
	public void whenServing(Runnable task) {
		if (isServing()) {
			task.run();
		}
		else {
			this.tasksWaitingForRoutes.add(task);
		}
	}

	/**
	 * Returns the address of a member to which another daemon requests a relayed
	 * connection.
	 * @param group name of the group
	 * @param member name of the member
	 * @return the address, or empty if this daemon has no working direct connection to
	 * the member
	 */
	public Optional<String> directMemberAddress(String group, String member) {
		GroupRouter router = this.routers.get(group);
		MemberPool pool = (router != null) ? router.pool(member) : null;
		return (pool != null && pool.isDirectlyReachable()) ? Optional.of(pool.member().address()) : Optional.empty();
	}

	/**
	 * Creates the handler of a connection over which another daemon forwards statements.
	 * @return the handler, which must be called on the serial executor
	 */
	public PeerHandler forwardingHandler() {
		return new ForwardingHandler(this);
	}

	/**
	 * Closes the sessions that have neither an open transaction nor a statement in
	 * progress.
	 * @return the number of sessions that remain open, including those that other daemons
	 * have forwarded
	 */
	public int closeIdle() {
		List.copyOf(this.sessions).stream().filter(ClientSession::isIdle).forEach(ClientSession::close);
		return this.sessions.size() + this.forwardedSessions.size();
	}

	/**
	 * Closes all sessions. Open transactions are rolled back, and statements in progress
	 * are answered with an error that tells whether they may still take effect.
	 */
	public void closeAll() {
		List.copyOf(this.sessions).forEach(ClientSession::close);
		List.copyOf(this.forwardedSessions).forEach(ForwardedSession::interrupt);
	}

	boolean servesGroup(String group) {
		GroupRouter known = this.routers.get(group);
		return known != null && !known.pools().isEmpty();
	}

	ForwardedSession openForwarded(Route route, String account) {
		ForwardedSession session = new ForwardedSession(this, route, account);
		this.forwardedSessions.add(session);
		return session;
	}

	void forwardedSessionEnded(ForwardedSession session) {
		this.forwardedSessions.remove(session);
	}

	SessionContext context() {
		return this.context;
	}

	RouteTable routes() {
		return this.routes;
	}

	GroupRouter router(String group) {
		return this.routers.computeIfAbsent(group, (name) -> new GroupRouter(name, this.context, this::requestQueued));
	}

	Collection<GroupRouter> routers() {
		return this.routers.values();
	}

	SessionMemory memory() {
		return this.memory;
	}

	/**
	 * Returns the metrics of sessions, statements and connections.
	 * @return the metrics
	 */
	public SessionMetrics metrics() {
		return this.metrics;
	}

	StatementLog statementLog() {
		return this.statementLog;
	}

	void sessionClosed(ClientSession session) {
		this.sessions.remove(session);
	}

	void discardProgressAfterSuspension() {
		if (this.suspensionDetector.haveClocksDiverged(this.context.now(), this.wallClock.getAsLong())) {
			this.routers.values().forEach((router) -> router.progress().clear());
		}
	}

	private void tick() {
		try {
			discardProgressAfterSuspension();
			this.routers.values().forEach(GroupRouter::tick);
		}
		finally {
			scheduleTick();
		}
	}

	private void scheduleTick() {
		this.quiet = this.routers.values().stream().allMatch(GroupRouter::isQuiet);
		long delay = this.quiet ? QUIET_TICK_MILLISECONDS : TICK_MILLISECONDS;
		this.nextTick = this.context.schedule(TimeUnit.MILLISECONDS.toNanos(delay), this::tick);
	}

	// Requests time out with a tick.
	private void requestQueued() {
		if (this.quiet) {
			this.nextTick.cancel(false);
			scheduleTick();
		}
	}

	private void updateMetrics() {
		this.metrics.update(this.sessions.size(), this.forwardedSessions.size(), this.memory.heldBytes(),
				this.routers.values());
	}

}
