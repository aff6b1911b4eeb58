package org.magnolialead.engine.session;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Variables and prepared statements of one client session. Both are bounded by number and
 * size; a change beyond a limit is refused and changes nothing. Not thread-safe.
 */
public final class SessionValues {

	private final SessionMemory memory;

	private final Map<String, String> variables = new HashMap<>();

	private final Map<String, PreparedStatement> preparedStatements = new HashMap<>();

	private long variableBytes;

	private long preparedBytes;

	/** Part of the total of the daemon that is charged for this session alone. */
	private long chargedBytes;

	private boolean released;

	/**
	 * Creates the values of a new session.
	 * @param memory counts what all sessions of the daemon keep
	 */
	public SessionValues(SessionMemory memory) {
		this.memory = Objects.requireNonNull(memory, "memory must not be null");
	}

	/**
	 * Returns the variables.
	 * @return unmodifiable view of the variables, by name
	 */
	public Map<String, String> variables() {
		return Collections.unmodifiableMap(this.variables);
	}

	/**
	 * Returns a prepared statement.
	 * @param name name that the client gave it
	 * @return the statement, or empty if the session has none of this name
	 */
	public Optional<PreparedStatement> preparedStatement(String name) {
		return Optional.ofNullable(this.preparedStatements.get(name));
	}

	/**
	 * Sets a variable.
	 * @param name name of the variable
	 * @param value its value
	 * @return the limit because of which nothing was changed, or empty if it is set
	 */
	public Optional<SessionRefusal> set(String name, String value) {
		String replaced = this.variables.get(name);
		long before = (replaced != null) ? characters(name, replaced) : 0;
		long added = characters(name, value) - before;
		long charged = added + ((replaced != null) ? 0 : SessionMemory.ENTRY_BYTES);
		if (replaced == null && this.variables.size() >= limits().variables()) {
			return Optional.of(SessionRefusal.VARIABLES);
		}
		if (added > 0 && this.variableBytes + added > limits().variableBytes()) {
			return Optional.of(SessionRefusal.VARIABLE_BYTES);
		}
		if (!this.memory.hasSpaceFor(charged)) {
			return Optional.of(SessionRefusal.DAEMON_BYTES);
		}
		this.variables.put(name, value);
		this.variableBytes += added;
		charge(charged);
		return Optional.empty();
	}

	/**
	 * Prepares a statement. A statement that the session has prepared under the same name
	 * is replaced.
	 * @param name name that the client gives it
	 * @param writes whether the statement writes
	 * @param text statement text
	 * @return the limit because of which nothing was changed, or empty if it is prepared
	 */
	public Optional<SessionRefusal> prepare(String name, boolean writes, String text) {
		PreparedStatement replaced = this.preparedStatements.get(name);
		long before = (replaced != null) ? characters(name, replaced.text()) : 0;
		long added = characters(name, text) - before;
		long charged = (replaced != null) ? 0 : SessionMemory.ENTRY_BYTES + name.length();
		if (replaced == null && this.preparedStatements.size() >= limits().preparedStatements()) {
			return Optional.of(SessionRefusal.PREPARED_STATEMENTS);
		}
		if (added > 0 && this.preparedBytes + added > limits().preparedBytes()) {
			return Optional.of(SessionRefusal.PREPARED_BYTES);
		}
		if (!this.memory.hasSpaceFor(charged + this.memory.additionalBytes(writes, text))) {
			return Optional.of(SessionRefusal.DAEMON_BYTES);
		}
		this.preparedStatements.put(name, this.memory.acquire(writes, text));
		this.preparedBytes += added;
		charge(charged);
		if (replaced != null) {
			this.memory.release(replaced);
		}
		return Optional.empty();
	}

	/**
	 * Drops a prepared statement.
	 * @param name name that the client gave it; an unknown one changes nothing
	 */
	public void close(String name) {
		PreparedStatement closed = this.preparedStatements.remove(name);
		if (closed != null) {
			this.preparedBytes -= characters(name, closed.text());
			charge(-(SessionMemory.ENTRY_BYTES + name.length()));
			this.memory.release(closed);
		}
	}

	/**
	 * Ends the session for the memory of the daemon. The values can still be read,
	 * because a statement in progress may need them. Further calls have no effect.
	 */
	public void release() {
		if (this.released) {
			return;
		}
		this.released = true;
		charge(-this.chargedBytes);
		this.preparedStatements.values().forEach(this.memory::release);
	}

	private static long characters(String name, String text) {
		return (long) name.length() + text.length();
	}

	private SessionLimits limits() {
		return this.memory.limits();
	}

	private void charge(long bytes) {
		this.chargedBytes += bytes;
		this.memory.charge(bytes);
	}

}
