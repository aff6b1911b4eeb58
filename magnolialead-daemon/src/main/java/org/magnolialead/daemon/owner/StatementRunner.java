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
import org.magnolialead.api.Profile;
import org.magnolialead.api.StatementKind;
import org.magnolialead.api.Step;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.api.message.ExecuteRequest;
import org.magnolialead.daemon.entry.Failures;
import org.magnolialead.engine.owner.Admission;
import org.magnolialead.engine.owner.ConfirmationTracker.Pending;
import org.magnolialead.engine.owner.ConfirmationTracker.State;
import org.magnolialead.engine.owner.Dispatch;
import org.magnolialead.engine.owner.FailoverDecision.Primary;
import org.magnolialead.engine.owner.MemberChoice;
import org.magnolialead.engine.owner.RetryBudget;
import org.magnolialead.engine.owner.WorkItem;
import org.magnolialead.transport.member.ConnectionPool;
import org.magnolialead.transport.member.MemberConnection;
import org.magnolialead.transport.member.MemberReply;

/**
 * Runs the statements of one group: admission, queueing, execution at a member,
 * confirmation and answer. Confined to the serial executor of the group.
 */
final class StatementRunner {

	private static final System.Logger LOGGER = System.getLogger(StatementRunner.class.getName());

	private static final int MAXIMUM_ATTEMPTS = 3;

	private static final long RETRY_DELAY_MILLISECONDS = 10;

	/**
	 * Share of the time left that a request may wait for its turn.
	 */
	private static final double QUEUE_SHARE_OF_TIMEOUT = 0.6;

	/**
	 * Time after the caller's deadline for which the result of a write is still awaited.
	 * The caller was told that the outcome is unknown; a resend of a non-repeatable
	 * request then finds the result.
	 */
	private static final long LATE_RESULT_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

	private final GroupContext context;

	private final GroupMembers members;

	private final OnceRequests once;

	private final KnownKeys knownKeys;

	private final RetryBudget retryBudget;

	private final MemberChoice primaryChoice = this::primaryOnly;

	private final Map<ReadClass, MemberChoice> readChoices = new HashMap<>();

	private final PriorityQueue<PendingRequest> byDeadline = new PriorityQueue<>(
			Comparator.comparing(PendingRequest::deadline, (first, second) -> Long.signum(first - second)));

	private final Map<PendingRequest, Execution> executions = new HashMap<>();

	private final Map<PendingRequest, Execution> unrecorded = new HashMap<>();

	private int inProgress;

	StatementRunner(GroupContext context, GroupMembers members) {
		this.context = context;
		this.members = members;
		this.once = new OnceRequests(context, this::recorded);
		this.knownKeys = new KnownKeys(context);
		this.retryBudget = new RetryBudget(context.now());
	}

	void start() {
		this.knownKeys.fetch();
	}

