package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.engine.session.ReplicationTerm;

/**
 * Sends a command to some members of a group that they answer with their status. The
 * commands precede all statements. A member that refuses its command, states that the
 * command had no effect or loses the connection is asked again, until {@link #close()}.
 */
final class StatusRequests {

	private static final System.Logger LOGGER = System.getLogger(StatusRequests.class.getName());

	/** Delay before a member is asked again. */
	private static final long RETRY_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(15);

	private final SessionContext context;

	private final StatusCommand command;

	private final Map<MemberPool, MemberStatus> knownStatuses;

	private final Map<MemberPool, Consumer<PooledConnection>> waiting = new LinkedHashMap<>();

	private final Set<MemberPool> asked = new HashSet<>();

	private final Map<MemberPool, MemberStatus> answers = new LinkedHashMap<>();

	private final List<PooledConnection> unanswered = new ArrayList<>();

	private ReplicationTerm newestTerm;

	private boolean outdated;

	private boolean closed;

	/**
	 * Creates requests for which no earlier status is known.
	 * @param context scheduling
	 * @param command the command
	 * @param newestTerm newest term that is known
	 */
	StatusRequests(SessionContext context, StatusCommand command, ReplicationTerm newestTerm) {
		this(context, command, newestTerm, Map.of());
	}

	/**
	 * Creates requests.
	 * @param context scheduling
	 * @param command the command
	 * @param newestTerm newest term that is known
	 * @param knownStatuses status of members, which is their answer if they do not know
	 * the command
	 */
	StatusRequests(SessionContext context, StatusCommand command, ReplicationTerm newestTerm,
			Map<MemberPool, MemberStatus> knownStatuses) {
		this.context = context;
		this.command = command;
		this.newestTerm = newestTerm;
		this.knownStatuses = Map.copyOf(knownStatuses);
	}

	/**
	 * Asks a member, as soon as a connection to it is free. An earlier answer is dropped.
	 * @param pool connections to the member
	 */
	void ask(MemberPool pool) {
		if (this.closed) {
			return;
		}
		this.answers.remove(pool);
		Consumer<PooledConnection> user = (connection) -> send(pool, connection);
		this.waiting.put(pool, user);
		pool.acquireNext(user);
	}

	private void send(MemberPool pool, PooledConnection connection) {
		this.waiting.remove(pool);
		this.asked.add(pool);
		this.unanswered.add(connection);
		connection.send(this.command.newCommand(this.newestTerm), (reply) -> {
			if (!this.unanswered.remove(connection)) {
				return;
			}
			answered(pool, reply);
			if (reply.error() == StatementError.CONNECTION_LOST) {
				connection.discard();
			}
			else {
				connection.release();
			}
		});
	}

	private void answered(MemberPool pool, StatementReply reply) {
		Optional<MemberStatus> status = this.context.dialer().status(reply);
		if (status.isPresent()) {
			statusReceived(pool, status.get());
			return;
		}
		LogEvent.MEMBER_ANSWER_REFUSED.log(LOGGER, pool.member().group(), pool.member().member(),
				"invalid status: error=%s rows=%s".formatted(reply.error(), reply.rows()));
		if (reply.error() != StatementError.MALFORMED) {
			askAgainLater(pool);
		}
		else if (this.knownStatuses.containsKey(pool)) {
			this.answers.put(pool, this.knownStatuses.get(pool));
		}
	}

	private void statusReceived(MemberPool pool, MemberStatus status) {
		if (this.command.isOutdated(this.newestTerm, status)) {
			this.outdated = true;
			return;
		}
		this.newestTerm = ReplicationTerm.later(this.newestTerm, status.term());
		if (this.command.hadEffect(status)) {
			this.answers.put(pool, status);
			return;
		}
		LogEvent.MEMBER_COMMAND_WITHOUT_EFFECT.log(LOGGER, pool.member().group(), pool.member().member(), this.command,
				status);
		askAgainLater(pool);
	}

	private void askAgainLater(MemberPool pool) {
		this.context.schedule(RETRY_DELAY_NANOSECONDS, () -> ask(pool));
	}

	/**
	 * Returns the members that a request was sent to.
	 * @return the number of members
	 */
	int askedCount() {
		return this.asked.size();
	}

	/**
	 * Tells whether a member has stated that it was too late for the command.
	 * @return {@code true} if the decision to send it has to be made again
	 */
	boolean isOutdated() {
		return this.outdated;
	}

	/**
	 * Tells whether no request is waiting for a connection or an answer.
	 * @return {@code false} if a member is still to be asked or has not answered yet
	 */
	boolean isComplete() {
		return this.waiting.isEmpty() && this.answers.size() == this.asked.size();
	}

	/**
	 * Returns the answers so far of members that have carried the command out.
	 * @return the status by member
	 */
	Map<MemberPool, MemberStatus> answers() {
		return this.answers;
	}

	/**
	 * Withdraws the requests that were not sent, and closes the connections whose
	 * requests were not answered.
	 */
	void close() {
		this.closed = true;
		this.waiting.forEach(MemberPool::cancelAcquire);
		this.waiting.clear();
		List<PooledConnection> withoutAnswer = List.copyOf(this.unanswered);
		this.unanswered.clear();
		withoutAnswer.forEach(PooledConnection::discard);
	}

}
