package org.magnolialead.engine.session;

/**
 * Reason for which a daemon opens a connection to a member. The first connections of all
 * daemons come before further ones.
 */
public enum ConnectionPurpose {

	/** No other connection to the member is open. */
	FIRST,
	/** Further connection that the daemon keeps as a holder. */
	HELD,
	/** Connection beyond the permanent ones, opened because requests wait. */
	ADDITIONAL

}
