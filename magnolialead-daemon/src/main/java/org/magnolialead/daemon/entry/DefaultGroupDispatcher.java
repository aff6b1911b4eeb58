package org.magnolialead.daemon.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.DaemonView;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Outcome;
import org.magnolialead.api.Profile;
import org.magnolialead.api.StatementKind;
import org.magnolialead.api.Step;
import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.api.message.ExecuteRequest;
import org.magnolialead.daemon.filter.GroupDispatcher;
import org.magnolialead.daemon.filter.LeaseGate;
import org.magnolialead.daemon.owner.OwnershipController;
import org.magnolialead.engine.owner.RetryBudget;
import org.magnolialead.transport.peer.PeerClient;

/**
 * Forwards a request to the owner of its database group. While the group has no reachable
 * owner, the request is retried until its deadline.
 */
public final class DefaultGroupDispatcher implements GroupDispatcher {

	/**
	 * Time after the deadline for which the answer of the owner is awaited. At the
	 * deadline the owner reports whether the request was executed.
	 */
	private static final long ANSWER_GRACE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);

	private static final long INITIAL_DELAY_MILLISECONDS = 10;

	private static final long MAXIMUM_DELAY_MILLISECONDS = 80;

	private final String daemon;

	private final FleetViewHolder view;

	private final LeaseGate leaseGate;

	private final MonotonicClock clock;

	private final ScheduledExecutorService timer;

	private final PeerClient client;

	private final OwnershipController ownership;

	private final RetryBudget retryBudget;

	/**
	 * Creates a dispatcher.
	 * @param daemon name of this daemon
	 * @param view fleet view
	 * @param leaseGate lease of this daemon
	 * @param clock clock for all deadlines
	 * @param timer executor for delayed tasks
	 * @param client connections to other daemons
	 * @param ownership groups that this daemon owns
	 */
	public DefaultGroupDispatcher(String daemon, FleetViewHolder view, LeaseGate leaseGate, MonotonicClock clock,
			ScheduledExecutorService timer, PeerClient client, OwnershipController ownership) {
		this.daemon = daemon;
		this.view = view;
		this.leaseGate = leaseGate;
		this.clock = clock;
		this.timer = timer;
		this.client = client;
		this.ownership = ownership;
		this.retryBudget = new RetryBudget(clock.nanoseconds());
	}

	@Override
	public CompletableFuture<ExecuteAnswer> dispatch(ExecuteRequest request, long deadline) {
		this.retryBudget.requestStarted(this.clock.nanoseconds());
		Dispatch dispatch = new Dispatch(request, deadline);
		attempt(dispatch);
		return dispatch.result;
	}

	private void attempt(Dispatch dispatch) {
		GroupView group = this.view.get().groups().get(dispatch.request.group());
		if (group == null) {
			dispatch.fail(new MagnolialeadException(ErrorCode.UNKNOWN_GROUP, Step.FORWARD, "",
					"database group \"%s\" does not exist".formatted(dispatch.request.group())));
			return;
		}
		if (dispatch.deadline - this.clock.nanoseconds() <= 0) {
			dispatch.fail(new MagnolialeadException(ErrorCode.DEADLINE_EXCEEDED, Step.FORWARD, group.owner(),
					"the deadline passed before the owner of the group could be reached"));
			return;
		}
		if (group.owner().equals(this.daemon)) {
			this.ownership.execute(dispatch.request, dispatch.deadline)
				.whenComplete((answer, failure) -> handleAnswer(dispatch, group, answer, failure));
			return;
		}
		DaemonView owner = this.view.get().daemons().get(group.owner());
		if (owner == null) {
			scheduleAttempt(dispatch);
			return;
		}
		forward(dispatch, group, owner);
	}

	private void forward(Dispatch dispatch, GroupView group, DaemonView owner) {
		long remaining = TimeUnit.NANOSECONDS.toMillis(dispatch.deadline - this.clock.nanoseconds());
		this.client
			.request(owner.peerAddress(), withTimeout(dispatch.request, Math.max(1, remaining)),
					dispatch.deadline + ANSWER_GRACE_NANOSECONDS)
			.whenComplete((answer, failure) -> handleAnswer(dispatch, group,
					(answer instanceof ExecuteAnswer executed) ? executed : null, failure));
	}

	private void handleAnswer(Dispatch dispatch, GroupView group, ExecuteAnswer answer, Throwable failure) {
		if (answer == null) {
			handleFailure(dispatch, Failures.toException((failure != null) ? failure
					: new MagnolialeadException(ErrorCode.NO_ANSWER, Step.FORWARD, group.owner(), "unexpected answer"),
					Step.FORWARD, group.owner()));
		}
		else if (answer.error() == ErrorCode.NOT_OWNER) {
			scheduleAttempt(dispatch);
		}
		else {
			dispatch.complete(verifyAcknowledgement(dispatch.request, answer));
		}
	}

	private void handleFailure(Dispatch dispatch, MagnolialeadException failure) {
		if (failure.code().outcome() == Outcome.NOT_RUN) {
			scheduleAttempt(dispatch);
			return;
		}
		dispatch.mayHaveRun = true;
		boolean retry = isRetryable(dispatch.request) && dispatch.deadline - this.clock.nanoseconds() > 0
				&& this.retryBudget.tryRetry(this.clock.nanoseconds());
		if (retry) {
			scheduleAttempt(dispatch);
		}
		else {
			dispatch.fail(failure);
		}
	}

	/**
	 * Allows a write to be acknowledged only while this daemon holds its lease and knows
	 * of no later primary.
	 * @param request the request
	 * @param answer the answer
	 * @return the answer, or a failure with an unknown outcome
	 */
	private ExecuteAnswer verifyAcknowledgement(ExecuteRequest request, ExecuteAnswer answer) {
		boolean acknowledgesWrite = request.kind().changesData() && answer.outcome() == Outcome.DONE
				&& !answer.repeated();
		if (!acknowledgesWrite) {
			return answer;
		}
		if (!this.leaseGate.isHeld(this.clock.nanoseconds())) {
			return ExecuteAnswer.failed(new MagnolialeadException(ErrorCode.LEASE_LOST, Step.FORWARD, this.daemon,
					"the lease ended before the write was acknowledged"));
		}
		GroupView group = this.view.get().groups().get(request.group());
		if (group != null && group.term() > answer.term()) {
			return ExecuteAnswer.failed(new MagnolialeadException(ErrorCode.PRIMARY_REPLACED, Step.FORWARD,
					answer.member(), "the primary of term %d was replaced by term %d before the write was acknowledged"
						.formatted(answer.term(), group.term())));
		}
		return answer;
	}

	/**
	 * Returns whether a request may be sent again after its outcome became unknown. Reads
	 * may run twice. A write of a non-repeatable profile with an idempotency key is
	 * recorded before it runs, so the owner does not execute it twice. Any other write
	 * may have run and could take effect twice.
	 * @param request the request
	 * @return {@code true} if the request may be sent again
	 */
	private boolean isRetryable(ExecuteRequest request) {
		if (request.kind() == StatementKind.READ) {
			return true;
		}
		Profile profile = this.view.get().configuration().profiles().get(request.profile());
		boolean recorded = profile != null && !profile.repeatable() && !request.idempotencyKey().isEmpty();
		return request.kind() == StatementKind.WRITE && recorded;
	}

	private void scheduleAttempt(Dispatch dispatch) {
		long delay = Math.min(MAXIMUM_DELAY_MILLISECONDS, INITIAL_DELAY_MILLISECONDS << Math.min(3, dispatch.delays++));
		long remaining = TimeUnit.NANOSECONDS.toMillis(dispatch.deadline - this.clock.nanoseconds());
		this.timer.schedule(() -> attempt(dispatch), Math.max(1, Math.min(delay, remaining)), TimeUnit.MILLISECONDS);
	}

	private static ExecuteRequest withTimeout(ExecuteRequest request, long timeoutMilliseconds) {
		return new ExecuteRequest(request.group(), request.kind(), request.statement(), request.profile(),
				request.session(), request.sessionPosition(), request.idempotencyKey(), request.transaction(),
				timeoutMilliseconds, request.configurationVersion());
	}

	/**
	 * Request that is being forwarded to the owner. Accessed by one step at a time.
	 */
	private static final class Dispatch {

		private final ExecuteRequest request;

		private final long deadline;

		private final CompletableFuture<ExecuteAnswer> result = new CompletableFuture<>();

		private volatile boolean mayHaveRun;

		private volatile int delays;

		Dispatch(ExecuteRequest request, long deadline) {
			this.request = request;
			this.deadline = deadline;
		}

		/**
		 * Completes the request with an answer. The outcome "not run" holds only for the
		 * last attempt, so it becomes unknown if an earlier attempt may have been
		 * executed.
		 * @param answer the answer
		 */
		void complete(ExecuteAnswer answer) {
			if (this.mayHaveRun && answer.outcome() == Outcome.NOT_RUN && this.request.kind().changesData()) {
				fail(new MagnolialeadException(answer.error(), answer.step(), answer.peer(), answer.message()));
				return;
			}
			this.result.complete(answer);
		}

		void fail(MagnolialeadException failure) {
			MagnolialeadException reported = failure;
			if (this.mayHaveRun && failure.code().outcome() == Outcome.NOT_RUN) {
				reported = new MagnolialeadException(ErrorCode.NO_ANSWER, failure.step(), failure.peer(),
						failure.getMessage() + "; an earlier attempt may have been executed", failure);
			}
			this.result.complete(ExecuteAnswer.failed(reported));
		}

	}

}