	/**
	 * Takes a request of a caller.
	 * @param request the request
	 */
	void submit(PendingRequest request) {
		this.inProgress++;
		request.answer().whenComplete((answer, failure) -> this.context.serial().execute(() -> {
			this.inProgress--;
			this.context.scheduler().remove(request);
			Execution unrecorded = this.unrecorded.remove(request);
			if (unrecorded != null) {
				ended(unrecorded);
			}
		}));
		this.byDeadline.add(request);
		this.retryBudget.requestStarted(this.context.now());
		if (request.isOnce() && request.request().kind() == StatementKind.WRITE) {
			submitOnce(request);
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
	 * Returns the number of requests without an answer.
	 * @return the number
	 */
	int inProgress() {
		return this.inProgress + this.context.transactions().openCount() + this.executions.size()
				+ this.once.unrecorded();
	}

	/**
	 * Starts what the free slots allow and answers what has passed its deadline.
	 */
	void pump() {
		long now = this.context.now();
		for (PendingRequest expired : this.context.scheduler().removeExpired(now)) {
			notRun(expired, ErrorCode.DEADLINE_EXCEEDED, Step.QUEUE, "",
					"the deadline passed while waiting for a slot");
		}
		this.context.confirmations().expired(now).forEach(this::confirmationEnded);
		answerOverdue(now);
		this.context.transactions().expired(now).forEach(this::expire);
		if (!this.context.mayAct()) {
			return;
		}
		for (Dispatch<PendingRequest> dispatch : this.context.scheduler().dispatch(now)) {
			start(dispatch);
		}
	}

	/**
	 * Ends everything that depends on a term that is sealed.
	 * @param term the term
	 */
	void sealed(long term) {
		this.context.confirmations().sealed(term).forEach(this::confirmationEnded);
		List<Execution> atPrimary = this.executions.values()
			.stream()
			.filter((execution) -> execution.term <= term && execution.atPrimary)
			.toList();
		for (Execution execution : atPrimary) {
			if (execution.connection != null) {
				execution.connection.close();
			}
		}
		this.context.transactions().ofTermUpTo(term).forEach(this::expire);
	}

	/**
	 * Answers everything because the ownership has ended.
	 */
	void stop() {
		List.copyOf(this.executions.values()).forEach((execution) -> {
			if (execution.connection != null) {
				execution.connection.close();
			}
		});
		for (PendingRequest request : List.copyOf(this.byDeadline)) {
			this.context.scheduler().remove(request);
			failBecauseStopped(request);
		}
		this.byDeadline.clear();
		this.context.transactions().all().forEach(this::expire);
	}

	/**
	 * Hands waiting requests back to their entry daemons, which send them to the next
	 * owner.
	 */
	void handBackWaiting() {
		for (PendingRequest request : List.copyOf(this.byDeadline)) {
			boolean waiting = !request.request().kind().isTransactional() && this.context.scheduler().remove(request);
			if (waiting) {
				notRun(request, ErrorCode.NOT_OWNER, Step.QUEUE, "", "the group moves to another owner");
			}
		}
	}

	private void failBecauseStopped(PendingRequest request) {
		if (request.wasSent() || this.once.isJoinedToSent(request)) {
			request.fail(ErrorCode.LEASE_LOST, Step.EXECUTE, "", "the ownership ended before the answer was final");
		}
		else {
			notRun(request, ErrorCode.NOT_OWNER, Step.QUEUE, "", "the ownership of the group ended");
		}
	}

	/**
	 * Refuses a request that cannot be served in time before its intent is recorded. In a
	 * flood of non-repeatable requests two commits for each refusal left no served
	 * request at all. A request that is admitted keeps its place in the queue while its
	 * intent is recorded, so that it counts for the admission of later ones. A key that
	 * may have been begun before is looked up first, so that "not run" stays true.
	 * @param request the request
	 */
	private void submitOnce(PendingRequest request) {
		if (!this.knownKeys.mayContain(request.request().idempotencyKey())) {
			Admission admission = this.context.scheduler().offer(itemOf(request), this.context.now());
			if (admission instanceof Admission.Refused refused) {
				refuse(request, refused);
				return;
			}
			request.markQueued();
		}
		this.knownKeys.add(request.request().idempotencyKey());
		this.once.arrived(request);
	}

	private void recorded(PendingRequest request) {
		Execution waiting = this.unrecorded.remove(request);
		if (waiting != null) {
			connect(waiting);
		}
		else if (!request.isQueued()) {
			enqueue(request);
		}
	}

	private void submitRead(PendingRequest request) {
		ExecuteRequest asked = request.request();
		Optional<LogPosition> known = this.context.sessions().required(asked.session());
		LogPosition required = LogPosition.later(asked.sessionPosition(), known.orElse(LogPosition.NONE));
		request.require(required, known.isPresent());
		enqueue(request);
	}

	private void submitBegin(PendingRequest request) {
		Optional<Primary> primary = this.context.servingPrimary(this.context.now());
		if (primary.isPresent()) {
			String member = primary.get().member();
			int slots = this.context.view().member(member).orElseThrow().slots();
			int limit = GroupMembers.statementConnections(this.context.view().member(member).orElseThrow()) - slots;
			if (this.context.transactions().openAt(member) >= limit) {
				notRun(request, ErrorCode.OVERLOADED, Step.ADMISSION, member,
						"%d transactions are open, which is the limit".formatted(limit));
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
			boolean unknown = commits && !this.context.transactions().belongsHere(identifier);
			notRun(request, unknown ? ErrorCode.EARLIER_ATTEMPT_UNKNOWN : ErrorCode.UNKNOWN_TRANSACTION,
					Step.TRANSACTION, "",
					"transaction \"%s\" is not open at the owner of the group".formatted(identifier));
			return;
		}
		OpenTransaction transaction = found.get();
		if (commits && transaction.end() != null && transaction.end().outcome() != Outcome.NOT_RUN) {
			request.complete(transaction.end().asRepeated());
			return;
		}
		if (!transaction.isOpen()) {
			notRun(request, ErrorCode.UNKNOWN_TRANSACTION, Step.TRANSACTION, transaction.member(),
					"transaction \"%s\" has ended".formatted(identifier));
			return;
		}
		if (!transaction.begin(request)) {
			notRun(request, ErrorCode.IN_PROGRESS, Step.TRANSACTION, transaction.member(),
					"another statement of the transaction is in progress");
			return;
		}
		request.answer().whenComplete((answer, failure) -> this.context.serial().execute(transaction::statementEnded));
		if (request.isOnce()) {
			this.once.arrived(request);
			return;
		}
		enqueue(request);
	}

	private void enqueue(PendingRequest request) {
		long now = this.context.now();
		if (request.deadline() - now <= 0) {
			notRun(request, ErrorCode.DEADLINE_EXCEEDED, Step.QUEUE, "", "the deadline passed before a slot was free");
			return;
		}
		Admission admission = this.context.scheduler().offer(itemOf(request), now);
		if (admission instanceof Admission.Refused refused) {
			refuse(request, refused);
			return;
		}
		pump();
	}

	/**
	 * Gives a request a deadline for its turn that leaves time to execute it, to confirm
	 * it and to return the answer. Without that time an overloaded group spends its slots
	 * on requests whose answers arrive too late.
	 * @param request the request
	 * @return the item to queue
	 */
	private WorkItem<PendingRequest> itemOf(PendingRequest request) {
		long now = this.context.now();
		long turnDeadline = now + (long) ((request.deadline() - now) * QUEUE_SHARE_OF_TIMEOUT);
		return new WorkItem<>(request, request.profile().rank(), now, turnDeadline, choiceOf(request));
	}

	private void refuse(PendingRequest request, Admission.Refused refused) {
		notRun(request,
				new MagnolialeadException(refused.code(), Step.ADMISSION, "",
						"the request cannot be finished before its deadline at the present load"),
				refused.retryAfterMilliseconds());
	}

	private MemberChoice choiceOf(PendingRequest request) {
		StatementKind kind = request.request().kind();
		if (kind == StatementKind.READ && !request.primaryOnly()) {
			ReadClass readClass = new ReadClass(request.profile(), request.required(), request.floorKnown());
			if (request.required().equals(LogPosition.NONE)) {
				return this.readChoices.computeIfAbsent(readClass, this::readChoice);
			}
			return readChoice(readClass);
		}
		if (kind.isTransactional() && kind != StatementKind.BEGIN) {
			String identifier = request.request().transaction();
			return (now) -> this.context.transactions()
				.find(identifier)
				.filter(OpenTransaction::isOpen)
				.map((transaction) -> List.of(transaction.member()))
				.orElse(List.of());
		}
		return this.primaryChoice;
	}

	private MemberChoice readChoice(ReadClass readClass) {
		return (now) -> this.context.mayAct() ? this.context.positions()
			.eligibleForRead(readClass.profile, readClass.required, readClass.floorKnown, this.context.view(), now,
					this.context.scheduler()::running)
			.stream()
			.filter((member) -> !member.equals(this.context.view().primary())
					|| this.context.servingPrimary(now).isPresent())
			.toList() : List.of();
	}

	private List<String> primaryOnly(long now) {
		return this.context.servingPrimary(now).map((primary) -> List.of(primary.member())).orElse(List.of());
	}

	private void start(Dispatch<PendingRequest> dispatch) {
		PendingRequest request = dispatch.work();
		Execution execution = new Execution(dispatch, this.context.view().term(),
				dispatch.member().equals(this.context.view().primary()));
		this.executions.put(request, execution);
		Optional<OpenTransaction> transaction = transactionOf(request);
		if (transaction.isPresent()) {
			execute(execution, transaction.get().connection());
			return;
		}
		if (request.mayLeave()) {
			connect(execution);
		}
		else {
			// Happens only while slots are free, because the wait for a slot is longer
			// than a commit otherwise.
			this.unrecorded.put(request, execution);
		}
	}

	private void connect(Execution execution) {
		Dispatch<PendingRequest> dispatch = execution.dispatch;
		PendingRequest request = dispatch.work();
		ConnectionPool pool = this.members.pool(dispatch.member());
		if (pool == null) {
			ended(execution);
			retryNotSent(request, dispatch.member(), "the member is gone");
			return;
		}
		pool.acquire(request.deadline())
			.whenCompleteAsync((connection, failure) -> connected(execution, pool, connection, failure),
					this.context.serial());
	}

	private Optional<OpenTransaction> transactionOf(PendingRequest request) {
		StatementKind kind = request.request().kind();
		boolean inTransaction = kind.isTransactional() && kind != StatementKind.BEGIN;
		return inTransaction ? this.context.transactions().find(request.request().transaction()) : Optional.empty();
	}

	private void connected(Execution execution, ConnectionPool pool, MemberConnection connection, Throwable failure) {
		PendingRequest request = execution.dispatch.work();
		String member = execution.dispatch.member();
		if (failure != null) {
			ended(execution);
			retryNotSent(request, member, Failures.unwrap(failure).getMessage());
			return;
		}
		execution.pool = pool;
		boolean primaryChanged = execution.atPrimary && this.context.servingPrimary(this.context.now())
			.filter((primary) -> primary.member().equals(member) && primary.term() == execution.term)
			.isEmpty();
		boolean mayStart = this.context.mayAct() && !primaryChanged && !request.answer().isDone()
				&& request.deadline() - this.context.now() > 0;
		if (!mayStart) {
			pool.release(connection, true);
			ended(execution);
			retryNotSent(request, member, "the member may not receive the statement any more");
			return;
		}
		execute(execution, connection);
	}

	private void execute(Execution execution, MemberConnection connection) {
		PendingRequest request = execution.dispatch.work();
		execution.connection = connection;
		execution.sentAt = this.context.now();
		request.markSent();
		if (request.isOnce()) {
			this.once.sent(request);
		}
		boolean changes = request.request().kind().changesData();
		long deadline = request.deadline() + (changes ? LATE_RESULT_NANOSECONDS : 0);
		connection.exchange(MemberCalls.of(request.request()), deadline)
			.whenCompleteAsync((reply, failure) -> answered(execution, reply, failure), this.context.serial());
	}

	private void answered(Execution execution, MemberReply reply, Throwable failure) {
		ended(execution);
		PendingRequest request = execution.dispatch.work();
		String member = execution.dispatch.member();
		boolean usable = failure == null && execution.connection.isOpen();
		StatementKind kind = request.request().kind();
		if (execution.pool != null && !(kind == StatementKind.BEGIN && usable && MemberCalls.isSuccess(reply))) {
			execution.pool.release(execution.connection, usable);
		}
		if (failure != null) {
			notAnswered(execution, Failures.describe(failure, Step.EXECUTE, member));
		}
		else if (MemberCalls.isSuccess(reply)) {
			succeeded(execution, reply);
		}
		else {
			refusedByMember(execution, reply);
		}
		pump();
	}

	private void ended(Execution execution) {
		if (this.executions.remove(execution.dispatch.work(), execution)) {
			this.context.scheduler().finished(execution.dispatch, this.context.now());
		}
	}

	private void notAnswered(Execution execution, MagnolialeadException failure) {
		PendingRequest request = execution.dispatch.work();
		transactionOf(request).ifPresent((transaction) -> endTransaction(transaction, ExecuteAnswer.failed(failure)));
		boolean neverLeft = failure.code().outcome() == Outcome.NOT_RUN;
		if (neverLeft) {
			request.markRefused();
			retryNotSent(request, execution.dispatch.member(), failure.getMessage());
		}
		else if (request.mayBeSentAgain() && mayRetry(request)) {
			enqueueLater(request);
		}
		else {
			unknown(request, new MagnolialeadException(ErrorCode.NO_ANSWER, Step.EXECUTE, execution.dispatch.member(),
					failure.getMessage(), failure));
		}
	}

	private void refusedByMember(Execution execution, MemberReply reply) {
		PendingRequest request = execution.dispatch.work();
		String member = execution.dispatch.member();
		String message = MemberCalls.message(reply);
		if (MemberCalls.isNotPrimary(reply)) {
			request.markRefused();
			transactionOf(request).ifPresent((transaction) -> closeTransaction(transaction, request));
			retryNotSent(request, member, message);
			return;
		}
		if (MemberCalls.isRejectedStatement(reply)) {
			request.markRefused();
			notRun(request, ErrorCode.STATEMENT_REJECTED, Step.EXECUTE, member, message);
			return;
		}
		unknown(request, new MagnolialeadException(ErrorCode.NO_ANSWER, Step.EXECUTE, member, message));
	}

	private void succeeded(Execution execution, MemberReply reply) {
		PendingRequest request = execution.dispatch.work();
		switch (request.request().kind()) {
			case READ -> readAnswered(execution, reply);
			case WRITE -> writeAnswered(execution, reply);
			case BEGIN -> transactionOpened(execution, reply);
			case TRANSACTION_STATEMENT -> done(request, reply, false, request.request().transaction());
			case COMMIT -> commitAnswered(execution, reply);
			case ROLLBACK -> rolledBack(execution, reply);
		}
	}

	private void readAnswered(Execution execution, MemberReply reply) {
		PendingRequest request = execution.dispatch.work();
		String member = execution.dispatch.member();
		if (!this.context.mayAct()) {
			request.fail(ErrorCode.LEASE_LOST, Step.EXECUTE, member, "the lease ended before the answer was passed on");
			return;
		}
		boolean fresh = execution.atPrimary ? this.context.mayAcknowledge(reply.term())
				: reply.position().includes(request.required());
		if (fresh) {
			done(request, reply, !execution.atPrimary, "");
			return;
		}
		LogEvent.MEMBER_ANSWER_REFUSED.log(LOGGER, this.context.group(), member,
				"position %s of term %d, required %s".formatted(reply.position(), reply.term(), request.required()));
		request.restrictToPrimary();
		if (mayRetry(request)) {
			enqueueLater(request);
		}
		else {
			unknown(request, new MagnolialeadException(ErrorCode.PRIMARY_REPLACED, Step.EXECUTE, member,
					"the member's data was not fresh enough"));
		}
	}

	private void writeAnswered(Execution execution, MemberReply reply) {
		PendingRequest request = execution.dispatch.work();
		String member = execution.dispatch.member();
		this.context.sessions().recordWrite(request.request().session(), reply.position());
		if (!this.context.mayAcknowledge(reply.term())) {
			LogEvent.MEMBER_ANSWER_REFUSED.log(LOGGER, this.context.group(), member,
					"write of term %d is not of the serving primary".formatted(reply.term()));
			unknown(request, new MagnolialeadException(ErrorCode.PRIMARY_REPLACED, Step.CONFIRM, member,
					"the primary of term %d was replaced before the write was confirmed".formatted(reply.term())));
			return;
		}
		learnPrimaryPosition(execution, reply);
		ExecuteAnswer answer = ExecuteAnswer.done(reply.body(), reply.term(), reply.position(), member, false, "");
		if (!request.profile().replicatedConfirmation()) {
			acknowledge(request, answer);
			return;
		}
		request.confirmationAnswer(answer);
		confirmationEnded(this.context.confirmations()
			.register(reply.position(), request.deadline() + LATE_RESULT_NANOSECONDS, member, request));
	}

	/**
	 * A write's position is a sample of the primary, which keeps the known age of
	 * replicas low without further status requests.
	 * @param execution the execution
	 * @param reply the member's answer
	 */
	private void learnPrimaryPosition(Execution execution, MemberReply reply) {
		MemberStatus status = new MemberStatus(this.context.group(), execution.dispatch.member(), MemberRole.PRIMARY,
				reply.term(), reply.position());
		this.context.positions().statusAnswered(status, execution.sentAt, this.context.now(), this.context.view());
	}

	void confirmationEnded(Pending<PendingRequest> pending) {
		PendingRequest request = pending.work();
		if (pending.state() == State.CONFIRMED) {
			acknowledge(request, request.confirmationAnswer());
		}
		else if (pending.state() == State.REPLACED) {
			unknown(request,
					new MagnolialeadException(ErrorCode.PRIMARY_REPLACED, Step.CONFIRM, pending.primary(),
							"the primary of term %d was replaced before the write was confirmed"
								.formatted(pending.position().term())));
		}
		else if (pending.state() == State.EXPIRED) {
			unknown(request, new MagnolialeadException(ErrorCode.NOT_CONFIRMED, Step.CONFIRM, pending.primary(),
					"too few members held the write before the deadline"));
		}
	}

	/**
	 * Passes on a confirmed write. The term and the lease are checked again at the last
	 * moment, so that no write of a replaced primary is acknowledged.
	 * @param request the request
	 * @param answer the answer
	 */
	private void acknowledge(PendingRequest request, ExecuteAnswer answer) {
		if (!this.context.mayAcknowledge(answer.term())) {
			unknown(request, new MagnolialeadException(ErrorCode.LEASE_LOST, Step.CONFIRM, answer.member(),
					"the lease or the term ended before the write was acknowledged"));
			return;
		}
		if (request.isOnce()) {
			this.once.done(request, answer);
		}
		else {
			request.complete(answer);
		}
	}

	private void transactionOpened(Execution execution, MemberReply reply) {
		PendingRequest request = execution.dispatch.work();
		if (!this.context.mayAcknowledge(reply.term()) || request.answer().isDone()) {
			execution.pool.release(execution.connection, false);
			notRun(request, ErrorCode.PRIMARY_REPLACED, Step.TRANSACTION, execution.dispatch.member(),
					"the transaction was rolled back because the primary changed or the caller stopped waiting");
			return;
		}
		OpenTransaction transaction = this.context.transactions()
			.open(execution.dispatch.member(), reply.term(), execution.connection, this.context.now());
		transaction.pool(execution.pool);
		done(request, reply, false, transaction.identifier());
	}

	private void commitAnswered(Execution execution, MemberReply reply) {
		PendingRequest request = execution.dispatch.work();
		OpenTransaction transaction = transactionOf(request).orElseThrow();
		request.answer().thenAccept((answer) -> this.context.serial().execute(() -> transaction.ended(answer)));
		this.context.transactions().end(transaction, null);
		transaction.pool().release(transaction.connection(), transaction.connection().isOpen());
		writeAnswered(execution, reply);
	}

	private void rolledBack(Execution execution, MemberReply reply) {
		PendingRequest request = execution.dispatch.work();
		OpenTransaction transaction = transactionOf(request).orElseThrow();
		ExecuteAnswer answer = ExecuteAnswer.done(reply.body(), reply.term(), reply.position(), transaction.member(),
				false, "");
		this.context.transactions().end(transaction, answer);
		transaction.pool().release(transaction.connection(), transaction.connection().isOpen());
		request.complete(answer);
	}

	private void expire(OpenTransaction transaction) {
		MagnolialeadException failure = new MagnolialeadException(ErrorCode.UNKNOWN_TRANSACTION, Step.TRANSACTION,
				transaction.member(),
				"the transaction was rolled back: it lasted too long or its primary was replaced");
		ExecuteAnswer end = transaction.isCommitSent()
				? ExecuteAnswer.failed(new MagnolialeadException(ErrorCode.NO_ANSWER, Step.TRANSACTION,
						transaction.member(), "the commit was not answered"))
				: ExecuteAnswer.failed(failure);
		endTransaction(transaction, end);
	}

	private void closeTransaction(OpenTransaction transaction, PendingRequest request) {
		endTransaction(transaction, ExecuteAnswer.failed(new MagnolialeadException(ErrorCode.UNKNOWN_TRANSACTION,
				Step.TRANSACTION, transaction.member(), "the member refused the transaction")));
	}

	private void endTransaction(OpenTransaction transaction, ExecuteAnswer end) {
		if (transaction.isOpen()) {
			this.context.transactions().end(transaction, end);
			transaction.pool().release(transaction.connection(), false);
		}
	}

	private void done(PendingRequest request, MemberReply reply, boolean servedByReplica, String transaction) {
		request.complete(ExecuteAnswer.done(reply.body(), reply.term(), reply.position(), reply.member(),
				servedByReplica, transaction));
	}

	private void retryNotSent(PendingRequest request, String member, String message) {
		boolean inTransaction = request.request().kind().isTransactional()
				&& request.request().kind() != StatementKind.BEGIN;
		if (!inTransaction && !request.answer().isDone() && mayRetryUnsent(request)) {
			enqueueLater(request);
			return;
		}
		ErrorCode code = (request.deadline() - this.context.now() <= 0) ? ErrorCode.DEADLINE_EXCEEDED
				: ErrorCode.UNREACHABLE;
		notRun(request, code, Step.CONNECT, member, message);
	}

	/**
	 * A request that was never sent may wait for its deadline, as it puts no load on a
	 * database.
	 * @param request the request
	 * @return {@code true} if so
	 */
	private boolean mayRetryUnsent(PendingRequest request) {
		return request.deadline() - this.context.now() > TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MILLISECONDS);
	}

	private boolean mayRetry(PendingRequest request) {
		long now = this.context.now();
		return request.attempts() < MAXIMUM_ATTEMPTS && request.deadline() - now > 0 && !request.answer().isDone()
				&& this.retryBudget.tryRetry(now);
	}

	private void enqueueLater(PendingRequest request) {
		this.context.services()
			.timer()
			.schedule(() -> this.context.serial().execute(() -> enqueueAgain(request)), RETRY_DELAY_MILLISECONDS,
					TimeUnit.MILLISECONDS);
	}

	private void enqueueAgain(PendingRequest request) {
		if (this.context.isStopped()) {
			failBecauseStopped(request);
		}
		else if (!request.answer().isDone()) {
			enqueue(request);
		}
		else if (request.isOnce() && !request.wasSent()) {
			notRun(request, ErrorCode.DEADLINE_EXCEEDED, Step.QUEUE, "", "the deadline passed before a slot was free");
		}
	}

	private void notRun(PendingRequest request, ErrorCode code, Step step, String peer, String message) {
		notRun(request, new MagnolialeadException(code, step, peer, message), 0);
	}

	private void notRun(PendingRequest request, MagnolialeadException failure, long retryAfterMilliseconds) {
		if (request.isOnce() && !request.wasSent()) {
			this.once.notRun(request, failure, retryAfterMilliseconds);
		}
		else if (request.isOnce()) {
			this.once.unknown(request, failure);
		}
		else {
			request.fail(failure, retryAfterMilliseconds);
		}
	}

	private void unknown(PendingRequest request, MagnolialeadException failure) {
		if (request.isOnce()) {
			this.once.unknown(request, failure);
		}
		else {
			request.fail(failure, 0);
		}
	}

	/**
	 * Answers callers whose deadline has passed while their statement is in progress. The
	 * statement goes on; only requests that were never sent are removed.
	 * @param now present time of the monotonic clock in nanoseconds
	 */
	private void answerOverdue(long now) {
		List<PendingRequest> overdue = new ArrayList<>();
		while (!this.byDeadline.isEmpty() && (this.byDeadline.peek().deadline() - now <= 0)) {
			overdue.add(this.byDeadline.poll());
		}
		for (PendingRequest request : overdue) {
			if (!request.answer().isDone()) {
				answerOverdue(request);
			}
		}
		while (!this.byDeadline.isEmpty() && this.byDeadline.peek().answer().isDone()) {
			this.byDeadline.poll();
		}
	}

	private void answerOverdue(PendingRequest request) {
		if (request.wasSent() || this.once.isJoinedToSent(request)) {
			request.fail(ErrorCode.NO_ANSWER, Step.EXECUTE, "", "the deadline passed before the outcome was known");
		}
		else if (this.context.scheduler().remove(request)) {
			notRun(request, ErrorCode.DEADLINE_EXCEEDED, Step.QUEUE, "", "the deadline passed before a slot was free");
		}
		else {
			// The step that holds the request sees the deadline and does not send it.
			request.fail(ErrorCode.DEADLINE_EXCEEDED, Step.CONNECT, "",
					"the deadline passed before the request was sent");
		}
	}

	/**
	 * Reads that may be served by the same members.
	 */
	private record ReadClass(Profile profile, LogPosition required, boolean floorKnown) {
	}

	/**
	 * Statement that holds a slot.
	 */
	private static final class Execution {

		private final Dispatch<PendingRequest> dispatch;

		private final long term;

		private final boolean atPrimary;

		private ConnectionPool pool;

		private MemberConnection connection;

		private long sentAt;

		Execution(Dispatch<PendingRequest> dispatch, long term, boolean atPrimary) {
			this.dispatch = dispatch;
			this.term = term;
			this.atPrimary = atPrimary;
		}

	}

}
