package org.magnolialead.daemon.session;

import java.util.Map;
import java.util.function.Consumer;

import org.magnolialead.api.Route;
import org.magnolialead.engine.session.ReadPlan;

/**
 * Work of a session that waits for a member connection.
 */
final class Work implements Comparable<Work> {

	private final Route route;

	private final ReadPlan plan;

	private final Map<String, String> values;

	private final long deadline;

	private final long elsewhereAt;

	private final long giveUpAt;

	private final MemberPool avoided;

	private final Consumer<PooledConnection> granted;

	private final Consumer<StatementError> refused;

	private long sequence;

	private boolean cancelled;

	/**
	 * Creates work.
	 * @param route route of the session
	 * @param plan where it may run
	 * @param values values of the session
	 * @param deadline time in nanoseconds by which the statement must be answered
	 * @param elsewhereAt time in nanoseconds at which it is refused if this daemon has no
	 * member for it
	 * @param giveUpAt time in nanoseconds at which it is refused if it still waits
	 * @param avoided member that should not serve it, or {@code null}
	 * @param granted receives the connection, which is taken
	 * @param refused receives the reason if it does not run
	 */
	Work(Route route, ReadPlan plan, Map<String, String> values, long deadline, long elsewhereAt, long giveUpAt,
			MemberPool avoided, Consumer<PooledConnection> granted, Consumer<StatementError> refused) {
		this.route = route;
		this.plan = plan;
		this.values = values;
		this.deadline = deadline;
		this.elsewhereAt = elsewhereAt;
		this.giveUpAt = giveUpAt;
		this.avoided = avoided;
		this.granted = granted;
		this.refused = refused;
	}

	ReadPlan plan() {
		return this.plan;
	}

	Map<String, String> values() {
		return this.values;
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

	void sequence(long number) {
		this.sequence = number;
	}

	void cancel() {
		this.cancelled = true;
	}

	boolean isCancelled() {
		return this.cancelled;
	}

	boolean shouldGoElsewhere(long now) {
		return now - this.elsewhereAt >= 0;
	}

	boolean isOverdue(long now) {
		return now - this.giveUpAt >= 0;
	}

	void grant(PooledConnection connection) {
		this.granted.accept(connection);
	}

	void refuse(StatementError error) {
		this.refused.accept(error);
	}

	@Override
	public int compareTo(Work other) {
		int byPriority = Integer.compare(this.route.priority(), other.route.priority());
		return (byPriority != 0) ? byPriority : Long.compare(this.sequence, other.sequence);
	}

}
