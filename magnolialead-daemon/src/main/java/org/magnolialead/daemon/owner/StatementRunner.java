package org.magnolialead.daemon.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MemberRole;
import org.magnolialead.api.MemberStatus;
import org.magnolialead.api.Outcome;
import org.magnolialead.api.StatementKind;
import org.magnolialead.api.Step;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.api.message.ExecuteRequest;
import org.magnolialead.daemon.entry.Failures;
import org.magnolialead.engine.owner.Admission;
import org.magnolialead.engine.owner.Dispatch;
import org.magnolialead.engine.owner.FailoverDecision.Primary;
import org.magnolialead.engine.owner.RetryBudget;
import org.magnolialead.engine.owner.WorkItem;
import org.magnolialead.transport.member.ConnectionPool;
import org.magnolialead.transport.member.MemberConnection;
import org.magnolialead.transport.member.MemberResponse;

/**
 * Runs the statements of one group: admission, queueing, execution on a member,
 * confirmation and answer. Confined to the serial executor of the group.
 */
final class StatementRunner {

	private static final System.Logger LOGGER = System.getLogger(StatementRunner.class.getName());

	private static final int MAXIMUM_ATTEMPTS = 3;

	private static final long RETRY_DELAY_MILLISECONDS = 10;

	/**
	 * Share of the time until the deadline that a request may spend in the queue. The
	 * rest is left for execution, confirmation and the answer.
	 */
	private static final double QUEUE_SHARE_OF_TIMEOUT = 0.6;

	/**
	 * Time after the caller's deadline for which the owner still waits for the result of
	 * a write. The caller has already been told that the outcome is unknown; if it
	 * resends a non-repeatable request, the owner can answer with the result.
	 */
	private static final long LATE_RESULT_WAIT_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

	private final GroupContext context;

	private final GroupMembers members;

	private final AtMostOnceRequests atMostOnce;

	private final IdempotencyKeyFilter idempotencyKeys;

	private final RetryBudget retryBudget;

	private final MemberSelectors selectors;

	private final RequestOutcomes outcomes;

	private final TransactionLifecycle transactions;

	private final PriorityQueue<PendingRequest> requestsByDeadline = new PriorityQueue<>(
			Comparator.comparing(PendingRequest::deadline, (first, second) -> Long.signum(first - second)));

	private final Map<PendingRequest, StatementExecution> executions = new HashMap<>();

	private final Map<PendingRequest, StatementExecution> executionsAwaitingRecord = new HashMap<>();

	private int unansweredRequests;

	StatementRunner(GroupContext context, GroupMembers members) {
		this.context = context;
		this.members = members;
		this.atMostOnce = new AtMostOnceRequests(context, this::intentRecorded);
		this.selectors = new MemberSelectors(context);
		this.outcomes = new RequestOutcomes(context, this.atMostOnce);
		this.transactions = new TransactionLifecycle(context, this.outcomes);
		this.idempotencyKeys = new IdempotencyKeyFilter(context);
		this.retryBudget = new RetryBudget(context.now());
	}

	void start() {
		this.idempotencyKeys.fetch();
	}

	/**
	 * Submits a request of a caller.
	 * @param request the request
	 */
	void submit(PendingRequest request) {
		this.unansweredRequests++;
		request.answer().whenComplete((answer, failure) -> this.context.serialExecutor().execute(() -> {
			this.unansweredRequests--;
			this.context.scheduler().remove(request);
			StatementExecution execution = this.executionsAwaitingRecord.remove(request);
			if (execution != null) {
				releaseSlot(execution);
			}
		}));
		this.requestsByDeadline.add(request);
		this.retryBudget.requestStarted(this.context.now());
		if (request.runsAtMostOnce() && request.request().kind() == StatementKind.WRITE) {
			submitAtMostOnce(request);
			return;
		}
		switch (request.request().kind()) {
			case READ -> submitRead(request);
			case WRITE -> enqueue(request);
			case BEGIN -> submitBegin(request);
			case TRANSACTION_STATEMENT, COMMIT, ROLLBACK -> submitToTransaction(request);
		}
	}

	/**
	 * Returns the component that answers the requests of this runner.
	 * @return the outcomes
	 */
	RequestOutcomes outcomes() {
		return this.outcomes;
	}

