package org.magnolialead.engine.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * What is known of the session variables and prepared statements of a member connection.
 * Sessions share connections, so a connection is aligned with a session before it runs
 * one of the session's statements. Only the member's confirmation of a step makes its
 * effect known: from the moment at which a step is sent until it is confirmed, and after
 * a refusal, the connection may be in either state. Not thread-safe.
 */
public final class ConnectionState {

	/**
	 * Maximum number of prepared statements of a connection; beyond it the connection is
	 * reset, which drops all of them.
	 */
	public static final int MAXIMUM_PREPARED_STATEMENTS = 256;

	/** Variables that may be set, by name; empty if the value is not known. */
	private final Map<String, Optional<String>> variables = new HashMap<>();

	/**
	 * Shared names of the prepared statements that the member has confirmed. Their texts
	 * belong to the sessions, and a connection outlives these.
	 */
	private final Set<String> preparedStatements = new HashSet<>();

	/**
	 * Returns the steps that align this connection with a session. Sending a step and its
	 * confirmation are recorded with {@link AlignmentStep#sentOn} and
	 * {@link AlignmentStep#confirmedOn}.
	 * @param sessionVariables variables of the session, by name
	 * @param statement prepared statement that runs next, or {@code null}
	 * @return the steps in order; empty if the connection is known to be aligned
	 */
	public List<AlignmentStep> stepsTo(Map<String, String> sessionVariables, PreparedStatement statement) {
		List<AlignmentStep> steps = new ArrayList<>();
		boolean reset = hasOtherVariables(sessionVariables) || lacksSpace(statement);
		if (reset) {
			steps.add(new AlignmentStep.Reset());
		}
		new TreeMap<>(sessionVariables).forEach((name, value) -> {
			if (reset || !isKnown(name, value)) {
				steps.add(new AlignmentStep.SetVariable(name, value));
			}
		});
		if (statement != null && (reset || !this.preparedStatements.contains(statement.sharedName()))) {
			steps.add(new AlignmentStep.Prepare(statement));
		}
		return List.copyOf(steps);
	}

	/**
	 * Tells whether this connection is known to hold exactly the variables of a session
	 * and its prepared statement.
	 * @param sessionVariables variables of the session, by name
	 * @param statement prepared statement that runs next, or {@code null}
	 * @return {@code false} if a step is missing or not confirmed
	 */
	public boolean isAligned(Map<String, String> sessionVariables, PreparedStatement statement) {
		return stepsTo(sessionVariables, statement).isEmpty();
	}

	/**
	 * Records that the member does not know a prepared statement.
	 * @param statement the statement
	 */
	public void notPrepared(PreparedStatement statement) {
		this.preparedStatements.remove(statement.sharedName());
	}

	/**
	 * Returns how many steps an alignment of the variables would take, to select among
	 * free connections.
	 * @param sessionVariables variables of the session, by name
	 * @return the number of variables to set; one more than all variables of the session
	 * if the connection has to be reset
	 */
	public int alignmentCost(Map<String, String> sessionVariables) {
		if (hasOtherVariables(sessionVariables)) {
			return sessionVariables.size() + 1;
		}
		int different = 0;
		for (Map.Entry<String, String> entry : sessionVariables.entrySet()) {
			different += isKnown(entry.getKey(), entry.getValue()) ? 0 : 1;
		}
		return different;
	}

	private boolean hasOtherVariables(Map<String, String> sessionVariables) {
		return !sessionVariables.keySet().containsAll(this.variables.keySet());
	}

	private boolean lacksSpace(PreparedStatement statement) {
		return statement != null && this.preparedStatements.size() >= MAXIMUM_PREPARED_STATEMENTS
				&& !this.preparedStatements.contains(statement.sharedName());
	}

	private boolean isKnown(String name, String value) {
		return Optional.of(value).equals(this.variables.get(name));
	}

	/**
	 * Step of an alignment. All steps are idempotent, so a refused one may be repeated.
	 */
	public sealed interface AlignmentStep {

		/**
		 * Records that this step is sent. Until the member confirms it, its effect is not
		 * known.
		 * @param state state of the connection
		 */
		void sentOn(ConnectionState state);

		/**
		 * Records that the member has confirmed this step. Confirmations are recorded in
		 * the order of the steps.
		 * @param state state of the connection
		 */
		void confirmedOn(ConnectionState state);

		/**
		 * Drops all variables and prepared statements.
		 */
		record Reset() implements AlignmentStep {

			@Override
			public void sentOn(ConnectionState state) {
				state.variables.replaceAll((name, value) -> Optional.empty());
				state.preparedStatements.clear();
			}

			@Override
			public void confirmedOn(ConnectionState state) {
				state.variables.clear();
				state.preparedStatements.clear();
			}

		}

		/**
		 * Sets a session variable.
		 *
		 * @param name name of the variable
		 * @param value its value
		 */
		record SetVariable(String name, String value) implements AlignmentStep {

			public SetVariable {
				Objects.requireNonNull(name, "name must not be null");
				Objects.requireNonNull(value, "value must not be null");
			}

			@Override
			public void sentOn(ConnectionState state) {
				state.variables.put(this.name, Optional.empty());
			}

			@Override
			public void confirmedOn(ConnectionState state) {
				state.variables.put(this.name, Optional.of(this.value));
			}

		}

		/**
		 * Prepares a statement.
		 *
		 * @param statement the statement
		 */
		record Prepare(PreparedStatement statement) implements AlignmentStep {

			public Prepare {
				Objects.requireNonNull(statement, "statement must not be null");
			}

			@Override
			public void sentOn(ConnectionState state) {
				state.preparedStatements.remove(this.statement.sharedName());
			}

			@Override
			public void confirmedOn(ConnectionState state) {
				state.preparedStatements.add(this.statement.sharedName());
			}

		}

	}

}
