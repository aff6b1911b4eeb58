package org.magnolialead.daemon.session;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.LogPosition;
import org.magnolialead.api.Route;
import org.magnolialead.engine.session.PreparedStatement;
import org.magnolialead.engine.session.ReadPlan;

/**
 * Session of a database client: its values, prepared statements, transaction and the
 * position of its last commit. Statements are answered in order.
 */
public final class ClientSession {

	/** Statements that may wait in one session; a client that sends more is cut off. */
	private static final int MAXIMUM_WAITING = 256;

	private final SessionService service;

	private final ClientChannel channel;

	private final String database;

	private final Map<String, String> values = new HashMap<>();

	private final Map<String, PreparedStatement> prepared = new HashMap<>();

	private final Deque<ClientStatement> waiting = new ArrayDeque<>();

	private SessionState state = SessionState.IDLE;

	private Route route;

	private GroupRouter router;

	private LogPosition position = LogPosition.NONE;

	private Transaction transaction;

	private SingleStatement single;

	private ClientStatement current;

	private Future<?> idleTimer;

	private boolean idleEnded;

	private boolean closed;

	ClientSession(SessionService service, ClientChannel channel, String database) {
		this.service = service;
		this.channel = channel;
		this.database = database;
	}

	SessionServices services() {
		return this.service.services();
	}

	Route route() {
		return this.route;
	}

	GroupRouter router() {
		return this.router;
	}

	StatementLog log() {
		return this.service.log();
	}

	String database() {
		return this.database;
	}

	Map<String, String> values() {
		return this.values;
	}

	/**
	 * Tells whether the client is between two operations.
	 * @return {@code true} without a transaction and without a statement in progress
	 */
	boolean isIdle() {
		return this.state == SessionState.IDLE && this.current == null && this.waiting.isEmpty();
	}

	ReadPlan readPlan(long receivedAt) {
		this.service.checkSuspension();
		return ReadPlan.of(this.route, this.position, this.router.progress(), receivedAt);
	}

	MemberCommand command(ClientStatement statement, PreparedStatement executed, LogPosition after) {
		return (executed != null) ? MemberCommand.execute(statement, executed, after)
				: MemberCommand.forward(statement, after);
	}

	void committed(LogPosition committedAt) {
		if (committedAt != null) {
			this.position = LogPosition.later(this.position, committedAt);
		}
	}

	/**
	 * Takes a statement of the client.
	 * @param statement the statement
	 */
	public void receive(ClientStatement statement) {
		if (this.closed) {
			return;
		}
		this.waiting.add(statement);
		if (this.waiting.size() > MAXIMUM_WAITING) {
			this.channel.close();
			clientDisconnected();
			return;
		}
		next();
	}

	private void next() {
		while (this.current == null && !this.closed) {
			ClientStatement statement = this.waiting.poll();
			if (statement == null) {
				startIdleTimer();
				return;
			}
			stopIdleTimer();
			this.current = statement;
			start(statement);
		}
	}

	private void start(ClientStatement statement) {
		if (this.state == SessionState.FAILED_TRANSACTION) {
			startInFailedTransaction(statement);
			return;
		}
		switch (statement.verb()) {
			case SET -> {
				this.values.put(statement.name(), statement.argument());
				done();
			}
			case PREPARE_READ, PREPARE_WRITE -> {
				boolean writes = statement.verb() == ClientStatement.Verb.PREPARE_WRITE;
				this.prepared.put(statement.name(), this.service.prepared(writes, statement.argument()));
				done();
			}
			case CLOSE -> {
				this.prepared.remove(statement.name());
				done();
			}
			case BEGIN, BEGIN_READ -> begin(statement);
			case ROLLBACK -> rollBack();
			case COMMIT -> commit(statement);
			case READ -> execute(statement, null, false);
			case WRITE -> execute(statement, null, true);
			case EXECUTE -> {
				PreparedStatement executed = this.prepared.get(statement.name());
				if (executed == null) {
					refuse(StatementError.NOT_PREPARED, "no prepared statement \"" + statement.name() + "\"");
				}
				else {
					execute(statement, executed, executed.writes());
				}
			}
			default -> refuse(StatementError.MALFORMED, "statement cannot be read");
		}
	}

	private void startInFailedTransaction(ClientStatement statement) {
		boolean ends = statement.verb() == ClientStatement.Verb.ROLLBACK
				|| statement.verb() == ClientStatement.Verb.COMMIT;
		if (!ends) {
			StatementError error = this.idleEnded ? StatementError.ROLLED_BACK : StatementError.MALFORMED;
			answered(StatementReply.failed(error, "the transaction has failed", this.state));
			return;
		}
		this.idleEnded = false;
		this.state = SessionState.IDLE;
		if (statement.verb() == ClientStatement.Verb.ROLLBACK) {
			done();
		}
		else {
			answered(StatementReply.failed(StatementError.ROLLED_BACK, "the transaction has failed", this.state));
		}
	}

