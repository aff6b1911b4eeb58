package org.magnolialead.daemon.session;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.KeyDigest;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.RateLimit;
import org.magnolialead.api.Route;
import org.magnolialead.api.message.ForwardStatementRequest;
import org.magnolialead.api.message.ForwardStatementRequest.Action;
import org.magnolialead.api.message.ForwardStatementRequest.Prepared;
import org.magnolialead.api.message.ForwardStatementRequest.TransactionScope;
import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.daemon.quota.QuotaService;
import org.magnolialead.engine.account.AccountAccess;
import org.magnolialead.engine.quota.QuotaDecision;
import org.magnolialead.engine.session.PreparedStatement;
import org.magnolialead.engine.session.ReadPlan;
import org.magnolialead.engine.session.SessionRefusal;
import org.magnolialead.engine.session.SessionValues;
import org.magnolialead.engine.session.StatementStage;

/**
 * Session of a database client. Holds its session variables, prepared statements, open
 * transaction and the log position of its last commit. Statements are answered in order.
 */
public final class ClientSession implements StatementSession {

	/**
	 * Maximum number of statements that wait in one session. A client that sends more is
	 * disconnected.
	 */
	private static final int MAXIMUM_WAITING_STATEMENTS = 256;

	/**
	 * Time for which an open transaction may go on after the key of its client was
	 * removed from the configuration.
	 */
	private static final long REVOKED_GRACE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	private final SessionService service;

	private final ClientChannel channel;

	private final String database;

	private final KeyDigest key;

	private final SessionValues values;

	private final Deque<ClientStatement> waitingStatements = new ArrayDeque<>();

	private SessionState state = SessionState.IDLE;

	private Route route;

	private String account = AccountAccess.NO_ACCOUNT;

	private GroupRouter router;

	private LogPosition position = LogPosition.NONE;

	private Transaction transaction;

	private SingleStatement singleStatement;

	private QuotaService.Operation operation;

	private ClientStatement currentStatement;

	private Future<?> idleTimer;

	private Future<?> revocationTimer;

	private boolean idleTimeoutExpired;

	private boolean closed;

	ClientSession(SessionService service, ClientChannel channel, String database, KeyDigest key) {
		this.service = service;
		this.channel = channel;
		this.database = database;
		this.key = key;
		this.values = new SessionValues(service.memory());
	}

	@Override
	public SessionContext context() {
		return this.service.context();
	}

	@Override
	public Route route() {
		return this.route;
	}

	@Override
	public String account() {
		return this.account;
	}

	@Override
	public GroupRouter router() {
		return this.router;
	}

	@Override
	public StatementLog statementLog() {
		return this.service.statementLog();
	}

	String database() {
		return this.database;
	}

	@Override
	public Map<String, String> sessionVariables() {
		return this.values.variables();
	}

	/**
	 * Tells whether the session is idle.
	 * @return {@code true} without a transaction and without a statement in progress
	 */
	boolean isIdle() {
		return this.state == SessionState.IDLE && this.currentStatement == null && this.waitingStatements.isEmpty();
	}

	@Override
	public ReadPlan readPlan(long receivedAt) {
		this.service.discardProgressAfterSuspension();
		return ReadPlan.of(this.route, this.position, this.router.progress(), receivedAt);
	}

	StatementForwarder forwarder() {
		return context().forwarder();
	}

	/**
	 * Returns a statement as it is forwarded to another daemon.
	 * @param statement the statement
	 * @param prepared the prepared statement that it executes, or {@code null}
	 * @param writes whether the statement writes
	 * @param scope the transaction of the statement, or {@code null}
	 * @return the message, whose timeout is not set yet
	 */
	ForwardStatementRequest forwardRequest(ClientStatement statement, PreparedStatement prepared, boolean writes,
			TransactionScope scope) {
		Action action = writes ? Action.WRITE : Action.READ;
		if (statement.verb() == ClientStatement.Verb.COMMIT) {
			action = Action.COMMIT;
		}
		Prepared forwarded = (prepared != null) ? new Prepared(prepared.writes(), prepared.text(), statement.argument())
				: null;
		return new ForwardStatementRequest(this.route, this.account, sessionVariables(), this.position,
				statement.identifier(), action, statement.text(), forwarded, scope, 0);
	}

	@Override
	public void recordCommit(LogPosition committed) {
		if (committed != null) {
			this.position = LogPosition.later(this.position, committed);
		}
	}

	/**
	 * Receives a statement of the client.
	 * @param statement the statement
	 */
	public void receive(ClientStatement statement) {
		if (this.closed) {
			return;
		}
		this.waitingStatements.add(statement);
		if (this.waitingStatements.size() > MAXIMUM_WAITING_STATEMENTS) {
			this.channel.close();
			clientDisconnected();
			return;
		}
		startNext();
	}

	private void startNext() {
		while (this.currentStatement == null && !this.closed) {
			ClientStatement statement = this.waitingStatements.poll();
			if (statement == null) {
				startIdleTimer();
				return;
			}
			stopIdleTimer();
			this.currentStatement = statement;
			start(statement);
		}
	}

