package org.magnolialead.daemon.owner;

import org.magnolialead.api.StatementKind;
import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.transport.member.ConnectionPool;
import org.magnolialead.transport.member.MemberConnection;

/**
 * Transaction that is bound to one connection to the primary. Confined to the serial
 * executor of the group.
 */
final class OpenTransaction {

	private final String identifier;

	private final String member;

	private final long term;

	private final long deadline;

	private final MemberConnection connection;

	private ConnectionPool pool;

	private PendingRequest inProgress;

	private boolean closed;

	private ExecuteAnswer end;

	OpenTransaction(String identifier, String member, long term, long deadline, MemberConnection connection) {
		this.identifier = identifier;
		this.member = member;
		this.term = term;
		this.deadline = deadline;
		this.connection = connection;
	}

	String identifier() {
		return this.identifier;
	}

	String member() {
		return this.member;
	}

	long term() {
		return this.term;
	}

	long deadline() {
		return this.deadline;
	}

	ConnectionPool pool() {
		return this.pool;
	}

	void pool(ConnectionPool connectionPool) {
		this.pool = connectionPool;
	}

	/**
	 * Tells whether a commit was sent whose outcome may be unknown.
	 * @return {@code true} if a commit is in progress and was sent
	 */
	boolean isCommitSent() {
		return this.inProgress != null && this.inProgress.request().kind() == StatementKind.COMMIT
				&& this.inProgress.wasSent();
	}

	MemberConnection connection() {
		return this.connection;
	}

	/**
	 * Reserves the transaction for one statement.
	 * @param statement the statement
	 * @return {@code false} if another statement is in progress or the transaction has
	 * ended
	 */
	boolean tryReserve(PendingRequest statement) {
		if (this.inProgress != null || this.closed) {
			return false;
		}
		this.inProgress = statement;
		return true;
	}

	void statementEnded() {
		this.inProgress = null;
	}

	boolean isOpen() {
		return !this.closed;
	}

	/**
	 * Records how the transaction ended.
	 * @param answer answer for a resent commit, or {@code null} if it is not known yet
	 */
	void ended(ExecuteAnswer answer) {
		this.closed = true;
		this.end = answer;
	}

	ExecuteAnswer end() {
		return this.end;
	}

}
