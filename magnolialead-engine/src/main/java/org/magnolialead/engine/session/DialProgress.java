package org.magnolialead.engine.session;

/**
 * Progress of an attempt to open a connection for a client account.
 */
public enum DialProgress {

	/** No attempt. */
	NONE,
	/** The attempt is expected to end soon. */
	IN_TIME,
	/**
	 * The attempt has taken longer than
	 * {@link ConnectionSelection#LATE_DIAL_NANOSECONDS}.
	 */
	LATE

}
