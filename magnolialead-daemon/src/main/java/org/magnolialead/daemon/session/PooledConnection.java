package org.magnolialead.daemon.session;

import java.util.Map;
import java.util.function.Consumer;

import org.magnolialead.engine.session.ConnectionState;
import org.magnolialead.engine.session.PreparedStatement;

/**
 * Member connection that the sessions of this daemon share. Whoever takes it has it alone
 * until it is returned.
 */
final class PooledConnection {

	private final MemberPool pool;

	private final boolean relayed;

	private final ConnectionState values = new ConnectionState();

	private MemberChannel channel;

	private boolean taken;

	private long takenAt;

	private long returnedAt;

	private boolean lossNoted;

	PooledConnection(MemberPool pool, boolean relayed) {
		this.pool = pool;
		this.relayed = relayed;
	}

	void opened(MemberChannel openedChannel, long now) {
		this.channel = openedChannel;
		this.returnedAt = now;
	}

	MemberPool pool() {
		return this.pool;
	}

	/**
	 * Tells whether another daemon relays the connection.
	 * @return {@code true} if it is not a direct one
	 */
	boolean isRelayed() {
		return this.relayed;
	}

	boolean isFree() {
		return !this.taken && this.channel.isOpen();
	}

	boolean isOpen() {
		return this.channel.isOpen();
	}

	boolean isTaken() {
		return this.taken;
	}

	long returnedAt() {
		return this.returnedAt;
	}

	int distance(Map<String, String> wanted) {
		return this.values.alignmentCost(wanted);
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
		this.lossNoted = true;
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
		ConnectionState.Alignment alignment = this.values.align(wanted, statement);
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
			if (reply.error() != StatementError.CONNECTION_LOST) {
				this.pool.answered();
			}
			else if (!this.lossNoted) {
				// Commands that share a lost connection tell only once of it.
				this.lossNoted = true;
				this.pool.lost();
			}
			handler.accept(reply);
		});
	}

	/**
	 * Begins a transaction. A member answers that at once even if all its slots are
	 * taken, so silence means that the path to it or the member itself has failed. The
	 * connection is closed then, which undoes the begin, and the answer is
	 * {@link StatementReply#LOST}.
	 * @param command the command that begins the transaction
	 * @param handler receives the answer
	 */
	void begin(MemberCommand command, Consumer<StatementReply> handler) {
		BeginWatch watch = new BeginWatch(this, handler);
		watch.start();
		send(command, watch::answered);
	}

}
