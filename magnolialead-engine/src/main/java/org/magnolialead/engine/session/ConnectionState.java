package org.magnolialead.engine.session;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What a member connection holds: session values and prepared statements. Connections are
 * shared by sessions, so a connection is aligned with a session before it runs one of its
 * statements. Not safe for concurrent use.
 */
public final class ConnectionState {

	/** Prepared statements that one connection keeps; more are dropped together. */
	public static final int MAXIMUM_PREPARED_STATEMENTS = 256;

	private final Map<String, String> values = new HashMap<>();

	private final Set<PreparedStatement> preparedStatements = new HashSet<>();

	/**
	 * Aligns this connection with a session.
	 * @param sessionValues values of the session
	 * @param statement prepared statement that is about to run, or {@code null}
	 * @return what the connection must be told first; it is taken for done
	 */
	public Alignment align(Map<String, String> sessionValues, PreparedStatement statement) {
		boolean reset = !sessionValues.keySet().containsAll(this.values.keySet()) || (statement != null
				&& this.preparedStatements.size() >= MAXIMUM_PREPARED_STATEMENTS
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
	 * Tells how many steps an alignment would take, to choose among free connections.
	 * @param sessionValues values of the session
	 * @return the number of values to set, more if the connection has to be reset
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
	 * @param reset whether all values and prepared statements are dropped first
	 * @param values values to set
	 * @param statement statement to prepare, or {@code null}
	 */
	public record Alignment(boolean reset, SortedMap<String, String> values, PreparedStatement statement) {

		public Alignment {
			values = Collections.unmodifiableSortedMap(new TreeMap<>(values));
		}
	}

}
