package org.magnolialead.daemon.session;

import java.util.Objects;

/**
 * Statement of a client.
 *
 * @param identifier identifier given by the client
 * @param verb what it asks for
 * @param name name of the value or prepared statement, otherwise an empty string
 * @param argument what follows the name, otherwise an empty string
 * @param text text as received
 * @param receivedAt time of the monotonic clock in nanoseconds, read before its first
 * byte was taken from the connection
 */
public record ClientStatement(String identifier, Verb verb, String name, String argument, String text,
		long receivedAt) {

	public ClientStatement {
		Objects.requireNonNull(identifier, "identifier must not be null");
		Objects.requireNonNull(verb, "verb must not be null");
		Objects.requireNonNull(text, "text must not be null");
	}

	/**
	 * Kind of a statement.
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
		/** Sets a value of the session. */
		SET,
		/** Prepares a read. */
		PREPARE_READ,
		/** Prepares a write. */
		PREPARE_WRITE,
		/** Executes a prepared statement. */
		EXECUTE,
		/** Drops a prepared statement. */
		CLOSE,
		/** Cannot be read. */
		MALFORMED

	}

}
