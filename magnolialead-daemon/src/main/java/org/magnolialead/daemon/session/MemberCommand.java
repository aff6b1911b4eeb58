package org.magnolialead.daemon.session;

import java.util.List;
import java.util.Objects;

import org.magnolialead.api.LogPosition;
import org.magnolialead.engine.session.ConnectionState.AlignmentStep;
import org.magnolialead.engine.session.PreparedStatement;
import org.magnolialead.engine.session.ReplyForm;

/**
 * Command to a database member.
 *
 * @param kind kind of the command
 * @param identifier identifier of the client's statement, or {@code -} for an internal
 * command
 * @param after log position that the member must have applied, or {@code null} for none
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
	 * Creates an internal command, which this daemon sends without a statement of a
	 * client.
	 * @param kind kind of the command
	 * @param arguments arguments in order
	 * @return the command
	 */
	public static MemberCommand internal(Kind kind, String... arguments) {
		return new MemberCommand(kind, NO_IDENTIFIER, null, List.of(arguments));
	}

	/**
	 * Creates an internal command that begins a read-only transaction.
	 * @param after log position that the member must have applied
	 * @return the command
	 */
	public static MemberCommand beginRead(LogPosition after) {
		return new MemberCommand(Kind.BEGIN_READ, NO_IDENTIFIER, after, List.of());
	}

	/**
	 * Creates a command that forwards the text of a client's statement unchanged.
	 * @param statement the statement
	 * @param after log position that the member must have applied, or {@code null} for
	 * none
	 * @return the command
	 */
	public static MemberCommand forward(ClientStatement statement, LogPosition after) {
		Kind kind = (statement.verb() == ClientStatement.Verb.COMMIT) ? Kind.COMMIT : Kind.FORWARD;
		return new MemberCommand(kind, statement.identifier(), after, List.of(statement.text()));
	}

	/**
	 * Creates a command that executes a prepared statement under its shared name.
	 * @param statement the client's statement
	 * @param prepared the prepared statement
	 * @param after log position that the member must have applied, or {@code null} for
	 * none
	 * @return the command
	 */
	public static MemberCommand execute(ClientStatement statement, PreparedStatement prepared, LogPosition after) {
		return new MemberCommand(Kind.EXECUTE, statement.identifier(), after,
				List.of(prepared.sharedName(), statement.argument()));
	}

	/**
	 * Creates the command for a client's statement.
	 * @param statement the statement
	 * @param prepared the prepared statement that it executes, or {@code null}
	 * @param after log position that the member must have applied, or {@code null} for
	 * none
	 * @return the command
	 */
	public static MemberCommand of(ClientStatement statement, PreparedStatement prepared, LogPosition after) {
		return (prepared != null) ? execute(statement, prepared, after) : forward(statement, after);
	}

	/**
	 * Creates the command for a step that aligns a connection with a session.
	 * @param step the step
	 * @return the command
	 */
	public static MemberCommand of(AlignmentStep step) {
		if (step instanceof AlignmentStep.SetVariable variable) {
			return internal(Kind.SET, variable.name(), variable.value());
		}
		if (step instanceof AlignmentStep.Prepare prepare) {
			PreparedStatement prepared = prepare.statement();
			Kind kind = prepared.writes() ? Kind.PREPARE_WRITE : Kind.PREPARE_READ;
			return internal(kind, prepared.sharedName(), prepared.text());
		}
		return internal(Kind.RESET);
	}

	/**
	 * Kind of command.
	 */
	public enum Kind {

		/**
		 * Forwards a client's statement other than a commit; the argument is its text.
		 */
		FORWARD(ReplyForm.STATEMENT),
		/** Forwards a client's commit; the argument is its text. */
		COMMIT(ReplyForm.COMMIT),
		/**
		 * Executes a prepared statement; arguments are its shared name and its
		 * parameters.
		 */
		EXECUTE(ReplyForm.STATEMENT),
		/** Begins a transaction that may write; only the primary accepts it. */
		BEGIN(ReplyForm.BEGIN),
		/** Begins a transaction that only reads. */
		BEGIN_READ(ReplyForm.BEGIN),
		/** Rolls a transaction back. */
		ROLLBACK(ReplyForm.ROLLBACK),
		/** Sets a session variable; arguments are its name and value. */
		SET(ReplyForm.SETTING),
		/** Prepares a read; arguments are the shared name and the statement text. */
		PREPARE_READ(ReplyForm.SETTING),
		/** Prepares a write; arguments are the shared name and the statement text. */
		PREPARE_WRITE(ReplyForm.SETTING),
		/** Drops all session variables and prepared statements. */
		RESET(ReplyForm.SETTING),
		/** Requests the role, term and log positions. */
		STATUS(ReplyForm.STATUS),
		/** Demotes a primary of a lower term to a replica; the argument is the term. */
		DEMOTE(ReplyForm.STATUS),
		/** Stops a replica from receiving commits; the argument is a new term. */
		PAUSE(ReplyForm.STATUS),
		/** Lets a paused replica receive commits again. */
		RESUME(ReplyForm.STATUS);

		private final ReplyForm replyForm;

		Kind(ReplyForm replyForm) {
			this.replyForm = replyForm;
		}

		/**
		 * Returns the form of the reply to a command of this kind.
		 * @return the form
		 */
		public ReplyForm replyForm() {
			return this.replyForm;
		}

	}

}