	/**
	 * Returns the amount of unfinished work: unanswered requests, open transactions,
	 * running statements and results that the control plane has not recorded. The group
	 * can be released once it is 0.
	 * @return the number of unfinished items
	 */
	int unfinishedCount() {
		return this.unansweredRequests + this.context.transactions().openCount() + this.executions.size()
				+ this.atMostOnce.unrecordedResults();
	}

	/**
	 * Answers the requests whose deadline has passed and dispatches queued requests to
	 * free slots.
	 */
	void expireAndDispatch() {
		long now = this.context.now();
		for (PendingRequest expired : this.context.scheduler().removeExpired(now)) {
			this.outcomes.notRun(expired, ErrorCode.DEADLINE_EXCEEDED, Step.QUEUE, "",
					"the deadline passed while waiting for a slot");
		}
		this.context.confirmations().removeExpired(now).forEach(this.outcomes::confirmationEnded);
		answerExpired(now);
		this.context.transactions().expired(now).forEach(this.transactions::expire);
		if (!this.context.isActiveOwner()) {
			return;
		}
		for (Dispatch<PendingRequest> dispatch : this.context.scheduler().dispatch(now)) {
			start(dispatch);
		}
	}

	/**
	 * Ends all work that depends on a sealed term: unconfirmed writes, statements running
	 * on the primary and open transactions.
	 * @param term the sealed term; earlier terms are included
	 */
	void sealed(long term) {
		this.context.confirmations().sealTerm(term).forEach(this.outcomes::confirmationEnded);
		List<StatementExecution> atPrimary = this.executions.values()
			.stream()
			.filter((execution) -> execution.term <= term && execution.atPrimary)
			.toList();
		for (StatementExecution execution : atPrimary) {
			if (execution.connection != null) {
				execution.connection.close();
			}
		}
		this.context.transactions().ofTermUpTo(term).forEach(this.transactions::expire);
	}

	/**
	 * Closes the connections of running statements, answers all requests and ends all
	 * transactions because the ownership has ended.
	 */
	void stop() {
		List.copyOf(this.executions.values()).forEach((execution) -> {
			if (execution.connection != null) {
				execution.connection.close();
			}
		});
		for (PendingRequest request : List.copyOf(this.requestsByDeadline)) {
			this.context.scheduler().remove(request);
			this.outcomes.ownershipEnded(request);
		}
		this.requestsByDeadline.clear();
		this.context.transactions().all().forEach(this.transactions::expire);
	}

	/**
	 * Rejects queued requests with NOT_OWNER, so that their entry daemons send them to
	 * the next owner. Transactional requests stay queued.
	 */
	void rejectQueued() {
		for (PendingRequest request : List.copyOf(this.requestsByDeadline)) {
			boolean removed = !request.request().kind().isTransactional() && this.context.scheduler().remove(request);
			if (removed) {
				this.outcomes.notRun(request, ErrorCode.NOT_OWNER, Step.QUEUE, "",
						"the group is moving to another owner");
			}
		}
	}

	/**
	 * Submits a request that runs at most once. If it cannot be served in time, it is
	 * rejected before its intent is recorded. Otherwise each rejection takes two commits
	 * to the control log, and under a flood of non-repeatable requests no request was
	 * served at all. An admitted request is queued while its intent is recorded, so that
	 * the admission of later requests takes it into account. A key that may already have
	 * been recorded is looked up in the control plane first, because "not run" would be
	 * wrong if an earlier attempt was executed.
	 * @param request the request
	 */
	private void submitAtMostOnce(PendingRequest request) {
		if (!this.idempotencyKeys.mayContain(request.request().idempotencyKey())) {
			Admission admission = this.context.scheduler().offer(itemOf(request), this.context.now());
			if (admission instanceof Admission.Refused refused) {
				rejectAdmission(request, refused);
				return;
			}
			request.markQueued();
		}
		this.idempotencyKeys.add(request.request().idempotencyKey());
		this.atMostOnce.submit(request);
	}

