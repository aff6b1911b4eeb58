package org.magnolialead.daemon.session;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Route;
import org.magnolialead.api.Step;
import org.magnolialead.api.message.ForwardStatementAnswer;
import org.magnolialead.api.message.ForwardStatementRequest;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.engine.session.PreparedStatement;
import org.magnolialead.engine.session.ReadPlan;
import org.magnolialead.engine.session.StatementStage;

/**
 * Executes a statement, or the statements of a transaction, that another daemon forwards.
 */
final class ForwardedSession implements StatementSession {

	/**
	 * Time by which an idle transaction outlives the limit that its daemon applies, so
	 * that it is rolled back here only if that daemon has not done so.
	 */
	private static final long IDLE_MARGIN_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_000);

	private final SessionService service;

	private final Route route;

	private final String account;

	private final GroupRouter router;

	private Map<String, String> sessionVariables = Map.of();

	private LogPosition position = LogPosition.NONE;

	private LogPosition committed;

	/** Prepared statement of the newest statement, or {@code null}. */
	private PreparedStatement prepared;

	private Transaction transaction;

	private SingleStatement singleStatement;

	private CompletableFuture<Object> pendingAnswer;

	private Future<?> idleTimer;

	private boolean ended;

	ForwardedSession(SessionService service, Route route, String account) {
		this.service = service;
		this.route = route;
		this.account = account;
		this.router = service.router(route.group());
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

	@Override
	public Map<String, String> sessionVariables() {
		return this.sessionVariables;
	}

	@Override
	public ReadPlan readPlan(long receivedAt) {
		this.service.discardProgressAfterSuspension();
		return ReadPlan.of(this.route, this.position, this.router.progress(), receivedAt);
	}

	@Override
	public void recordCommit(LogPosition commitPosition) {
		this.committed = commitPosition;
	}

	boolean isEnded() {
		return this.ended;
	}

	boolean isAwaitingAnswer() {
		return this.pendingAnswer != null;
	}

	/**
	 * Executes a statement. Must not be called while an answer is awaited.
	 * @param request the statement
	 * @return a future of the answer
	 */
	CompletableFuture<Object> run(ForwardStatementRequest request) {
		long now = context().now();
		long deadline = now + TimeUnit.MICROSECONDS.toNanos(request.timeoutMicroseconds());
		stopIdleTimer();
		this.sessionVariables = request.sessionVariables();
		this.position = request.position();
		this.pendingAnswer = new CompletableFuture<>();
		CompletableFuture<Object> answer = this.pendingAnswer;
		ForwardStatementRequest.Prepared forwarded = request.prepared();
		hold(forwarded);
		boolean writes = request.action() == ForwardStatementRequest.Action.WRITE;
		ClientStatement statement = new ClientStatement(request.identifier(), verb(request.action()), "",
				(forwarded != null) ? forwarded.argument() : "", request.text(), now);
		if (request.transaction() == null) {
			this.singleStatement = new MemberStatement(this, statement, this.prepared, writes, deadline);
			this.singleStatement.start();
			return answer;
		}
		if (this.transaction == null) {
			this.transaction = new MemberTransaction(this, request.transaction().readOnly(), now);
		}
		this.transaction.run(statement, this.prepared, writes, deadline);
		return answer;
	}

	// Its text has arrived with the statement, so refusing it would save nothing.
	private void hold(ForwardStatementRequest.Prepared forwarded) {
		PreparedStatement before = this.prepared;
		this.prepared = (forwarded != null) ? this.service.memory().acquire(forwarded.writes(), forwarded.text())
				: null;
		if (before != null) {
			this.service.memory().release(before);
		}
	}

	private static ClientStatement.Verb verb(ForwardStatementRequest.Action action) {
		return switch (action) {
			case READ -> ClientStatement.Verb.READ;
			case WRITE -> ClientStatement.Verb.WRITE;
			case COMMIT -> ClientStatement.Verb.COMMIT;
		};
	}

	@Override
	public void answer(StatementReply reply) {
		if (this.transaction == null) {
			end();
		}
		else {
			startIdleTimer();
		}
		complete(reply);
	}

	@Override
	public void transactionEnded(StatementReply reply) {
		end();
		complete(reply);
	}

	@Override
	public void transactionFailed(StatementReply reply) {
		end();
		complete(reply);
	}

	private void complete(StatementReply reply) {
		CompletableFuture<Object> answer = this.pendingAnswer;
		LogPosition commitPosition = this.committed;
		this.pendingAnswer = null;
		this.committed = null;
		if (answer != null) {
			answer.complete(new ForwardStatementAnswer(reply, commitPosition));
		}
	}

	private void end() {
		this.ended = true;
		hold(null);
		stopIdleTimer();
		this.service.forwardedSessionEnded(this);
	}

	private void startIdleTimer() {
		long limit = TimeUnit.MILLISECONDS.toNanos(this.service.routes().idleTransactionMilliseconds());
		this.idleTimer = context().schedule(limit + IDLE_MARGIN_NANOSECONDS, this::interrupt);
	}

	private void stopIdleTimer() {
		if (this.idleTimer != null) {
			this.idleTimer.cancel(false);
			this.idleTimer = null;
		}
	}

	/**
	 * Ends the session without waiting for members. An open transaction is rolled back.
	 * The daemon that forwarded the statement in progress is told whether the statement
	 * may have run, and answers its client accordingly.
	 */
	void interrupt() {
		if (this.ended) {
			return;
		}
		StatementStage reached = interruptStatement();
		end();
		CompletableFuture<Object> answer = this.pendingAnswer;
		this.pendingAnswer = null;
		if (answer != null) {
			ErrorCode code = reached.mayHaveRun() ? ErrorCode.NO_ANSWER : ErrorCode.DRAINING;
			answer.completeExceptionally(new MagnolialeadException(code, Step.FORWARD, "",
					"the session was ended before the member answered"));
		}
	}

	private StatementStage interruptStatement() {
		if (this.transaction == null) {
			StatementStage reached = this.singleStatement.stage();
			this.singleStatement.cancel();
			return reached;
		}
		StatementStage reached = this.transaction.stage();
		this.transaction.rollBack(this.pendingAnswer != null);
		return reached;
	}

}
