package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;

import org.magnolialead.api.FleetView;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.RouteTable;
import org.magnolialead.engine.session.PreparedStatement;
import org.magnolialead.engine.session.SuspensionDetector;

/**
 * Sessions of this daemon and the groups that serve them. All methods but
 * {@link #viewChanged(FleetView)} and {@link #isServing()} are called on the serial
 * executor.
 */
public final class SessionService {

	private static final long TICK_MILLISECONDS = 20;

	private final SessionServices services;

	private final LongSupplier wallClock;

	private final SuspensionDetector suspension;

	private final Map<String, GroupRouter> routers = new HashMap<>();

	private final Set<ClientSession> sessions = new HashSet<>();

	private final Map<String, PreparedStatement> prepared = new HashMap<>();

	private final List<Runnable> waitingForRoutes = new ArrayList<>();

	private final StatementLog log;

	private final SessionMetrics metrics = new SessionMetrics();

	private volatile RouteTable routes = RouteTable.EMPTY;

	/**
	 * Creates a service without groups.
	 * @param daemon name of this daemon
	 * @param loop serial executor on which everything runs
	 * @param clock clock for all deadlines
	 * @param wallClock wall clock in milliseconds, read only to notice a suspension
	 * @param dialer opens connections to members
	 */
	public SessionService(String daemon, ScheduledExecutorService loop, MonotonicClock clock, LongSupplier wallClock,
			MemberDialer dialer) {
		this.services = new SessionServices(loop, clock, dialer, new RelayList(daemon));
		this.wallClock = wallClock;
		this.log = new StatementLog(this.services);
		this.suspension = new SuspensionDetector(clock.nanoseconds(), wallClock.getAsLong());
	}

	/**
	 * Starts the regular work.
	 */
	public void start() {
		this.services.repeat(TICK_MILLISECONDS, this::tick);
	}

	/**
	 * Applies a new fleet view. May be called on any thread.
	 * @param view the new view
	 */
	public void viewChanged(FleetView view) {
		this.services.execute(() -> apply(view));
	}

	private void apply(FleetView view) {
		this.routes = view.configuration().routes();
		this.services.relays().update(view);
		if (isServing()) {
			List<Runnable> tasks = List.copyOf(this.waitingForRoutes);
			this.waitingForRoutes.clear();
			tasks.forEach(Runnable::run);
		}
		int daemons = (int) view.daemons().values().stream().filter((daemon) -> !daemon.draining()).count();
		view.groups().values().forEach((group) -> {
			Integer limit = this.routes.connectionLimits().get(group.group());
			if (limit != null) {
				router(group.group()).viewChanged(group, limit, daemons);
			}
		});
	}

	/**
	 * Tells whether clients can be served.
	 * @return {@code true} once routes are known
	 */
	public boolean isServing() {
		return this.routes.number() > 0;
	}

	/**
	 * Opens a session.
	 * @param database name of the database
	 * @param channel connection of the client
	 * @return the session, or empty if there is no such database
	 */
	public Optional<ClientSession> open(String database, ClientChannel channel) {
		if (this.routes.route(database).isEmpty()) {
			return Optional.empty();
		}
		ClientSession session = new ClientSession(this, channel, database);
		this.sessions.add(session);
		return Optional.of(session);
	}

	/**
	 * Runs a task once routes are known. A daemon that was just started must not tell
	 * clients that there is no such database.
	 * @param task the task, run at once if routes are known
	 */
	public void whenServing(Runnable task) {
		if (isServing()) {
			task.run();
		}
		else {
			this.waitingForRoutes.add(task);
		}
	}

	/**
	 * Returns the address of a member for a daemon that asks to relay a connection.
	 * @param group name of the group
	 * @param member name of the member
	 * @return the address, or empty if this daemon does not reach the member directly
	 */
	public Optional<String> reachedMember(String group, String member) {
		GroupRouter router = this.routers.get(group);
		MemberPool pool = (router != null) ? router.pool(member) : null;
		return (pool != null && pool.isReachedDirectly()) ? Optional.of(pool.member().address()) : Optional.empty();
	}

	/**
	 * Closes the sessions that are between two operations.
	 * @return the number of sessions that remain
	 */
	public int closeIdle() {
		List.copyOf(this.sessions).stream().filter(ClientSession::isIdle).forEach(ClientSession::end);
		return this.sessions.size();
	}

	/**
	 * Closes all sessions. Open transactions are rolled back.
	 */
	public void closeAll() {
		List.copyOf(this.sessions).forEach(ClientSession::end);
	}

	SessionServices services() {
		return this.services;
	}

	RouteTable routes() {
		return this.routes;
	}

	GroupRouter router(String group) {
		return this.routers.computeIfAbsent(group, (name) -> new GroupRouter(name, this.services));
	}

	Collection<GroupRouter> routers() {
		return this.routers.values();
	}

	/**
	 * Returns a prepared statement with a name that is the same for all sessions.
	 * @param writes whether it writes
	 * @param shape what the client prepared
	 * @return the statement
	 */
	PreparedStatement prepared(boolean writes, String shape) {
		String key = (writes ? "w" : "r") + shape;
		return this.prepared.computeIfAbsent(key,
				(text) -> new PreparedStatement(writes, shape, "p" + this.prepared.size()));
	}

	/**
	 * Returns what this daemon counts.
	 * @return the metrics
	 */
	public SessionMetrics metrics() {
		return this.metrics;
	}

	StatementLog log() {
		return this.log;
	}

	void closed(ClientSession session) {
		this.sessions.remove(session);
	}

	void checkSuspension() {
		if (this.suspension.haveClocksDiverged(this.services.now(), this.wallClock.getAsLong())) {
			this.routers.values().forEach((router) -> router.progress().clear());
		}
	}

	private void tick() {
		checkSuspension();
		this.routers.values().forEach(GroupRouter::tick);
		this.metrics.update(this.sessions.size(), this.routers.values());
	}

}
