package org.magnolialead.daemon.session;

import java.util.List;
import java.util.Objects;

import org.magnolialead.api.LogPosition;

/**
 * Complete answer to a statement.
 *
 * @param rows rows in order
 * @param proof proof of execution given by the member, {@code -} if this daemon answered;
 * {@code null} with an error
 * @param error the error, or {@code null}
 * @param detail text that comes with the error
 * @param state state of the session afterwards
 * @param position log position of the member, or {@code null} if not stated
 */
public record StatementReply(List<String> rows, String proof, StatementError error, String detail, SessionState state,
		LogPosition position) {

	/** Proof in answers of this daemon. */
	private static final String NO_PROOF = "-";

	/**
	 * Stands for the answer that will not come because the connection has ended.
	 */
	public static final StatementReply CONNECTION_LOST = failed(StatementError.CONNECTION_LOST, "connection closed",
			SessionState.IDLE);

	public StatementReply {
		rows = List.copyOf(rows);
		Objects.requireNonNull(state, "state must not be null");
	}

	/**
	 * Creates the answer to a statement that this daemon carried out itself.
	 * @param state state of the session afterwards
	 * @return the answer
	 */
	public static StatementReply done(SessionState state) {
		return new StatementReply(List.of(), NO_PROOF, null, "", state, null);
	}

	/**
	 * Creates an error answer.
	 * @param error the error
	 * @param detail text for the client
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
	 * Returns this answer with another state of the session.
	 * @param other state of the session afterwards
	 * @return the answer
	 */
	public StatementReply withState(SessionState other) {
		return new StatementReply(this.rows, this.proof, this.error, this.detail, other, this.position);
	}

}
