package org.magnolialead.api;

/**
 * Kind of operation that a request performs on a database group.
 */
public enum StatementKind {

	/** A single read. */
	READ(false, false),
	/** A single write. */
	WRITE(true, false),
	/** Opening a transaction. */
	BEGIN(false, true),
	/** A statement inside a transaction. */
	TRANSACTION_STATEMENT(false, true),
	/** Committing a transaction. */
	COMMIT(true, true),
	/** Rolling a transaction back. */
	ROLLBACK(false, true);

	private final boolean changesData;

	private final boolean transactional;

	StatementKind(boolean changesData, boolean transactional) {
		this.changesData = changesData;
		this.transactional = transactional;
	}

	/**
	 * Returns whether success makes a change of data visible to other sessions.
	 * @return {@code true} for single writes and commits
	 */
	public boolean changesData() {
		return this.changesData;
	}

	/**
	 * Returns whether the request belongs to a multi-statement transaction.
	 * @return {@code true} if it belongs to a transaction
	 */
	public boolean isTransactional() {
		return this.transactional;
	}

}