	private void intentRecorded(PendingRequest request) {
		StatementExecution execution = this.executionsAwaitingRecord.remove(request);
		if (execution != null) {
			connect(execution);
		}
		else if (!request.isQueued()) {
			enqueue(request);
		}
	}

	private void submitRead(PendingRequest request) {
		ExecuteRequest read = request.request();
		Optional<LogPosition> known = this.context.sessions().required(read.session());
		LogPosition required = LogPosition.later(read.sessionPosition(), known.orElse(LogPosition.NONE));
		request.requirePosition(required, known.isPresent());
		enqueue(request);
	}

	private void submitBegin(PendingRequest request) {
		Optional<Primary> primary = this.context.servingPrimary(this.context.now());
		if (primary.isPresent()) {
			String member = primary.get().member();
			int slots = this.context.view().member(member).orElseThrow().slots();
			int limit = GroupMembers.statementConnections(this.context.view().member(member).orElseThrow()) - slots;
			if (this.context.transactions().openCountAt(member) >= limit) {
				this.outcomes.notRun(request, ErrorCode.OVERLOADED, Step.ADMISSION, member,
						"the limit of %d open transactions is reached".formatted(limit));
				return;
			}
		}
		enqueue(request);
	}

	private void submitToTransaction(PendingRequest request) {
		String identifier = request.request().transaction();
		Optional<OpenTransaction> found = this.context.transactions().find(identifier);
		boolean commits = request.request().kind() == StatementKind.COMMIT;
		if (found.isEmpty()) {
			boolean unknown = commits && !this.context.transactions().wasCreatedInThisEpoch(identifier);
			this.outcomes.notRun(request, unknown ? ErrorCode.EARLIER_ATTEMPT_UNKNOWN : ErrorCode.UNKNOWN_TRANSACTION,
					Step.TRANSACTION, "",
					"transaction \"%s\" is not open at the owner of the group".formatted(identifier));
			return;
		}
		OpenTransaction transaction = found.get();
		if (commits && transaction.endAnswer() != null && transaction.endAnswer().outcome() != Outcome.NOT_RUN) {
			request.complete(transaction.endAnswer().asRepeated());
			return;
		}
		if (!transaction.isOpen()) {
			this.outcomes.notRun(request, ErrorCode.UNKNOWN_TRANSACTION, Step.TRANSACTION, transaction.member(),
					"transaction \"%s\" has ended".formatted(identifier));
			return;
		}
		if (!transaction.tryReserve(request)) {
			this.outcomes.notRun(request, ErrorCode.IN_PROGRESS, Step.TRANSACTION, transaction.member(),
					"another statement of the transaction is in progress");
			return;
		}
		request.answer()
			.whenComplete((answer, failure) -> this.context.serialExecutor().execute(transaction::statementEnded));
		if (request.runsAtMostOnce()) {
			this.atMostOnce.submit(request);
			return;
		}
		enqueue(request);
	}

	private void enqueue(PendingRequest request) {
		long now = this.context.now();
		if (request.deadline() - now <= 0) {
			this.outcomes.notRun(request, ErrorCode.DEADLINE_EXCEEDED, Step.QUEUE, "",
					"the deadline passed before a slot was free");
			return;
		}
		Admission admission = this.context.scheduler().offer(itemOf(request), now);
		if (admission instanceof Admission.Refused refused) {
			rejectAdmission(request, refused);
			return;
		}
		expireAndDispatch();
	}

	/**
	 * Returns the queue item of a request. Its queue deadline leaves time to execute and
	 * confirm the request and to return the answer; without that time an overloaded group
	 * would spend its slots on requests whose answers arrive too late.
	 * @param request the request
	 * @return the item to queue
	 */
	private WorkItem<PendingRequest> itemOf(PendingRequest request) {
		long now = this.context.now();
		long queueDeadline = now + (long) ((request.deadline() - now) * QUEUE_SHARE_OF_TIMEOUT);
		return new WorkItem<>(request, request.profile().rank(), now, queueDeadline, this.selectors.of(request));
	}

	private void rejectAdmission(PendingRequest request, Admission.Refused refused) {
		this.outcomes.notRun(request,
				new MagnolialeadException(refused.code(), Step.ADMISSION, "",
						"the request cannot be finished before its deadline at the current load"),
				refused.retryAfterMilliseconds());
	}

