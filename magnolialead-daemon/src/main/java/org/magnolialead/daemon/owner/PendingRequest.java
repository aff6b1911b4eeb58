package org.magnolialead.daemon.owner;

import java.util.concurrent.CompletableFuture;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Outcome;
import org.magnolialead.api.Profile;
import org.magnolialead.api.Step;
import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.api.message.ExecuteRequest;

/**
 * Request that the owner of a group has accepted and not yet answered. Confined to the
 * serial executor of the group.
 */
final class PendingRequest {

	private final ExecuteRequest request;

	private final Profile profile;

	private final long deadline;

	private final CompletableFuture<ExecuteAnswer> answer = new CompletableFuture<>();

	private LogPosition required = LogPosition.NONE;

	private boolean floorKnown = true;

	private boolean primaryOnly;

	private boolean queued;

	private boolean recorded;

	private boolean sent;

	private int attempts;

	private ExecuteAnswer confirmationAnswer;

	PendingRequest(ExecuteRequest request, Profile profile, long deadline) {
		this.request = request;
		this.profile = profile;
		this.deadline = deadline;
	}

	ExecuteRequest request() {
		return this.request;
	}

	Profile profile() {
		return this.profile;
	}

	long deadline() {
		return this.deadline;
	}

	CompletableFuture<ExecuteAnswer> answer() {
		return this.answer;
	}

	LogPosition required() {
		return this.required;
	}

	boolean floorKnown() {
		return this.floorKnown;
	}

	void requirePosition(LogPosition position, boolean known) {
		this.required = position;
		this.floorKnown = known;
	}

	boolean primaryOnly() {
		return this.primaryOnly;
	}

	void restrictToPrimary() {
		this.primaryOnly = true;
	}

	/**
	 * Tells whether the request was sent to a member in an attempt that may have been
	 * executed.
	 * @return {@code true} if the request may have been executed
	 */
	boolean wasSent() {
		return this.sent;
	}

	void markSent() {
		this.sent = true;
		this.attempts++;
	}

	/**
	 * Records that the last attempt was certainly not executed. This clears the sent flag
	 * only if it was the only attempt, because an earlier one may have been executed.
	 */
	void markNotExecuted() {
		if (this.attempts == 1) {
			this.sent = false;
			this.attempts = 0;
		}
	}

	/**
	 * Returns the answer that is returned to the caller once the write is confirmed.
	 * @return the answer
	 */
	ExecuteAnswer confirmationAnswer() {
		return this.confirmationAnswer;
	}

	void confirmationAnswer(ExecuteAnswer confirmed) {
		this.confirmationAnswer = confirmed;
	}

	int attempts() {
		return this.attempts;
	}

	/**
	 * Tells whether the request runs at most once, which its record in the control log
	 * ensures.
	 * @return {@code true} for a non-repeatable change with an idempotency key
	 */
	boolean runsAtMostOnce() {
		return !this.profile.repeatable() && this.request.kind().changesData()
				&& !this.request.idempotencyKey().isEmpty();
	}

	/**
	 * Tells whether the request may be sent to a member. A request that runs at most once
	 * must be recorded in the control log first.
	 * @return {@code true} if it may be sent now
	 */
	boolean maySend() {
		return this.recorded || !runsAtMostOnce();
	}

	/**
	 * Tells whether the request was queued before its intent was recorded.
	 * @return {@code true} if it must not be queued again when the intent is recorded
	 */
	boolean isQueued() {
		return this.queued;
	}

	void markQueued() {
		this.queued = true;
	}

	void markRecorded() {
		this.recorded = true;
	}

	/**
	 * Tells whether the request may be executed again after an attempt with an unknown
	 * outcome, which holds only if it changes no data.
	 * @return {@code true} for a read outside a transaction
	 */
	boolean isSafeToRepeat() {
		return !this.request.kind().isTransactional() && !this.request.kind().changesData();
	}

	void complete(ExecuteAnswer completed) {
		this.answer.complete(completed);
	}

	/**
	 * Completes the answer with an error. If the request was sent, an error whose outcome
	 * is "not run" is reported as unknown, except a rejected statement.
	 * @param code the error code
	 * @param step step at which the error occurred
	 * @param peer the peer, or an empty string
	 * @param message description of the error
	 */
	void fail(ErrorCode code, Step step, String peer, String message) {
		fail(new MagnolialeadException(code, step, peer, message), 0);
	}

	void fail(MagnolialeadException failure, long retryAfterMilliseconds) {
		MagnolialeadException reported = failure;
		if (this.sent && failure.code().outcome() == Outcome.NOT_RUN
				&& failure.code() != ErrorCode.STATEMENT_REJECTED) {
			reported = new MagnolialeadException(ErrorCode.NO_ANSWER, failure.step(), failure.peer(),
					failure.getMessage() + "; an earlier attempt may have been executed", failure);
		}
		this.answer.complete(ExecuteAnswer.failed(reported, retryAfterMilliseconds));
	}

}
