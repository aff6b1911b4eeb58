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

/**
 * Sends a command to some members of a group that they answer with their status. The
 * commands precede all statements, and a member that refuses its command or loses the
 * connection is asked again, until {@link #close()}.
 */
final class StatusRequests {

	private static final System.Logger LOGGER = System.getLogger(StatusRequests.class.getName());

	/** Delay before a member is asked again. */
	private static final long RETRY_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(15);

	private final SessionContext context;

	private final MemberCommand command;

	private final Map<MemberPool, MemberStatus> knownStatuses;

	private final Map<MemberPool, Consumer<PooledConnection>> waiting = new LinkedHashMap<>();

	private final Set<MemberPool> asked = new HashSet<>();

	private final Map<MemberPool, MemberStatus> answers = new LinkedHashMap<>();

	private final List<PooledConnection> unanswered = new ArrayList<>();

	private boolean closed;

	/**
	 * Creates requests for the status alone.
	 * @param context scheduling
	 */
	StatusRequests(SessionContext context) {
		this(context, MemberCommand.internal(MemberCommand.Kind.STATUS), Map.of());
	}

	/**
	 * Creates requests of a command that is answered with the status.
	 * @param context scheduling
	 * @param command the command
	 * @param knownStatuses status of members, which is their answer if they do not know
	 * the command
	 */
	StatusRequests(SessionContext context, MemberCommand command, Map<MemberPool, MemberStatus> knownStatuses) {
		this.context = context;
		this.command = command;
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
		connection.send(this.command, (reply) -> {
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
			this.answers.put(pool, status.get());
			return;
		}
		LogEvent.MEMBER_ANSWER_REFUSED.log(LOGGER, pool.member().group(), pool.member().member(),
				"invalid status: error=%s rows=%s".formatted(reply.error(), reply.rows()));
		if (reply.error() != StatementError.MALFORMED) {
			this.context.schedule(RETRY_DELAY_NANOSECONDS, () -> ask(pool));
		}
		else if (this.knownStatuses.containsKey(pool)) {
			this.answers.put(pool, this.knownStatuses.get(pool));
		}
	}

	/**
	 * Returns the members that a request was sent to.
	 * @return the number of members
	 */
	int askedCount() {
		return this.asked.size();
	}

	/**
	 * Returns the answers so far.
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
