package org.magnolialead.engine.session;

import java.util.Objects;

/**
 * Share of one daemon in the connections to each member of a group. The daemons share the
 * connection limit of a member without coordination: each derives its share from the
 * fleet view. A part of the limit stays free for daemons whose views differ, and for
 * connections of ended processes that a member has not closed yet.
 *
 * @param role part of the daemon in the connections
 * @param held number of connections to each member that a holder keeps
 * @param owner whether the daemon decides about promotions in the group, for which it
 * needs a connection to each member
 */
public record ConnectionShare(ConnectionRole role, int held, boolean owner) {

	public ConnectionShare {
		Objects.requireNonNull(role, "role must not be null");
		if (held < 1) {
			throw new IllegalArgumentException("held must be positive, found " + held);
		}
	}

	/**
	 * Returns the number of connections that the daemon keeps to each member.
	 * @return the number of permanent connections
	 */
	public int permanent() {
		int permanent = this.role.permanent(this.held);
		return this.owner ? Math.max(1, permanent) : permanent;
	}

	/**
	 * Returns the maximum number of connections to a member while work waits.
	 * @param mayBePrimary whether the member may be the primary
	 * @return the maximum number of connections
	 */
	public int maximum(boolean mayBePrimary) {
		return Math.max(permanent(), this.role.maximum(this.held, mayBePrimary));
	}

	/**
	 * Returns whether the daemon looks for the primary although no statement waits.
	 * @return {@code false} if it serves no statements of the group at present
	 */
	public boolean followsPrimary() {
		return permanent() > 0;
	}

}
