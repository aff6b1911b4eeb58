package org.magnolialead.daemon.session;

import java.util.List;
import java.util.Objects;

import org.magnolialead.api.LogPosition;
import org.magnolialead.engine.session.PreparedStatement;

/**
 * Command to a database member.
 *
 * @param kind what is asked for
 * @param identifier identifier of the client's statement, or {@code -} for commands of
 * this daemon
 * @param after position that the member must have applied, or {@code null}
 * @param arguments arguments in order
 */
public record MemberCommand(Kind kind, String identifier, LogPosition after, List<String> arguments) {

	private static final String NO_IDENTIFIER = "-";

	public MemberCommand {
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(identifier, "identifier must not be null");
		arguments = List.copyOf(arguments);
	}

	/**
	 * Creates a command of this daemon.
	 * @param kind what is asked for
	 * @param arguments arguments in order
	 * @return the command
	 */
	public static MemberCommand internal(Kind kind, String... arguments) {
		return new MemberCommand(kind, NO_IDENTIFIER, null, List.of(arguments));
	}

	/**
	 * Creates a command of this daemon that begins a read-only transaction.
	 * @param after position that the member must have applied
	 * @return the command
	 */
	public static MemberCommand beginRead(LogPosition after) {
		return new MemberCommand(Kind.BEGIN_READ, NO_IDENTIFIER, after, List.of());
	}

	/**
	 * Creates a command that passes on a client's text unchanged.
	 * @param statement the statement
	 * @param after position that the member must have applied, or {@code null}
	 * @return the command
	 */
	public static MemberCommand forward(ClientStatement statement, LogPosition after) {
		return new MemberCommand(Kind.FORWARD, statement.identifier(), after, List.of(statement.text()));
	}

	/**
	 * Creates a command that executes a prepared statement under its shared name.
	 * @param statement the client's statement
	 * @param prepared what the client prepared
	 * @param after position that the member must have applied, or {@code null}
	 * @return the command
	 */
	public static MemberCommand execute(ClientStatement statement, PreparedStatement prepared, LogPosition after) {
		return new MemberCommand(Kind.EXECUTE, statement.identifier(), after,
				List.of(prepared.sharedName(), statement.argument()));
	}

	/**
	 * Kind of a command.
	 */
	public enum Kind {

		/** Passes on a client's text, its only argument. */
		FORWARD,
		/** Executes a prepared statement; arguments are its name and the rest. */
		EXECUTE,
		/** Begins a transaction that may write, which only the primary accepts. */
		BEGIN,
		/** Begins a transaction that only reads. */
		BEGIN_READ,
		/** Rolls a transaction back. */
		ROLLBACK,
		/** Sets a value; arguments are its name and the value. */
		SET,
		/** Prepares a read; arguments are name and shape. */
		PREPARE_READ,
		/** Prepares a write; arguments are name and shape. */
		PREPARE_WRITE,
		/** Drops all values and prepared statements. */
		RESET,
		/** Asks for role, term and positions. */
		STATUS,
		/** Makes a primary of a lower term a replica; the argument is the term. */
		DEMOTE

	}

}
