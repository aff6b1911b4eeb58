package org.magnolialead.api;

/**
 * What is known about the execution of a request when its answer is sent.
 */
public enum Outcome {

	/**
	 * The request was executed and its effect is durable as its profile demands.
	 */
	DONE,

	/**
	 * No part of the request was executed and none will be.
	 */
	NOT_RUN,

	/**
	 * The request left the daemon and it is not known whether it was executed.
	 */
	UNKNOWN

}
