package org.magnolialead.api.message;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Outcome;
import org.magnolialead.api.Step;

/**
 * Answer of the owner of a database group to a caller's request.
 *
 * @param outcome what is known about the execution
 * @param error error code, or {@code null} on success
 * @param step step at which the error occurred, or {@code null} on success
 * @param peer peer that was involved in the error, or an empty string
 * @param message error message, or an empty string
 * @param result result of the database as JSON text in UTF-8, empty if none
 * @param term term of the primary, or of the replica that answered
 * @param position log position of a write, or of the member that answered a read
 * @param member name of the member that answered, or an empty string
 * @param servedByReplica whether a replica served the read
 * @param transaction identifier of a transaction that was opened, or an empty string
 * @param retryAfterMilliseconds time in milliseconds after which a refused request may be
 * retried; 0 if not specified
 * @param repeated whether this is the stored answer of an earlier attempt
 */
public record ExecuteAnswer(Outcome outcome, ErrorCode error, Step step, String peer, String message, byte[] result,
		long term, LogPosition position, String member, boolean servedByReplica, String transaction,
		long retryAfterMilliseconds, boolean repeated) {

	private static final byte[] NO_RESULT = {};

	/**
	 * Returns the answer to a request that was executed.
	 * @param result result of the database
	 * @param term term of the member that answered
	 * @param position log position of the write, or of the member that answered a read
	 * @param member name of the member that answered
	 * @param servedByReplica whether a replica served the read
	 * @param transaction identifier of an opened transaction, or an empty string
	 * @return the answer
	 */
	public static ExecuteAnswer done(byte[] result, long term, LogPosition position, String member,
			boolean servedByReplica, String transaction) {
		return new ExecuteAnswer(Outcome.DONE, null, null, "", "", result, term, position, member, servedByReplica,
				transaction, 0, false);
	}

	/**
	 * Returns the answer to a request that failed.
	 * @param failure the error
	 * @return the answer
	 */
	public static ExecuteAnswer failed(MagnolialeadException failure) {
		return failed(failure, 0);
	}

	/**
	 * Returns the answer to a request that failed and may be retried later.
	 * @param failure the error
	 * @param retryAfterMilliseconds time in milliseconds after which it may be retried; 0
	 * if not specified
	 * @return the answer
	 */
	public static ExecuteAnswer failed(MagnolialeadException failure, long retryAfterMilliseconds) {
		return new ExecuteAnswer(failure.code().outcome(), failure.code(), failure.step(), failure.peer(),
				failure.getMessage(), NO_RESULT, 0, LogPosition.NONE, "", false, "", retryAfterMilliseconds, false);
	}

	/**
	 * Returns this answer marked as the stored answer of an earlier attempt.
	 * @return the marked answer
	 */
	public ExecuteAnswer asRepeated() {
		return new ExecuteAnswer(this.outcome, this.error, this.step, this.peer, this.message, this.result, this.term,
				this.position, this.member, this.servedByReplica, this.transaction, this.retryAfterMilliseconds, true);
	}

}
