package org.magnolialead.testsupport.proxy;

/**
 * Direction in which a route forwards bytes.
 */
public enum Direction {

	/** From the client that connects to the target. */
	TO_TARGET,
	/** From the target to the client that connects. */
	TO_CLIENT

}
