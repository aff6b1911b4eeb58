package org.magnolialead.engine.session;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Session variables and prepared statements that are set on a member connection. Sessions
 * share connections, so a connection is aligned with a session before it runs one of the
 * session's statements. Not thread-safe.
 */
public final class ConnectionState {

	/**
	 * Maximum number of prepared statements of a connection; beyond it the connection is
	 * reset, which drops all of them.
	 */
	public static final int MAXIMUM_PREPARED_STATEMENTS = 256;

	private final Map<String, String> variables = new HashMap<>();

	private final Set<PreparedStatement> preparedStatements = new HashSet<>();

	/**
	 * Aligns this connection with a session. The steps of the alignment count as
	 * executed.
	 * @param sessionVariables variables of the session, by name
	 * @param statement prepared statement that runs next, or {@code null}
	 * @return the steps to execute on the connection before the statement
	 */
	public Alignment align(Map<String, String> sessionVariables, PreparedStatement statement) {
		boolean reset = !sessionVariables.keySet().containsAll(this.variables.keySet())
				|| (statement != null && this.preparedStatements.size() >= MAXIMUM_PREPARED_STATEMENTS
						&& !this.preparedStatements.contains(statement));
		if (reset) {
			this.variables.clear();
			this.preparedStatements.clear();
		}
		SortedMap<String, String> changed = new TreeMap<>();
		sessionVariables.forEach((name, value) -> {
			if (!value.equals(this.variables.put(name, value))) {
				changed.put(name, value);
			}
		});
		boolean prepare = statement != null && this.preparedStatements.add(statement);
		return new Alignment(reset, changed, prepare ? statement : null);
	}

	/**
	 * Returns how many steps an alignment would take, to select among free connections.
	 * @param sessionVariables variables of the session, by name
	 * @return the number of variables to set; one more than all variables of the session
	 * if the connection has to be reset
	 */
	public int alignmentCost(Map<String, String> sessionVariables) {
		int different = 0;
		for (Map.Entry<String, String> entry : sessionVariables.entrySet()) {
			different += entry.getValue().equals(this.variables.get(entry.getKey())) ? 0 : 1;
		}
		return sessionVariables.keySet().containsAll(this.variables.keySet()) ? different : sessionVariables.size() + 1;
	}

	/**
	 * Steps that align a connection with a session, in this order.
	 *
	 * @param reset whether all variables and prepared statements are dropped first
	 * @param variables variables to set, by name
	 * @param statement statement to prepare, or {@code null}
	 */
	public record Alignment(boolean reset, SortedMap<String, String> variables, PreparedStatement statement) {

		public Alignment {
			variables = Collections.unmodifiableSortedMap(new TreeMap<>(variables));
		}
	}

}
