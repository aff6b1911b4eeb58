package org.magnolialead.daemon.session;

import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.magnolialead.api.LogPosition;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.engine.session.ConnectionState;
import org.magnolialead.engine.session.ConnectionState.AlignmentStep;
import org.magnolialead.engine.session.PreparedStatement;
import org.magnolialead.engine.session.SelectableConnection;

/**
 * Member connection that the sessions of one client account share, or all sessions if
 * there are no accounts. It is used exclusively between {@link #acquire(long)} and
 * {@link #release()}.
 */
final class PooledConnection implements MemberChannelListener, SelectableConnection {

	/**
	 * Multiple of the smoothed time for which requests use a connection, after which it
	 * is not expected to become free soon.
	 */
	private static final int USUAL_USE_FACTOR = 2;

	private final MemberPool pool;

	private final boolean relayed;

	private final String account;

	private final ConnectionState state = new ConnectionState();

	private MemberChannel channel;

	private boolean inUse;

	private long acquiredAt;

	private long releasedAt;

	private boolean lossRecorded;

	/** Priority of the statement or transaction that uses the connection. */
	private int priority;

	/** Whether a statement was sent since the connection was acquired. */
	private boolean statementSent;

	private int unansweredStatements;

	private long statementSentAt;

	/**
	 * Creates a connection that is not open yet.
	 * @param pool connections to the member
	 * @param relayed whether another daemon relays the connection
	 * @param account client account that it serves, or an empty string
	 */
	PooledConnection(MemberPool pool, boolean relayed, String account) {
		this.pool = pool;
		this.relayed = relayed;
		this.account = account;
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

	@Override
	public String account() {
		return this.account;
	}

	@Override
	public boolean isFree() {
		return !this.inUse && this.channel.isOpen();
	}

	boolean isOpen() {
		return this.channel.isOpen();
	}

	boolean isInUse() {
		return this.inUse;
	}

	// Transactions may occupy a connection for seconds.
	@Override
	public boolean isFreeSoon() {
		return this.inUse && this.pool.now() - this.acquiredAt < USUAL_USE_FACTOR * this.pool.serviceNanoseconds();
	}

	@Override
	public long releasedAt() {
		return this.releasedAt;
	}

	@Override
	public int alignmentCost(Map<String, String> sessionVariables) {
		return this.state.alignmentCost(sessionVariables);
	}

	/**
	 * Tells whether the member executes a statement of the connection or is about to
	 * receive one. A transaction between two statements does not occupy the member.
	 * @return {@code true} if the connection counts as in flight
	 */
	boolean isInFlight() {
		return this.inUse && (this.unansweredStatements > 0 || !this.statementSent);
	}

	void priority(int current) {
		this.priority = current;
	}

	void acquire(long now) {
		this.inUse = true;
		this.statementSent = false;
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
		if (this.inUse && this.unansweredStatements > 0) {
			this.pool.statementAbandoned(this.priority, this.pool.now() - this.statementSentAt);
		}
		this.lossRecorded = true;
		this.inUse = false;
		this.channel.close();
		this.pool.discarded(this);
	}

	@Override
	public void closed() {
		this.pool.discarded(this);
	}

	@Override
	public void replyRepeated() {
		this.pool.replyRepeated();
	}

	@Override
	public boolean repeatsReplies() {
		return this.pool.repeatsReplies();
	}

	@Override
	public void replyRefused() {
		this.pool.metrics().replyRefused();
		if (this.channel != null) {
			// The member has answered, so the loss of the connection is no failure of it.
			this.lossRecorded = true;
			this.pool.responseReceived();
		}
	}

	@Override
	public void probeSent() {
		this.pool.metrics().probeSent();
	}

	/**
	 * Returns the steps that are missing until this connection is known to be aligned
	 * with a session.
	 * @param sessionVariables variables of the session by name
	 * @param statement prepared statement that runs next, or {@code null}
	 * @return the steps in order; empty if the connection is aligned
	 */
	List<AlignmentStep> alignmentSteps(Map<String, String> sessionVariables, PreparedStatement statement) {
		return this.state.stepsTo(sessionVariables, statement);
	}

	/**
	 * Sends the missing steps of an alignment without waiting for their answers. No
	 * statement of the session may be sent before {@link #whenAligned} permits it.
	 * @param sessionVariables variables of the session by name
	 * @param statement prepared statement that runs next, or {@code null}
	 */
	void startAlignment(Map<String, String> sessionVariables, PreparedStatement statement) {
		alignmentSteps(sessionVariables, statement).forEach((step) -> sendStep(step, this::send, (reply) -> {
		}));
	}

	/**
	 * Aligns the connection with a session and waits until the member has confirmed this.
	 * @param sessionVariables variables of the session by name
	 * @param statement prepared statement that runs next, or {@code null}
	 * @param aligned called when a statement of the session may be sent, immediately if
	 * the connection is aligned
	 * @param failed receives the answer due to which the connection is not aligned
	 */
	void whenAligned(Map<String, String> sessionVariables, PreparedStatement statement, Runnable aligned,
			Consumer<StatementReply> failed) {
		new ConnectionAlignment(this, sessionVariables, statement, aligned, failed).start();
	}

	/**
	 * Sends a step of an alignment.
	 * @param step the step
	 * @param sender sends the command and its handler
	 * @param handler receives the answer, after its effect was recorded
	 */
	void sendStep(AlignmentStep step, BiConsumer<MemberCommand, Consumer<StatementReply>> sender,
			Consumer<StatementReply> handler) {
		step.sentOn(this.state);
		sender.accept(MemberCommand.of(step), (reply) -> {
			if (reply.isDone()) {
				step.confirmedOn(this.state);
			}
			handler.accept(reply);
		});
	}

	/**
	 * Sends a statement of the session with which this connection is aligned.
	 * @param statement the statement
	 * @param prepared the prepared statement that it executes, or {@code null}
	 * @param after log position that the member must have applied, or {@code null} for
	 * none
	 * @param handler receives the answer
	 */
	void sendStatement(ClientStatement statement, PreparedStatement prepared, LogPosition after,
			Consumer<StatementReply> handler) {
		long sentAt = this.pool.now();
		this.statementSent = true;
		this.statementSentAt = sentAt;
		this.unansweredStatements++;
		this.pool.statementStarted();
		send(MemberCommand.of(statement, prepared, after), (reply) -> {
			this.unansweredStatements--;
			// A commit executes no statement, so its time is not comparable.
			if (statement.verb() != ClientStatement.Verb.COMMIT) {
				this.pool.statementAnswered(this.priority, reply, this.pool.now() - sentAt);
			}
			if (reply.error() == StatementError.NOT_PREPARED && prepared != null) {
				this.state.notPrepared(prepared);
			}
			handler.accept(reply);
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
	 * Sends a command that does not wait for a slot of the member: a begin of a
	 * transaction or a step of an alignment. A member answers it immediately, so a
	 * timeout means that the member or the path to it has failed. The connection is then
	 * closed, which rolls a transaction back, and the handler receives
	 * {@link StatementReply#CONNECTION_LOST}.
	 * @param command the command
	 * @param handler receives the answer
	 */
	void sendUnqueued(MemberCommand command, Consumer<StatementReply> handler) {
		UnqueuedCommandTimer timer = new UnqueuedCommandTimer(this, handler);
		timer.start();
		send(command, timer::answered);
	}

}
