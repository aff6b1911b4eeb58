package org.magnolialead.daemon.owner;

import org.magnolialead.engine.owner.Dispatch;
import org.magnolialead.transport.member.ConnectionPool;
import org.magnolialead.transport.member.MemberConnection;

/**
 * Execution of a dispatched statement, which occupies a slot of a member. Confined to the
 * serial executor of the group.
 */
final class StatementExecution {

	final Dispatch<PendingRequest> dispatch;

	final long term;

	final boolean atPrimary;

	ConnectionPool pool;

	MemberConnection connection;

	long sentAt;

	StatementExecution(Dispatch<PendingRequest> dispatch, long term, boolean atPrimary) {
		this.dispatch = dispatch;
		this.term = term;
		this.atPrimary = atPrimary;
	}

}
