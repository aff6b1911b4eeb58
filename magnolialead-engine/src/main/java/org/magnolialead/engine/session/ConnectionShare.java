package org.magnolialead.engine.session;

/**
 * Decides how many connections to one member a daemon keeps. All daemons share the limit
 * of the member without messages: each keeps what it always may, and opens more only
 * while work waits. Answers the start of a fleet, in which a daemon knows few others yet,
 * and a rolling restart, in which a daemon must find a connection left.
 */
public final class ConnectionShare {

	/** Share of the limit for permanent connections; the rest serves peaks. */
	private static final int PERMANENT_PERCENT = 80;

	private static final int PERCENT = 100;

	/** Connections beyond the permanent ones to a member that writes go to. */
	private static final int ADDITIONAL_TO_PRIMARY = 2;

	private static final int ADDITIONAL_TO_REPLICA = 1;

	private ConnectionShare() {
	}

	/**
	 * Returns how many connections a daemon keeps open.
	 * @param limit greatest number of connections to the member, of all daemons together
	 * @param daemons number of daemons that are known
	 * @return 1, or 0 if there are too many daemons for each to keep one
	 */
	public static int permanent(int limit, int daemons) {
		return (daemons <= limit * PERMANENT_PERCENT / PERCENT) ? 1 : 0;
	}

	/**
	 * Returns how many connections a daemon may have while work waits.
	 * @param permanent number of permanent connections
	 * @param mayBePrimary whether the member may be the primary, whose connections are held by
	 * transactions
	 * @return the number
	 */
	public static int maximum(int permanent, boolean mayBePrimary) {
		return permanent + (mayBePrimary ? ADDITIONAL_TO_PRIMARY : ADDITIONAL_TO_REPLICA);
	}

}
