package org.magnolialead.daemon.session;

import java.util.Map;
import java.util.function.Consumer;

import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.engine.session.ConnectionState;
import org.magnolialead.engine.session.PreparedStatement;

/**
 * Member connection that the sessions of this daemon share. It is used exclusively
 * between {@link #acquire(long)} and {@link #release()}.
 */
final class PooledConnection {

	private final MemberPool pool;

	private final boolean relayed;

	private final ConnectionState state = new ConnectionState();

	private MemberChannel channel;

	private boolean inUse;

	private long acquiredAt;

	private long releasedAt;

	private boolean lossRecorded;

	PooledConnection(MemberPool pool, boolean relayed) {
		this.pool = pool;
		this.relayed = relayed;
	}

	void opened(MemberChannel openedChannel, long now) {
		this.channel = openedChannel;
		this.releasedAt = now;
	}

	MemberPool pool() {
		return this.pool;
	}

	/**
	 * Tells whether another daemon relays the connection.
	 * @return {@code false} for a direct connection
	 */
	boolean isRelayed() {
		return this.relayed;
	}

	boolean isFree() {
		return !this.inUse && this.channel.isOpen();
	}

	boolean isOpen() {
		return this.channel.isOpen();
	}

	boolean isInUse() {
		return this.inUse;
	}

	long releasedAt() {
		return this.releasedAt;
	}

	int alignmentCost(Map<String, String> sessionVariables) {
		return this.state.alignmentCost(sessionVariables);
	}

	void acquire(long now) {
		this.inUse = true;
		this.acquiredAt = now;
	}

	/**
	 * Returns the connection to its pool.
	 */
	void release() {
		if (!this.inUse) {
			return;
		}
		this.inUse = false;
		this.releasedAt = this.pool.now();
		this.pool.released(this, this.releasedAt - this.acquiredAt);
	}

	/**
	 * Closes the connection because its state is not known. The member rolls back an open
	 * transaction.
	 */
	void discard() {
		this.lossRecorded = true;
		this.inUse = false;
		this.channel.close();
		this.pool.discarded(this);
	}

	/**
	 * Aligns the connection with a session: sets its session variables and prepares its
	 * statement.
	 * @param sessionVariables variables of the session by name
	 * @param statement prepared statement that runs next, or {@code null}
	 */
	void align(Map<String, String> sessionVariables, PreparedStatement statement) {
		ConnectionState.Alignment alignment = this.state.align(sessionVariables, statement);
		if (alignment.reset()) {
			sendAlignment(MemberCommand.internal(MemberCommand.Kind.RESET));
		}
		alignment.variables()
			.forEach((name, value) -> sendAlignment(MemberCommand.internal(MemberCommand.Kind.SET, name, value)));
		if (alignment.statement() != null) {
			PreparedStatement prepared = alignment.statement();
			MemberCommand.Kind kind = prepared.writes() ? MemberCommand.Kind.PREPARE_WRITE
					: MemberCommand.Kind.PREPARE_READ;
			sendAlignment(MemberCommand.internal(kind, prepared.sharedName(), prepared.text()));
		}
	}

	// The statement is sent without waiting for the answer. If a step fails the
	// connection is closed, so that no later statement runs with wrong session
	// variables.
	private void sendAlignment(MemberCommand command) {
		send(command, (reply) -> {
			if (!reply.isDone()) {
				this.channel.close();
			}
		});
	}

	void send(MemberCommand command, Consumer<StatementReply> handler) {
		this.pool.requestSent();
		this.channel.send(command, (reply) -> {
			if (reply.error() != StatementError.CONNECTION_LOST) {
				this.pool.responseReceived();
			}
			else if (!this.lossRecorded) {
				// Several commands may be pending on a lost connection; the loss is
				// recorded once.
				this.lossRecorded = true;
				this.pool.connectionLost();
			}
			handler.accept(reply);
		});
	}

	/**
	 * Begins a transaction. A member answers this immediately even if all its slots are
	 * occupied, so a timeout means that the member or the path to it has failed. The
	 * connection is then closed, which rolls the transaction back, and the handler
	 * receives {@link StatementReply#CONNECTION_LOST}.
	 * @param command the command that begins the transaction
	 * @param handler receives the answer
	 */
	void begin(MemberCommand command, Consumer<StatementReply> handler) {
		BeginTimer timer = new BeginTimer(this, handler);
		timer.start();
		send(command, timer::answered);
	}

}