	private void begin(ClientStatement statement) {
		if (this.state != SessionState.IDLE) {
			refuse(StatementError.MALFORMED, "a transaction is open");
			return;
		}
		if (!findRoute()) {
			return;
		}
		boolean readOnly = statement.verb() == ClientStatement.Verb.BEGIN_READ;
		this.transaction = new Transaction(this, readOnly, statement.receivedAt());
		this.state = SessionState.TRANSACTION;
		done();
	}

	private void rollBack() {
		if (this.state != SessionState.TRANSACTION) {
			refuse(StatementError.MALFORMED, "no transaction is open");
			return;
		}
		this.transaction.rollBack(false);
		this.transaction = null;
		this.state = SessionState.IDLE;
		done();
	}

	private void commit(ClientStatement statement) {
		if (this.state != SessionState.TRANSACTION) {
			refuse(StatementError.MALFORMED, "no transaction is open");
			return;
		}
		this.transaction.run(statement, null, false, deadline(statement));
	}

	private void execute(ClientStatement statement, PreparedStatement executed, boolean writes) {
		if (this.state == SessionState.TRANSACTION) {
			if (writes && this.transaction.isReadOnly()) {
				this.transaction.rollBack(false);
				transactionFailed(StatementReply.failed(StatementError.NOT_PRIMARY, "the transaction only reads",
						SessionState.FAILED_TRANSACTION));
				return;
			}
			this.transaction.run(statement, executed, writes, deadline(statement));
			return;
		}
		if (findRoute()) {
			this.single = new SingleStatement(this, statement, executed, writes, deadline(statement));
			this.single.start();
		}
	}

	// A change of routes applies from the next transaction on.
	private boolean findRoute() {
		Route found = this.service.routes().route(this.database).orElse(null);
		if (found == null) {
			refuse(StatementError.UNKNOWN_DATABASE, "no database \"" + this.database + "\"");
			return false;
		}
		this.route = found;
		this.router = this.service.router(found.group());
		return true;
	}

	private long deadline(ClientStatement statement) {
		return statement.receivedAt() + TimeUnit.MILLISECONDS.toNanos(this.route.statementTimeoutMilliseconds());
	}

	private void done() {
		answered(StatementReply.done(this.state));
	}

	private void refuse(StatementError error, String detail) {
		if (this.state == SessionState.TRANSACTION) {
			this.transaction.rollBack(false);
			this.transaction = null;
			this.state = SessionState.FAILED_TRANSACTION;
		}
		answered(StatementReply.failed(error, detail, this.state));
	}

	/**
	 * Answers the current statement and goes on with the next one.
	 * @param reply the answer
	 */
	void answered(StatementReply reply) {
		ClientStatement statement = this.current;
		this.current = null;
		this.single = null;
		if (this.closed) {
			return;
		}
		if (this.route != null) {
			this.service.metrics()
				.answered(this.route.priority(), reply.error(), services().now() - statement.receivedAt());
		}
		if (reply.error() != null) {
			log().failed(statement, this.database, reply);
		}
		this.channel.reply(reply);
		next();
	}

	void transactionEnded(StatementReply reply) {
		this.transaction = null;
		this.state = SessionState.IDLE;
		answered(reply);
	}

	void transactionFailed(StatementReply reply) {
		this.transaction = null;
		this.state = SessionState.FAILED_TRANSACTION;
		answered(reply);
	}

	private void startIdleTimer() {
		if (this.state == SessionState.TRANSACTION && this.idleTimer == null) {
			long limit = TimeUnit.MILLISECONDS.toNanos(this.service.routes().idleTransactionMilliseconds());
			this.idleTimer = services().after(limit, this::endIdleTransaction);
		}
	}

	private void stopIdleTimer() {
		if (this.idleTimer != null) {
			this.idleTimer.cancel(false);
			this.idleTimer = null;
		}
	}

	// The client learns of it with its next statement, because it expects nothing now.
	private void endIdleTransaction() {
		this.idleTimer = null;
		if (this.state != SessionState.TRANSACTION || this.current != null) {
			return;
		}
		this.transaction.rollBack(false);
		this.transaction = null;
		this.idleEnded = true;
		this.state = SessionState.FAILED_TRANSACTION;
	}

	/**
	 * Ends the session because the client has left. An open transaction is rolled back.
	 */
	public void clientDisconnected() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		this.service.closed(this);
		stopIdleTimer();
		if (this.transaction != null) {
			this.transaction.rollBack(this.current != null);
		}
		if (this.single != null) {
			this.single.abandon();
		}
	}

	/**
	 * Ends the session from this side.
	 */
	void end() {
		clientDisconnected();
		this.channel.close();
	}

}
