package org.magnolialead.api.session;

import java.util.List;
import java.util.Objects;

import org.magnolialead.api.LogPosition;

/**
 * Complete answer to a statement of a client or to a command for a member.
 *
 * @param rows result rows in order
 * @param proof proof of execution issued by the member; {@code -} if this daemon executed
 * the statement itself, {@code null} if there is an error
 * @param error the error, or {@code null} if the statement succeeded
 * @param detail description of the error for the client; empty if there is none
 * @param state state of the session afterwards
 * @param position log position that the member reported, or {@code null}
 */
public record StatementReply(List<String> rows, String proof, StatementError error, String detail, SessionState state,
		LogPosition position) {

	/** Placeholder for the proof in answers that no member gave. */
	public static final String NO_PROOF = "-";

	/**
	 * Reply that stands for the missing answer of a member whose connection was lost.
	 */
	public static final StatementReply CONNECTION_LOST = failed(StatementError.CONNECTION_LOST, "connection closed",
			SessionState.IDLE);

	public StatementReply {
		rows = List.copyOf(rows);
		Objects.requireNonNull(state, "state must not be null");
	}

	/**
	 * Creates the answer to a statement that this daemon executed itself.
	 * @param state state of the session afterwards
	 * @return the answer
	 */
	public static StatementReply done(SessionState state) {
		return new StatementReply(List.of(), NO_PROOF, null, "", state, null);
	}

	/**
	 * Creates an error answer.
	 * @param error the error
	 * @param detail description of the error for the client
	 * @param state state of the session afterwards
	 * @return the answer
	 */
	public static StatementReply failed(StatementError error, String detail, SessionState state) {
		return new StatementReply(List.of(), null, error, detail, state, null);
	}

	/**
	 * Tells whether the statement succeeded.
	 * @return {@code true} without an error
	 */
	public boolean isDone() {
		return this.error == null;
	}

	/**
	 * Tells whether a member has proved that it executed the statement.
	 * @return {@code false} for errors and for commands that members do not prove
	 */
	public boolean hasProof() {
		return this.proof != null && !this.proof.equals(NO_PROOF);
	}

	/**
	 * Returns this answer without a log position.
	 * @return the answer
	 */
	public StatementReply withoutPosition() {
		return new StatementReply(this.rows, this.proof, this.error, this.detail, this.state, null);
	}

	/**
	 * Returns this answer with another state of the session.
	 * @param other state of the session afterwards
	 * @return the answer
	 */
	public StatementReply withState(SessionState other) {
		return new StatementReply(this.rows, this.proof, this.error, this.detail, other, this.position);
	}

}
