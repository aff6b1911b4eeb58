package org.magnolialead.engine.session;

/**
 * Calculates how many connections to one member a daemon keeps. The daemons share the
 * connection limit of the member without coordination: each keeps a permanent connection
 * and opens additional ones only while work waits. This leaves connections for daemons
 * that start later, both when a fleet starts and a daemon knows few others yet, and
 * during a rolling restart.
 */
public final class ConnectionShare {

	/** Share of the limit for permanent connections; the rest is for peak load. */
	private static final int PERMANENT_PERCENT = 80;

	private static final int PERCENT = 100;

	/** Connections beyond the permanent ones to a member that may receive writes. */
	private static final int ADDITIONAL_TO_PRIMARY = 2;

	private static final int ADDITIONAL_TO_REPLICA = 1;

	private ConnectionShare() {
	}

	/**
	 * Returns the number of permanent connections of a daemon.
	 * @param limit maximum number of connections to the member from all daemons together
	 * @param daemons number of known daemons
	 * @return 1, or 0 if there are too many daemons for each to keep one
	 */
	public static int permanent(int limit, int daemons) {
		return (daemons <= limit * PERMANENT_PERCENT / PERCENT) ? 1 : 0;
	}

	/**
	 * Returns the maximum number of connections of a daemon while work waits.
	 * @param permanent number of permanent connections
	 * @param mayBePrimary whether the member may be the primary, whose connections are
	 * occupied by transactions
	 * @return the maximum number of connections
	 */
	public static int maximum(int permanent, boolean mayBePrimary) {
		return permanent + (mayBePrimary ? ADDITIONAL_TO_PRIMARY : ADDITIONAL_TO_REPLICA);
	}

}
