package org.magnolialead.daemon.session;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Waits for the answer to the begin of a transaction, and closes the connection if it
 * stays silent.
 */
final class BeginWatch {

	/** Lets answers that have arrived already be read first. */
	private static final long READ_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(5);

	private final PooledConnection connection;

	private final MemberPool pool;

	private final Consumer<StatementReply> handler;

	private final long sentAt;

	private Future<?> timer;

	private boolean over;

	BeginWatch(PooledConnection connection, Consumer<StatementReply> handler) {
		this.connection = connection;
		this.pool = connection.pool();
		this.handler = handler;
		this.sentAt = this.pool.now();
	}

	void start() {
		this.timer = this.pool.after(this.pool.beginLimit(),
				() -> this.timer = this.pool.after(READ_NANOSECONDS, this::silent));
	}

	void answered(StatementReply reply) {
		if (this.over) {
			return;
		}
		this.over = true;
		this.timer.cancel(false);
		if (reply.error() != StatementError.CONNECTION_LOST) {
			this.pool.begun(this.pool.now() - this.sentAt);
		}
		this.handler.accept(reply);
	}

	private void silent() {
		if (this.over) {
			return;
		}
		this.over = true;
		this.pool.silent(this.connection);
		this.connection.discard();
		this.handler.accept(StatementReply.CONNECTION_LOST);
	}

}
