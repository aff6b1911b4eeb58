package org.magnolialead.daemon.owner;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;
import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.engine.owner.ConfirmationTracker.Pending;
import org.magnolialead.engine.owner.ConfirmationTracker.State;
import org.magnolialead.transport.member.MemberResponse;

/**
 * Gives the final answers to requests. Answers to requests that run at most once go
 * through {@link AtMostOnceRequests}, which records them in the control log.
 */
final class RequestOutcomes {

	private final GroupContext context;

	private final AtMostOnceRequests atMostOnce;

	RequestOutcomes(GroupContext context, AtMostOnceRequests atMostOnce) {
		this.context = context;
		this.atMostOnce = atMostOnce;
	}

	void done(PendingRequest request, MemberResponse reply, boolean servedByReplica, String transaction) {
		request.complete(ExecuteAnswer.done(reply.body(), reply.term(), reply.position(), reply.member(),
				servedByReplica, transaction));
	}

	/**
	 * Answers a write whose confirmation has ended.
	 * @param pending the confirmation; ignored while it is still pending
	 */
	void confirmationEnded(Pending<PendingRequest> pending) {
		PendingRequest request = pending.work();
		if (pending.state() == State.CONFIRMED) {
			acknowledge(request, request.confirmationAnswer());
		}
		else if (pending.state() == State.TERM_SEALED) {
			unknown(request,
					new MagnolialeadException(ErrorCode.PRIMARY_REPLACED, Step.CONFIRM, pending.primary(),
							"the primary of term %d was replaced before the write was confirmed"
								.formatted(pending.position().term())));
		}
		else if (pending.state() == State.EXPIRED) {
			unknown(request, new MagnolialeadException(ErrorCode.NOT_CONFIRMED, Step.CONFIRM, pending.primary(),
					"too few members had received the write by the deadline"));
		}
	}

	/**
	 * Acknowledges a confirmed write. The term and the lease are checked immediately
	 * before, so that no write of a replaced primary is acknowledged.
	 * @param request the request
	 * @param answer the answer
	 */
	void acknowledge(PendingRequest request, ExecuteAnswer answer) {
		if (!this.context.mayAcknowledge(answer.term())) {
			unknown(request, new MagnolialeadException(ErrorCode.LEASE_LOST, Step.CONFIRM, answer.member(),
					"the lease or the term ended before the write was acknowledged"));
			return;
		}
		if (request.runsAtMostOnce()) {
			this.atMostOnce.complete(request, answer);
		}
		else {
			request.complete(answer);
		}
	}

	void notRun(PendingRequest request, ErrorCode code, Step step, String peer, String message) {
		notRun(request, new MagnolialeadException(code, step, peer, message), 0);
	}

	/**
	 * Fails a request that was not run. If it was sent in an earlier attempt, its outcome
	 * is unknown instead.
	 * @param request the request
	 * @param failure the failure
	 * @param retryAfterMilliseconds time in milliseconds after which the request may be
	 * tried again, 0 if not stated
	 */
	void notRun(PendingRequest request, MagnolialeadException failure, long retryAfterMilliseconds) {
		if (request.runsAtMostOnce() && !request.wasSent()) {
			this.atMostOnce.failNotRun(request, failure, retryAfterMilliseconds);
		}
		else if (request.runsAtMostOnce()) {
			this.atMostOnce.failUnknown(request, failure);
		}
		else {
			request.fail(failure, retryAfterMilliseconds);
		}
	}

	void unknown(PendingRequest request, MagnolialeadException failure) {
		if (request.runsAtMostOnce()) {
			this.atMostOnce.failUnknown(request, failure);
		}
		else {
			request.fail(failure, 0);
		}
	}

	/**
	 * Answers a request because the ownership of the group has ended.
	 * @param request the request
	 */
	void ownershipEnded(PendingRequest request) {
		if (request.wasSent() || this.atMostOnce.awaitsSentAttempt(request)) {
			request.fail(ErrorCode.LEASE_LOST, Step.EXECUTE, "", "the ownership ended before the answer was final");
		}
		else {
			notRun(request, ErrorCode.NOT_OWNER, Step.QUEUE, "", "the ownership of the group ended");
		}
	}

}
