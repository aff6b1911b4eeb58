package org.magnolialead.daemon.session;

import java.util.Map;
import java.util.function.Consumer;

import org.magnolialead.engine.session.ConnectionValues;
import org.magnolialead.engine.session.PreparedStatement;

/**
 * Member connection that the sessions of this daemon share. Whoever takes it has it alone
 * until it is returned.
 */
final class PooledConnection {

	private final MemberPool pool;

	private final ConnectionValues values = new ConnectionValues();

	private MemberChannel channel;

	private boolean taken;

	private long takenAt;

	private long returnedAt;

	PooledConnection(MemberPool pool) {
		this.pool = pool;
	}

	void opened(MemberChannel openedChannel, long now) {
		this.channel = openedChannel;
		this.returnedAt = now;
	}

	MemberPool pool() {
		return this.pool;
	}

	boolean isFree() {
		return !this.taken && this.channel.isOpen();
	}

	boolean isTaken() {
		return this.taken;
	}

	long returnedAt() {
		return this.returnedAt;
	}

	int distance(Map<String, String> wanted) {
		return this.values.distance(wanted);
	}

	void take(long now) {
		this.taken = true;
		this.takenAt = now;
	}

	/**
	 * Returns the connection to its pool.
	 */
	void release() {
		if (!this.taken) {
			return;
		}
		this.taken = false;
		this.returnedAt = this.pool.now();
		this.pool.released(this, this.returnedAt - this.takenAt);
	}

	/**
	 * Closes the connection because its state is not known. The member rolls back.
	 */
	void discard() {
		this.taken = false;
		this.channel.close();
		this.pool.discarded(this);
	}

	/**
	 * Gives the connection the values and the prepared statement that a session relies
	 * on.
	 * @param wanted values of the session
	 * @param statement prepared statement that is about to run, or {@code null}
	 */
	void align(Map<String, String> wanted, PreparedStatement statement) {
		ConnectionValues.Alignment alignment = this.values.align(wanted, statement);
		if (alignment.reset()) {
			sendAlignment(MemberCommand.own(MemberCommand.Kind.RESET));
		}
		alignment.values()
			.forEach((name, value) -> sendAlignment(MemberCommand.own(MemberCommand.Kind.SET, name, value)));
		if (alignment.statement() != null) {
			PreparedStatement prepared = alignment.statement();
			MemberCommand.Kind kind = prepared.writes() ? MemberCommand.Kind.PREPARE_WRITE
					: MemberCommand.Kind.PREPARE_READ;
			sendAlignment(MemberCommand.own(kind, prepared.sharedName(), prepared.shape()));
		}
	}

	// The statement follows without waiting. If a step fails the connection is closed, so
	// that no later statement runs with other values.
	private void sendAlignment(MemberCommand command) {
		send(command, (reply) -> {
			if (!reply.isDone()) {
				this.channel.close();
			}
		});
	}

	void send(MemberCommand command, Consumer<StatementReply> handler) {
		this.pool.asked();
		this.channel.send(command, (reply) -> {
			this.pool.replied(reply);
			handler.accept(reply);
		});
	}

}
