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

	private final Map<String, String> values = new HashMap<>();

	private final Set<PreparedStatement> preparedStatements = new HashSet<>();

	/**
	 * Aligns this connection with a session. The steps of the alignment count as
	 * executed.
	 * @param sessionValues values of the session
	 * @param statement prepared statement that runs next, or {@code null}
	 * @return the steps to execute on the connection before the statement
	 */
	public Alignment align(Map<String, String> sessionValues, PreparedStatement statement) {
		boolean reset = !sessionValues.keySet().containsAll(this.values.keySet())
				|| (statement != null && this.preparedStatements.size() >= MAXIMUM_PREPARED_STATEMENTS
						&& !this.preparedStatements.contains(statement));
		if (reset) {
			this.values.clear();
			this.preparedStatements.clear();
		}
		SortedMap<String, String> changed = new TreeMap<>();
		sessionValues.forEach((name, value) -> {
			if (!value.equals(this.values.put(name, value))) {
				changed.put(name, value);
			}
		});
		boolean prepare = statement != null && this.preparedStatements.add(statement);
		return new Alignment(reset, changed, prepare ? statement : null);
	}

	/**
	 * Returns how many steps an alignment would take, to select among free connections.
	 * @param sessionValues values of the session
	 * @return the number of variables to set; one more than all variables of the session
	 * if the connection has to be reset
	 */
	public int alignmentCost(Map<String, String> sessionValues) {
		int different = 0;
		for (Map.Entry<String, String> entry : sessionValues.entrySet()) {
			different += entry.getValue().equals(this.values.get(entry.getKey())) ? 0 : 1;
		}
		return sessionValues.keySet().containsAll(this.values.keySet()) ? different : sessionValues.size() + 1;
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
