package org.magnolialead.api.message;

import java.util.Map;
import java.util.Objects;

import org.magnolialead.api.LogPosition;
import org.magnolialead.api.Route;

/**
 * Statement that the daemon of a session forwards to a daemon that holds connections to
 * the members of the group. Statements of one transaction are sent over one connection.
 *
 * @param route route of the session
 * @param account name of the client account, or an empty string if there is none
 * @param sessionVariables session variables by name
 * @param position log position of the last commit of the session
 * @param identifier identifier given by the client
 * @param action effect of the statement
 * @param text statement text of the client
 * @param prepared prepared statement that the statement executes, or {@code null}
 * @param transaction transaction of the statement, or {@code null} outside a transaction
 * @param timeoutMicroseconds time in microseconds from the arrival of this message until
 * the statement must be answered
 */
public record ForwardStatementRequest(Route route, String account, Map<String, String> sessionVariables,
		LogPosition position, String identifier, Action action, String text, Prepared prepared,
		TransactionScope transaction, long timeoutMicroseconds) {

	public ForwardStatementRequest {
		Objects.requireNonNull(route, "route must not be null");
		// Absent in messages of earlier releases, which know no client accounts.
		account = (account != null) ? account : "";
		sessionVariables = Map.copyOf(sessionVariables);
		Objects.requireNonNull(position, "position must not be null");
		Objects.requireNonNull(identifier, "identifier must not be null");
		Objects.requireNonNull(action, "action must not be null");
		Objects.requireNonNull(text, "text must not be null");
		if (action == Action.COMMIT && transaction == null) {
			throw new IllegalArgumentException("a commit must name its transaction");
		}
	}

	/**
	 * Returns this statement with another timeout.
	 * @param microseconds time in microseconds from the arrival of the message
	 * @return the statement
	 */
	public ForwardStatementRequest withTimeout(long microseconds) {
		return new ForwardStatementRequest(this.route, this.account, this.sessionVariables, this.position,
				this.identifier, this.action, this.text, this.prepared, this.transaction, microseconds);
	}

	/**
	 * Effect of a forwarded statement.
	 */
	public enum Action {

		/** Reads data. */
		READ,
		/** Writes data. */
		WRITE,
		/** Commits the transaction. */
		COMMIT

	}

	/**
	 * Execution of a prepared statement.
	 *
	 * @param writes whether the prepared statement writes
	 * @param text text that the client prepared
	 * @param argument parameters of the execution
	 */
	public record Prepared(boolean writes, String text, String argument) {

		public Prepared {
			Objects.requireNonNull(text, "text must not be null");
			Objects.requireNonNull(argument, "argument must not be null");
		}

	}

	/**
	 * Transaction of a forwarded statement.
	 *
	 * @param number number that is unique on the connection between the two daemons
	 * @param first whether this is the first statement, with which the transaction begins
	 * @param readOnly whether the transaction only reads
	 */
	public record TransactionScope(long number, boolean first, boolean readOnly) {
	}

}
