package org.magnolialead.daemon.session;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;

/**
 * Waits for the answer to a command that does not wait for a slot of the member, and
 * closes the connection if the answer times out.
 */
final class UnqueuedCommandTimer {

	/**
	 * Additional delay after the timeout, so that answers that have already arrived are
	 * read first.
	 */
	private static final long READ_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(5);

	private final PooledConnection connection;

	private final MemberPool pool;

	private final Consumer<StatementReply> handler;

	private final long sentAt;

	private Future<?> timeout;

	private boolean completed;

	UnqueuedCommandTimer(PooledConnection connection, Consumer<StatementReply> handler) {
		this.connection = connection;
		this.pool = connection.pool();
		this.handler = handler;
		this.sentAt = this.pool.now();
	}

	void start() {
		this.timeout = this.pool.schedule(this.pool.unqueuedCommandTimeout(),
				() -> this.timeout = this.pool.schedule(READ_DELAY_NANOSECONDS, this::timedOut));
	}

	void answered(StatementReply reply) {
		if (this.completed) {
			return;
		}
		this.completed = true;
		this.timeout.cancel(false);
		if (reply.error() != StatementError.CONNECTION_LOST) {
			this.pool.unqueuedCommandAnswered(this.pool.now() - this.sentAt);
		}
		this.handler.accept(reply);
	}

	private void timedOut() {
		if (this.completed) {
			return;
		}
		this.completed = true;
		this.pool.unqueuedCommandTimedOut(this.connection);
		this.connection.discard();
		this.handler.accept(StatementReply.CONNECTION_LOST);
	}

}