	private void start(Dispatch<PendingRequest> dispatch) {
		PendingRequest request = dispatch.work();
		StatementExecution execution = new StatementExecution(dispatch, this.context.view().term(),
				dispatch.member().equals(this.context.view().primary()));
		this.executions.put(request, execution);
		Optional<OpenTransaction> transaction = this.transactions.of(request);
		if (transaction.isPresent()) {
			execute(execution, transaction.get().connection());
			return;
		}
		if (request.maySend()) {
			connect(execution);
		}
		else {
			// The slot is held until the intent is recorded. This happens only while
			// slots are free; otherwise the wait for a slot takes longer than the
			// commit.
			this.executionsAwaitingRecord.put(request, execution);
		}
	}

	private void connect(StatementExecution execution) {
		Dispatch<PendingRequest> dispatch = execution.dispatch;
		PendingRequest request = dispatch.work();
		ConnectionPool pool = this.members.pool(dispatch.member());
		if (pool == null) {
			releaseSlot(execution);
			retryUnsent(request, dispatch.member(), "the member was removed from the group");
			return;
		}
		pool.acquire(request.deadline())
			.whenCompleteAsync((connection, failure) -> connected(execution, pool, connection, failure),
					this.context.serialExecutor());
	}

	private void connected(StatementExecution execution, ConnectionPool pool, MemberConnection connection,
			Throwable failure) {
		PendingRequest request = execution.dispatch.work();
		String member = execution.dispatch.member();
		if (failure != null) {
			releaseSlot(execution);
			retryUnsent(request, member, Failures.unwrap(failure).getMessage());
			return;
		}
		execution.pool = pool;
		boolean primaryChanged = execution.atPrimary && this.context.servingPrimary(this.context.now())
			.filter((primary) -> primary.member().equals(member) && primary.term() == execution.term)
			.isEmpty();
		boolean mayStart = this.context.isActiveOwner() && !primaryChanged && !request.answer().isDone()
				&& request.deadline() - this.context.now() > 0;
		if (!mayStart) {
			pool.release(connection, true);
			releaseSlot(execution);
			retryUnsent(request, member,
					"the lease ended, the primary changed or the deadline passed before the statement was sent");
			return;
		}
		execute(execution, connection);
	}

	private void execute(StatementExecution execution, MemberConnection connection) {
		PendingRequest request = execution.dispatch.work();
		execution.connection = connection;
		execution.sentAt = this.context.now();
		request.markSent();
		if (request.runsAtMostOnce()) {
			this.atMostOnce.markSent(request);
		}
		boolean changesData = request.request().kind().changesData();
		long deadline = request.deadline() + (changesData ? LATE_RESULT_WAIT_NANOSECONDS : 0);
		connection.exchange(MemberCalls.of(request.request()), deadline)
			.whenCompleteAsync((response, failure) -> answered(execution, response, failure),
					this.context.serialExecutor());
	}

	private void answered(StatementExecution execution, MemberResponse response, Throwable failure) {
		releaseSlot(execution);
		PendingRequest request = execution.dispatch.work();
		String member = execution.dispatch.member();
		boolean usable = failure == null && execution.connection.isOpen();
		StatementKind kind = request.request().kind();
		if (execution.pool != null && !(kind == StatementKind.BEGIN && usable && MemberCalls.isSuccess(response))) {
			execution.pool.release(execution.connection, usable);
		}
		if (failure != null) {
			exchangeFailed(execution, Failures.toException(failure, Step.EXECUTE, member));
		}
		else if (MemberCalls.isSuccess(response)) {
			succeeded(execution, response);
		}
		else {
			rejectedByMember(execution, response);
		}
		expireAndDispatch();
	}

	private void releaseSlot(StatementExecution execution) {
		if (this.executions.remove(execution.dispatch.work(), execution)) {
			this.context.scheduler().finished(execution.dispatch, this.context.now());
		}
	}

