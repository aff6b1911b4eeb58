package org.magnolialead.engine.session;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Counts what the sessions of a daemon keep and owns the prepared statements that they
 * share. A statement stays as long as a session holds it. Afterwards it is kept among a
 * bounded number of unused ones, because many sessions serve a single operation and the
 * next one often prepares the same text: without its name each of them would have to be
 * prepared on the member connections again.
 * <p>
 * Each statement that is added gets a new shared name, also if its text was known before.
 * Member connections keep names longer than sessions do, so a name that was used for
 * another text could run that text. Not thread-safe.
 */
public final class SessionMemory {

	/**
	 * Size in bytes that is charged for each variable and each prepared statement in
	 * addition to its characters, for the objects that hold it.
	 */
	public static final int ENTRY_BYTES = 128;

	/** Maximum number of unused statements. A member connection keeps no more names. */
	public static final int MAXIMUM_UNUSED_STATEMENTS = ConnectionState.MAXIMUM_PREPARED_STATEMENTS;

	/** Maximum size of the unused statements. */
	public static final long MAXIMUM_UNUSED_BYTES = 1024 * 1024;

	private final SessionLimits limits;

	private final Map<Shape, HeldStatement> held = new HashMap<>();

	/** Statements that no session holds, in the order in which they were released. */
	private final Map<Shape, PreparedStatement> unused = new LinkedHashMap<>();

	private long heldBytes;

	private long unusedBytes;

	private long nextName;

	/**
	 * Creates the memory of a daemon without sessions.
	 * @param limits limits of each session and of all
	 */
	public SessionMemory(SessionLimits limits) {
		this.limits = Objects.requireNonNull(limits, "limits must not be null");
	}

	/**
	 * Returns the limits of each session and of all.
	 * @return the limits
	 */
	public SessionLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the size of what sessions hold.
	 * @return the size in bytes, each distinct text counted once
	 */
	public long heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Returns the size of the statements that no session holds.
	 * @return the size in bytes, at most {@link #MAXIMUM_UNUSED_BYTES}
	 */
	public long unusedBytes() {
		return this.unusedBytes;
	}

	/**
	 * Returns the number of statements that are known, held or unused.
	 * @return the number
	 */
	public int statements() {
		return this.held.size() + this.unused.size();
	}

	/**
	 * Returns the prepared statement of a text under the name that all sessions use on
	 * member connections. The caller holds it until it calls
	 * {@link #release(PreparedStatement)}. The limits are not checked.
	 * @param writes whether the statement writes
	 * @param text statement text that the client prepared
	 * @return the statement
	 */
	public PreparedStatement acquire(boolean writes, String text) {
		Shape shape = new Shape(writes, text);
		HeldStatement known = this.held.get(shape);
		if (known != null) {
			known.holders++;
			return known.statement;
		}
		PreparedStatement statement = this.unused.remove(shape);
		if (statement == null) {
			statement = new PreparedStatement(writes, text, "p" + this.nextName++);
		}
		else {
			this.unusedBytes -= shape.bytes();
		}
		this.held.put(shape, new HeldStatement(statement));
		this.heldBytes += shape.bytes();
		return statement;
	}

	/**
	 * Ends one hold of a statement.
	 * @param statement statement that {@link #acquire(boolean, String)} returned
	 * @throws IllegalStateException if nobody holds the statement
	 */
	public void release(PreparedStatement statement) {
		Shape shape = new Shape(statement.writes(), statement.text());
		HeldStatement known = this.held.get(shape);
		if (known == null || !known.statement.equals(statement)) {
			throw new IllegalStateException("statement " + statement.sharedName() + " is not held");
		}
		known.holders--;
		if (known.holders == 0) {
			this.held.remove(shape);
			this.heldBytes -= shape.bytes();
			keepUnused(shape, statement);
		}
	}

	private void keepUnused(Shape shape, PreparedStatement statement) {
		this.unused.put(shape, statement);
		this.unusedBytes += shape.bytes();
		Iterator<Shape> oldest = this.unused.keySet().iterator();
		while (this.unused.size() > MAXIMUM_UNUSED_STATEMENTS || this.unusedBytes > MAXIMUM_UNUSED_BYTES) {
			this.unusedBytes -= oldest.next().bytes();
			oldest.remove();
		}
	}

	/**
	 * Returns what holding a text adds to the size of what sessions hold.
	 * @param writes whether the statement writes
	 * @param text statement text
	 * @return the size in bytes, 0 if a session holds the text already
	 */
	long additionalBytes(boolean writes, String text) {
		Shape shape = new Shape(writes, text);
		return this.held.containsKey(shape) ? 0 : shape.bytes();
	}

	boolean hasSpaceFor(long bytes) {
		return bytes <= 0 || this.heldBytes + bytes <= this.limits.totalBytes();
	}

	void charge(long bytes) {
		this.heldBytes += bytes;
	}

	private record Shape(boolean writes, String text) {

		private Shape {
			Objects.requireNonNull(text, "text must not be null");
		}

		private long bytes() {
			return ENTRY_BYTES + this.text.length();
		}

	}

	private static final class HeldStatement {

		private final PreparedStatement statement;

		private int holders = 1;

		private HeldStatement(PreparedStatement statement) {
			this.statement = statement;
		}

	}

}
