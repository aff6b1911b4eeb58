package org.magnolialead.daemon.session;

import java.util.Map;
import java.util.function.Consumer;

import org.magnolialead.api.Route;
import org.magnolialead.engine.queue.QueueLane;
import org.magnolialead.engine.queue.QueueRefusal;
import org.magnolialead.engine.queue.ServiceTimes.Work;
import org.magnolialead.engine.session.ReadPlan;

/**
 * Request of a statement or transaction for a member connection.
 */
final class ConnectionRequest {

	private final Route route;

	private final String account;

	private final Work work;

	private final ReadPlan plan;

	private final Map<String, String> sessionVariables;

	private final long deadline;

	private final long unavailableMemberTimeoutAt;

	private final long queueTimeoutAt;

	private final MemberPool avoided;

	private final Consumer<PooledConnection> onGranted;

	private final Consumer<QueueRefusal> onRefused;

	private boolean cancelled;

	/**
	 * Creates a request.
	 * @param route route of the session
	 * @param account client account of the session, or an empty string
	 * @param work kind of the work that will occupy the connection
	 * @param plan members on which the statement may run
	 * @param sessionVariables variables of the session by name
	 * @param deadline time in nanoseconds by which the statement must be answered
	 * @param unavailableMemberTimeoutAt time in nanoseconds at which the request is
	 * refused if this daemon has no connection to a member that can serve it
	 * @param queueTimeoutAt time in nanoseconds at which the request is refused if it
	 * still waits
	 * @param avoided member that is not used as a replica for this request, or
	 * {@code null}
	 * @param onGranted receives the connection, which is reserved for the caller
	 * @param onRefused receives the reason if the request is refused
	 */
	ConnectionRequest(Route route, String account, Work work, ReadPlan plan, Map<String, String> sessionVariables,
			long deadline, long unavailableMemberTimeoutAt, long queueTimeoutAt, MemberPool avoided,
			Consumer<PooledConnection> onGranted, Consumer<QueueRefusal> onRefused) {
		this.route = route;
		this.account = account;
		this.work = work;
		this.plan = plan;
		this.sessionVariables = sessionVariables;
		this.deadline = deadline;
		this.unavailableMemberTimeoutAt = unavailableMemberTimeoutAt;
		this.queueTimeoutAt = queueTimeoutAt;
		this.avoided = avoided;
		this.onGranted = onGranted;
		this.onRefused = onRefused;
	}

	String account() {
		return this.account;
	}

	Route route() {
		return this.route;
	}

	Work work() {
		return this.work;
	}

	QueueLane lane() {
		return new QueueLane(this.plan.onReplica(), this.avoided);
	}

	ReadPlan plan() {
		return this.plan;
	}

	Map<String, String> sessionVariables() {
		return this.sessionVariables;
	}

	int priority() {
		return this.route.priority();
	}

	long deadline() {
		return this.deadline;
	}

	MemberPool avoided() {
		return this.avoided;
	}

	void cancel() {
		this.cancelled = true;
	}

	boolean isCancelled() {
		return this.cancelled;
	}

	boolean isUnavailableMemberTimeoutReached(long now) {
		return now - this.unavailableMemberTimeoutAt >= 0;
	}

	boolean isQueueTimeoutReached(long now) {
		return now - this.queueTimeoutAt >= 0;
	}

	void grant(PooledConnection connection) {
		this.onGranted.accept(connection);
	}

	void refuse(QueueRefusal reason) {
		this.onRefused.accept(reason);
	}

}
