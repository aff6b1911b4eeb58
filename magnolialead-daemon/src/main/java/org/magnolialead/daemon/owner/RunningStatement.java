package org.magnolialead.daemon.owner;

import org.magnolialead.engine.owner.Dispatch;
import org.magnolialead.transport.member.ConnectionPool;
import org.magnolialead.transport.member.MemberConnection;

/**
 * Dispatched statement that occupies a slot of a member. Confined to the serial executor
 * of the group.
 */
final class RunningStatement {

	final Dispatch<PendingRequest> dispatch;

	final long term;

	final boolean atPrimary;

	ConnectionPool pool;

	MemberConnection connection;

	long sentAt;

	RunningStatement(Dispatch<PendingRequest> dispatch, long term, boolean atPrimary) {
		this.dispatch = dispatch;
		this.term = term;
		this.atPrimary = atPrimary;
	}

}
