package org.magnolialead.testsupport.proxy;

/**
 * Treatment of the bytes in one direction of a route.
 */
public enum FaultMode {

	/** Forwards bytes without delay. */
	CONTINUE,
	/**
	 * Drops bytes and keeps connections open. A connection that has lost bytes is reset
	 * when the fault ends, because TCP never delivers a stream with a gap.
	 */
	CUT,
	/**
	 * Stops reading, so that bytes wait and are delivered when the fault ends, like
	 * retransmitted segments after a network partition.
	 */
	HOLD,
	/** Forwards bytes after a delay. */
	DELAY

}
