package org.magnolialead.engine.session;

import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;

/**
 * Form that the reply to a command of a member connection has if the command succeeds.
 * Each command may also be answered with an error. A reply of another form belongs to
 * another command.
 */
public enum ReplyForm {

	/** Statement of a client other than a commit: any rows and a proof of execution. */
	STATEMENT {

		@Override
		boolean isSuccess(StatementReply reply, SessionState before) {
			return reply.hasProof() && reply.state() == before;
		}

	},
	/** Commit: any rows and a proof of execution, in no transaction afterwards. */
	COMMIT {

		@Override
		boolean isSuccess(StatementReply reply, SessionState before) {
			return reply.hasProof() && reply.state() == SessionState.IDLE;
		}

	},
	/** Begin of a transaction: no rows and no proof, in a transaction afterwards. */
	BEGIN {

		@Override
		boolean isSuccess(StatementReply reply, SessionState before) {
			return isEmpty(reply) && reply.state() == SessionState.TRANSACTION;
		}

	},
	/** Rollback: no rows and no proof, in no transaction afterwards. */
	ROLLBACK {

		@Override
		boolean isSuccess(StatementReply reply, SessionState before) {
			return isEmpty(reply) && reply.state() == SessionState.IDLE;
		}

	},
	/** Change of the session on the connection: no rows and no proof. */
	SETTING {

		@Override
		boolean isSuccess(StatementReply reply, SessionState before) {
			return isEmpty(reply) && reply.state() == before;
		}

	},
	/** Command that is answered with the status of the member: rows without a proof. */
	STATUS {

		@Override
		boolean isSuccess(StatementReply reply, SessionState before) {
			return !reply.hasProof() && !reply.rows().isEmpty() && reply.state() == before;
		}

	};

	/**
	 * Tells whether a reply without an error is one to a command of this form.
	 * @param reply the reply
	 * @param before state of the connection when the member received the command
	 * @return {@code false} if the reply belongs to another command
	 */
	abstract boolean isSuccess(StatementReply reply, SessionState before);

	/**
	 * Tells whether a reply can be the one to a command of this form.
	 * @param reply the reply
	 * @param before state of the connection when the member received the command
	 * @return {@code false} if the reply belongs to another command
	 */
	public boolean permits(StatementReply reply, SessionState before) {
		return reply.isDone() ? isSuccess(reply, before) : isFailure(reply, before);
	}

	/**
	 * Tells whether the content of the reply matters, so that the reply must not be a
	 * repetition of an earlier one in any case.
	 * @return {@code false} if only success or failure matters
	 */
	boolean needsCertainty() {
		return this == STATEMENT || this == COMMIT || this == STATUS;
	}

	// A failed transaction refuses everything but its end as malformed.
	private static boolean isFailure(StatementReply reply, SessionState before) {
		boolean malformed = reply.error() == StatementError.MALFORMED;
		return switch (before) {
			case IDLE -> reply.state() == SessionState.IDLE;
			case TRANSACTION -> !malformed;
			case FAILED_TRANSACTION -> malformed;
		};
	}

	private static boolean isEmpty(StatementReply reply) {
		return !reply.hasProof() && reply.rows().isEmpty();
	}

}
