package org.magnolialead.daemon.session;

import java.util.Objects;

/**
 * Statement that a client has sent.
 *
 * @param identifier identifier given by the client
 * @param verb kind of the statement
 * @param name name of the session variable or prepared statement, otherwise an empty
 * string
 * @param argument text after the name, otherwise an empty string
 * @param text statement text as received
 * @param receivedAt monotonic time in nanoseconds, taken before the first byte of the
 * statement was read from the connection
 */
public record ClientStatement(String identifier, Verb verb, String name, String argument, String text,
		long receivedAt) {

	public ClientStatement {
		Objects.requireNonNull(identifier, "identifier must not be null");
		Objects.requireNonNull(verb, "verb must not be null");
		Objects.requireNonNull(text, "text must not be null");
	}

	/**
	 * Kind of statement.
	 */
	public enum Verb {

		/** Begins a transaction that may write. */
		BEGIN,
		/** Begins a transaction that only reads. */
		BEGIN_READ,
		/** Commits the transaction. */
		COMMIT,
		/** Rolls the transaction back. */
		ROLLBACK,
		/** Reads an item. */
		READ,
		/** Writes an item. */
		WRITE,
		/** Sets a session variable. */
		SET,
		/** Prepares a read. */
		PREPARE_READ,
		/** Prepares a write. */
		PREPARE_WRITE,
		/** Executes a prepared statement. */
		EXECUTE,
		/** Closes a prepared statement. */
		CLOSE,
		/** Cannot be parsed. */
		MALFORMED

	}

}
