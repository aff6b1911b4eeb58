package org.magnolialead.testsupport.proxy;

/**
 * Direction of bytes through a route.
 */
public enum Direction {

	/** From the connecting process to the target. */
	TO_TARGET,
	/** From the target to the connecting process. */
	TO_CLIENT

}