	private void exchangeFailed(StatementExecution execution, MagnolialeadException failure) {
		PendingRequest request = execution.dispatch.work();
		this.transactions.of(request)
			.ifPresent((transaction) -> this.transactions.end(transaction, ExecuteAnswer.failed(failure)));
		boolean notSent = failure.code().outcome() == Outcome.NOT_RUN;
		if (notSent) {
			request.markNotExecuted();
			retryUnsent(request, execution.dispatch.member(), failure.getMessage());
		}
		else if (request.isSafeToRepeat() && mayRetry(request)) {
			scheduleRetry(request);
		}
		else {
			this.outcomes.unknown(request, new MagnolialeadException(ErrorCode.NO_ANSWER, Step.EXECUTE,
					execution.dispatch.member(), failure.getMessage(), failure));
		}
	}

	private void rejectedByMember(StatementExecution execution, MemberResponse response) {
		PendingRequest request = execution.dispatch.work();
		String member = execution.dispatch.member();
		String message = MemberCalls.message(response);
		if (MemberCalls.isNotPrimary(response)) {
			request.markNotExecuted();
			this.transactions.of(request).ifPresent((transaction) -> this.transactions.refused(transaction));
			retryUnsent(request, member, message);
			return;
		}
		if (MemberCalls.isRejectedStatement(response)) {
			request.markNotExecuted();
			this.outcomes.notRun(request, ErrorCode.STATEMENT_REJECTED, Step.EXECUTE, member, message);
			return;
		}
		this.outcomes.unknown(request, new MagnolialeadException(ErrorCode.NO_ANSWER, Step.EXECUTE, member, message));
	}

	private void succeeded(StatementExecution execution, MemberResponse response) {
		PendingRequest request = execution.dispatch.work();
		switch (request.request().kind()) {
			case READ -> readAnswered(execution, response);
			case WRITE -> writeAnswered(execution, response);
			case BEGIN -> this.transactions.opened(execution, response);
			case TRANSACTION_STATEMENT -> this.outcomes.done(request, response, false, request.request().transaction());
			case COMMIT -> {
				this.transactions.committed(request);
				writeAnswered(execution, response);
			}
			case ROLLBACK -> this.transactions.rolledBack(request, response);
		}
	}

	private void readAnswered(StatementExecution execution, MemberResponse response) {
		PendingRequest request = execution.dispatch.work();
		String member = execution.dispatch.member();
		if (!this.context.isActiveOwner()) {
			request.fail(ErrorCode.LEASE_LOST, Step.EXECUTE, member, "the lease ended before the answer was returned");
			return;
		}
		boolean fresh = execution.atPrimary ? this.context.mayAcknowledge(response.term())
				: response.position().includes(request.requiredPosition());
		if (fresh) {
			this.outcomes.done(request, response, !execution.atPrimary, "");
			return;
		}
		LogEvent.MEMBER_ANSWER_REFUSED.log(LOGGER, this.context.group(), member, "position %s of term %d, required %s"
			.formatted(response.position(), response.term(), request.requiredPosition()));
		request.restrictToPrimary();
		if (mayRetry(request)) {
			scheduleRetry(request);
		}
		else {
			this.outcomes.unknown(request, new MagnolialeadException(ErrorCode.PRIMARY_REPLACED, Step.EXECUTE, member,
					"the member's data does not meet the required freshness"));
		}
	}

	private void writeAnswered(StatementExecution execution, MemberResponse response) {
		PendingRequest request = execution.dispatch.work();
		String member = execution.dispatch.member();
		this.context.sessions().recordWrite(request.request().session(), response.position());
		if (!this.context.mayAcknowledge(response.term())) {
			LogEvent.MEMBER_ANSWER_REFUSED.log(LOGGER, this.context.group(), member,
					"term %d of the write is not the term of the serving primary".formatted(response.term()));
			this.outcomes.unknown(request, new MagnolialeadException(ErrorCode.PRIMARY_REPLACED, Step.CONFIRM, member,
					"the primary of term %d was replaced before the write was confirmed".formatted(response.term())));
			return;
		}
		recordPrimaryPosition(execution, response);
		ExecuteAnswer answer = ExecuteAnswer.done(response.body(), response.term(), response.position(), member, false,
				"");
		if (!request.profile().replicatedConfirmation()) {
			this.outcomes.acknowledge(request, answer);
			return;
		}
		request.confirmationAnswer(answer);
		this.outcomes.confirmationEnded(this.context.confirmations()
			.register(response.position(), request.deadline() + LATE_RESULT_WAIT_NANOSECONDS, member, request));
	}

