package org.magnolialead.daemon.owner;

import org.magnolialead.engine.owner.Dispatch;
import org.magnolialead.transport.member.ConnectionPool;
import org.magnolialead.transport.member.MemberConnection;

/**
 * Statement that holds a slot.
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
