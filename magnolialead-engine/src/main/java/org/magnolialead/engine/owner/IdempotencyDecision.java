package org.magnolialead.engine.owner;

import java.util.Objects;

import org.magnolialead.api.command.RequestRecord;

/**
 * Decision on a request with an idempotency key, which must be executed at most once.
 */
public sealed interface IdempotencyDecision {

	/**
	 * Decides on a request on arrival, before the control plane is queried.
	 * @param local record of the owner
	 * @param digest digest of the request
	 * @return {@link Execute} if BeginRequest must be submitted; otherwise the final
	 * decision
	 */
	static IdempotencyDecision onArrival(LocalRecord local, String digest) {
		if (local.state() == LocalState.ABSENT) {
			return new Execute();
		}
		if (!local.digest().equals(digest)) {
			return new KeyReused();
		}
		return (local.state() == LocalState.UNKNOWN) ? new Unknown() : new AwaitOutcome();
	}

	/**
	 * Decides on a request whose BeginRequest the control plane has accepted. If the
	 * command was submitted twice because the first response was lost, the second
	 * response does not mark the record as new; the local record of the owner then shows
	 * that the statement has not been sent.
	 * @param record record in the state of the control plane
	 * @param local local record of the owner; BEGINNING if this request submitted the
	 * command
	 * @param digest digest of the request
	 * @param ownerEpoch epoch of this owner
	 * @param attempt attempt of this owner that submitted the command
	 * @return the decision; {@link Execute} permits exactly one execution
	 */
	static IdempotencyDecision onRecord(RequestRecord record, LocalRecord local, String digest, long ownerEpoch,
			long attempt) {
		if (!record.digest().equals(digest)) {
			return new KeyReused();
		}
		if (record.finished()) {
			return new Replay((record.answer() != null) ? record.answer() : new byte[0]);
		}
		if (record.ownerEpoch() != ownerEpoch || record.attempt() != attempt) {
			return new Unknown();
		}
		return switch (local.state()) {
			case BEGINNING -> new Execute();
			case SENT -> new AwaitOutcome();
			case ABSENT -> record.newlyBegun() ? new Execute() : new Unknown();
			case UNKNOWN -> new Unknown();
		};
	}

	/** The request has not been sent; it may be sent now, exactly once. */
	record Execute() implements IdempotencyDecision {
	}

	/** The request is in progress; wait for its outcome. */
	record AwaitOutcome() implements IdempotencyDecision {
	}

	/**
	 * The request was executed earlier; return the stored answer.
	 *
	 * @param answer stored answer, or an empty array if none was kept
	 */
	record Replay(byte[] answer) implements IdempotencyDecision {

		public Replay {
			Objects.requireNonNull(answer, "answer must not be null");
		}
	}

	/** An earlier attempt may have been executed; the request is never run again. */
	record Unknown() implements IdempotencyDecision {
	}

	/** The key was used for a different request. */
	record KeyReused() implements IdempotencyDecision {
	}

	/** State of a key that is known locally to the owner. */
	enum LocalState {

		/** The key is not known. */
		ABSENT,
		/**
		 * The intent was submitted to the control plane and the statement has not been
		 * sent.
		 */
		BEGINNING,
		/** The statement was sent and its outcome is pending. */
		SENT,
		/** The outcome cannot be determined. */
		UNKNOWN

	}

	/**
	 * Local record of the owner for a key.
	 *
	 * @param state known state
	 * @param digest digest of the request
	 */
	record LocalRecord(LocalState state, String digest) {

		/** Record of a key that the owner does not know. */
		public static final LocalRecord ABSENT = new LocalRecord(LocalState.ABSENT, "");

		public LocalRecord {
			Objects.requireNonNull(state, "state must not be null");
			Objects.requireNonNull(digest, "digest must not be null");
		}
	}

}