	/**
	 * Records the position of a write as a position of the primary. This keeps the
	 * estimated age of the replicas low without additional status requests.
	 * @param execution the statement that wrote
	 * @param response the member's answer
	 */
	private void recordPrimaryPosition(StatementExecution execution, MemberResponse response) {
		MemberStatus status = new MemberStatus(this.context.group(), execution.dispatch.member(), MemberRole.PRIMARY,
				response.term(), response.position());
		this.context.positions().statusAnswered(status, execution.sentAt, this.context.now(), this.context.view());
	}

	private void retryUnsent(PendingRequest request, String member, String message) {
		boolean inTransaction = request.request().kind().isTransactional()
				&& request.request().kind() != StatementKind.BEGIN;
		if (!inTransaction && !request.answer().isDone() && mayRetryUnsent(request)) {
			scheduleRetry(request);
			return;
		}
		ErrorCode code = (request.deadline() - this.context.now() <= 0) ? ErrorCode.DEADLINE_EXCEEDED
				: ErrorCode.UNREACHABLE;
		this.outcomes.notRun(request, code, Step.CONNECT, member, message);
	}

	/**
	 * Tells whether a request that was never sent may be queued again. It needs no retry
	 * budget, because it has put no load on a database.
	 * @param request the request
	 * @return {@code true} if its deadline is later than the retry delay
	 */
	private boolean mayRetryUnsent(PendingRequest request) {
		return request.deadline() - this.context.now() > TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MILLISECONDS);
	}

	private boolean mayRetry(PendingRequest request) {
		long now = this.context.now();
		return request.attempts() < MAXIMUM_ATTEMPTS && request.deadline() - now > 0 && !request.answer().isDone()
				&& this.retryBudget.tryRetry(now);
	}

	private void scheduleRetry(PendingRequest request) {
		this.context.services()
			.timer()
			.schedule(() -> this.context.serialExecutor().execute(() -> retryNow(request)), RETRY_DELAY_MILLISECONDS,
					TimeUnit.MILLISECONDS);
	}

	private void retryNow(PendingRequest request) {
		if (this.context.isStopped()) {
			this.outcomes.ownershipEnded(request);
		}
		else if (!request.answer().isDone()) {
			enqueue(request);
		}
		else if (request.runsAtMostOnce() && !request.wasSent()) {
			this.outcomes.notRun(request, ErrorCode.DEADLINE_EXCEEDED, Step.QUEUE, "",
					"the deadline passed before a slot was free");
		}
	}

	/**
	 * Answers the callers whose deadline has passed. Statements that were sent continue;
	 * requests that were never sent are removed from the queue.
	 * @param now current time of the monotonic clock in nanoseconds
	 */
	private void answerExpired(long now) {
		List<PendingRequest> expired = new ArrayList<>();
		while (!this.requestsByDeadline.isEmpty() && (this.requestsByDeadline.peek().deadline() - now <= 0)) {
			expired.add(this.requestsByDeadline.poll());
		}
		for (PendingRequest request : expired) {
			if (!request.answer().isDone()) {
				answerExpired(request);
			}
		}
		while (!this.requestsByDeadline.isEmpty() && this.requestsByDeadline.peek().answer().isDone()) {
			this.requestsByDeadline.poll();
		}
	}

	private void answerExpired(PendingRequest request) {
		if (request.wasSent() || this.atMostOnce.awaitsSentAttempt(request)) {
			request.fail(ErrorCode.NO_ANSWER, Step.EXECUTE, "", "the deadline passed before the outcome was known");
		}
		else if (this.context.scheduler().remove(request)) {
			this.outcomes.notRun(request, ErrorCode.DEADLINE_EXCEEDED, Step.QUEUE, "",
					"the deadline passed before a slot was free");
		}
		else {
			// The request is between the queue and the member. The next step checks the
			// deadline and does not send it.
			request.fail(ErrorCode.DEADLINE_EXCEEDED, Step.CONNECT, "",
					"the deadline passed before the request was sent");
		}
	}

}