	private void start(ClientStatement statement) {
		if (this.state == SessionState.FAILED_TRANSACTION) {
			startInFailedTransaction(statement);
			return;
		}
		switch (statement.verb()) {
			case SET -> answerKept(this.values.set(statement.name(), statement.argument()));
			case PREPARE_READ, PREPARE_WRITE -> answerKept(this.values.prepare(statement.name(),
					statement.verb() == ClientStatement.Verb.PREPARE_WRITE, statement.argument()));
			case CLOSE -> {
				this.values.close(statement.name());
				answerDone();
			}
			case BEGIN, BEGIN_READ -> begin(statement);
			case ROLLBACK -> rollBack();
			case COMMIT -> commit(statement);
			case READ -> execute(statement, null, false);
			case WRITE -> execute(statement, null, true);
			case EXECUTE -> this.values.preparedStatement(statement.name())
				.ifPresentOrElse((prepared) -> execute(statement, prepared, prepared.writes()),
						() -> refuse(StatementError.NOT_PREPARED,
								"no prepared statement \"" + statement.name() + "\""));
			default -> refuse(StatementError.MALFORMED, "statement cannot be read");
		}
	}

	private void startInFailedTransaction(ClientStatement statement) {
		boolean endsTransaction = statement.verb() == ClientStatement.Verb.ROLLBACK
				|| statement.verb() == ClientStatement.Verb.COMMIT;
		if (!endsTransaction) {
			StatementError error = this.idleTimeoutExpired ? StatementError.ROLLED_BACK : StatementError.MALFORMED;
			answer(StatementReply.failed(error, "the transaction has failed", this.state));
			return;
		}
		this.idleTimeoutExpired = false;
		this.state = SessionState.IDLE;
		if (statement.verb() == ClientStatement.Verb.ROLLBACK) {
			answerDone();
		}
		else {
			answer(StatementReply.failed(StatementError.ROLLED_BACK, "the transaction has failed", this.state));
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
		startWithinLimit(statement, () -> {
			this.transaction = new RoutedTransaction(this, readOnly, statement.receivedAt());
			this.state = SessionState.TRANSACTION;
			answerDone();
		});
	}

	private void rollBack() {
		if (this.state != SessionState.TRANSACTION) {
			refuse(StatementError.MALFORMED, "no transaction is open");
			return;
		}
		this.transaction.rollBack(false);
		this.transaction = null;
		this.state = SessionState.IDLE;
		answerDone();
	}

	private void commit(ClientStatement statement) {
		if (this.state != SessionState.TRANSACTION) {
			refuse(StatementError.MALFORMED, "no transaction is open");
			return;
		}
		this.transaction.run(statement, null, false, deadline(statement));
	}

	private void execute(ClientStatement statement, PreparedStatement prepared, boolean writes) {
		if (this.state == SessionState.TRANSACTION) {
			if (writes && this.transaction.isReadOnly()) {
				this.transaction.rollBack(false);
				transactionFailed(StatementReply.failed(StatementError.NOT_PRIMARY, "the transaction only reads",
						SessionState.FAILED_TRANSACTION));
				return;
			}
			this.transaction.run(statement, prepared, writes, deadline(statement));
			return;
		}
		if (findRoute()) {
			startWithinLimit(statement, () -> {
				this.singleStatement = new RoutedStatement(this, statement, prepared, writes, deadline(statement));
				this.singleStatement.start();
			});
		}
	}

	// Starts an operation once it has a token, if the account has a rate limit.
	private void startWithinLimit(ClientStatement statement, Runnable start) {
		RateLimit limit = this.service.routes().limit(this.account).orElse(null);
		if (limit == null) {
			start.run();
			return;
		}
		QuotaService.Operation taking = this.service.quotas()
			.take(this.account, limit, deadline(statement), (decision) -> startIfAdmitted(decision, start));
		if (taking.decision() == QuotaDecision.WAITING) {
			this.operation = taking;
		}
		else {
			startIfAdmitted(taking.decision(), start);
		}
	}

	private void startIfAdmitted(QuotaDecision decision, Runnable start) {
		this.operation = null;
		if (decision == QuotaDecision.ADMITTED) {
			start.run();
		}
		else {
			refuse(StatementError.OVERLOADED, "rate limit of the client account: " + decision);
		}
	}

	// The route and the account are resolved per transaction, so that a change does not
	// affect an open one.
	private boolean findRoute() {
		Route found = this.service.routes().route(this.database).orElse(null);
		if (found == null) {
			refuse(StatementError.UNKNOWN_DATABASE, "no database \"" + this.database + "\"");
			return false;
		}
		Optional<String> permitted = this.service.account(this.key, found);
		if (permitted.isEmpty()) {
			refuse(StatementError.NOT_AUTHORIZED, "the key is not known");
			return false;
		}
		this.route = found;
		this.account = permitted.get();
		this.router = this.service.router(found.group());
		return true;
	}

	private long deadline(ClientStatement statement) {
		return statement.receivedAt() + TimeUnit.MILLISECONDS.toNanos(this.route.statementTimeoutMilliseconds());
	}

	// An open transaction goes on after a limit of the session. It is rolled back if the
	// error promises that nothing of it is kept.
	private void answerKept(Optional<SessionRefusal> refusal) {
		if (refusal.isEmpty()) {
			answerDone();
		}
		else if (refusal.get().error() == StatementError.OVERLOADED) {
			refuse(refusal.get().error(), refusal.get().detail());
		}
		else {
			answer(StatementReply.failed(refusal.get().error(), refusal.get().detail(), this.state));
		}
	}

	private void answerDone() {
		answer(StatementReply.done(this.state));
	}

	private void refuse(StatementError error, String detail) {
		if (this.state == SessionState.TRANSACTION) {
			this.transaction.rollBack(false);
			this.transaction = null;
			this.state = SessionState.FAILED_TRANSACTION;
		}
		answer(StatementReply.failed(error, detail, this.state));
	}

	@Override
	public void answer(StatementReply reply) {
		ClientStatement statement = this.currentStatement;
		this.currentStatement = null;
		this.singleStatement = null;
		if (this.closed) {
			return;
		}
		if (this.route != null) {
			this.service.metrics()
				.statementAnswered(this.route.priority(), reply.error(), context().now() - statement.receivedAt());
		}
		if (reply.error() != null) {
			statementLog().failed(statement, this.database, reply);
		}
		this.channel.reply(reply);
		startNext();
	}

	@Override
	public void transactionEnded(StatementReply reply) {
		this.transaction = null;
		this.state = SessionState.IDLE;
		answer(reply);
	}

	@Override
	public void transactionFailed(StatementReply reply) {
		this.transaction = null;
		this.state = SessionState.FAILED_TRANSACTION;
		answer(reply);
	}

	private void startIdleTimer() {
		if (this.state == SessionState.TRANSACTION && this.idleTimer == null) {
			long limit = TimeUnit.MILLISECONDS.toNanos(this.service.routes().idleTransactionMilliseconds());
			this.idleTimer = context().schedule(limit, this::endIdleTransaction);
		}
	}

	private void stopIdleTimer() {
		if (this.idleTimer != null) {
			this.idleTimer.cancel(false);
			this.idleTimer = null;
		}
	}

	// The error is reported with the next statement, because the client expects no
	// answer now.
	private void endIdleTransaction() {
		this.idleTimer = null;
		if (this.state != SessionState.TRANSACTION || this.currentStatement != null) {
			return;
		}
		this.transaction.rollBack(false);
		this.transaction = null;
		this.idleTimeoutExpired = true;
		this.state = SessionState.FAILED_TRANSACTION;
	}

	/**
	 * Closes the session if its client may not use the database any more. A transaction
	 * in progress has a short time to end.
	 */
	void endIfAccessRevoked() {
		if (this.closed || !isAccessRevoked()) {
			return;
		}
		if (isIdle()) {
			close();
		}
		else if (this.revocationTimer == null) {
			this.revocationTimer = context().schedule(REVOKED_GRACE_NANOSECONDS, () -> {
				this.revocationTimer = null;
				if (isAccessRevoked()) {
					close();
				}
			});
		}
	}

	private boolean isAccessRevoked() {
		return this.service.routes()
			.route(this.database)
			.filter((known) -> this.service.account(this.key, known).isEmpty())
			.isPresent();
	}

	/**
	 * Ends the session because the client has disconnected. An open transaction is rolled
	 * back.
	 */
	public void clientDisconnected() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		this.service.sessionClosed(this);
		this.values.release();
		stopIdleTimer();
		if (this.revocationTimer != null) {
			this.revocationTimer.cancel(false);
		}
		if (this.transaction != null) {
			this.transaction.rollBack(this.currentStatement != null);
		}
		if (this.singleStatement != null) {
			this.singleStatement.cancel();
		}
		if (this.operation != null) {
			this.operation.cancel();
		}
	}

	/**
	 * Ends the session and closes the connection to the client. A statement in progress
	 * is answered first.
	 */
	void close() {
		StatementReply reply = replyToInterruptedStatement();
		clientDisconnected();
		if (reply != null) {
			this.channel.reply(reply);
		}
		this.channel.close();
	}

	private StatementReply replyToInterruptedStatement() {
		if (this.closed || this.currentStatement == null) {
			return null;
		}
		boolean inTransaction = this.transaction != null;
		StatementStage reached = StatementStage.WAITING;
		if (this.operation == null) {
			reached = inTransaction ? this.transaction.stage() : this.singleStatement.stage();
		}
		boolean ends = !inTransaction || this.currentStatement.verb() == ClientStatement.Verb.COMMIT;
		StatementReply reply = StatementReply.failed(reached.errorAfterLoss(), "the session is closed",
				ends ? SessionState.IDLE : SessionState.FAILED_TRANSACTION);
		statementLog().failed(this.currentStatement, this.database, reply);
		return reply;
	}

}
