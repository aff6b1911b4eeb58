package org.magnolialead.testsupport.proxy;

/**
 * What happens to the bytes of one direction of a route.
 */
public enum FaultMode {

	/** Bytes pass. */
	CONTINUE,
	/**
	 * Bytes are lost and connections stay open. A connection that may have lost bytes is
	 * reset when the fault ends, because TCP never delivers a stream with a gap.
	 */
	CUT,
	/**
	 * Bytes wait and are delivered when the fault ends, like retransmitted segments after
	 * a partition.
	 */
	HOLD,
	/** Bytes pass after a delay. */
	DELAY

}
