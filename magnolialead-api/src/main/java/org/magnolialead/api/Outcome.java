package org.magnolialead.api;

/**
 * What is known about the execution of a request when its answer is sent.
 */
public enum Outcome {

	/**
	 * The request was executed and its effect is as durable as its profile requires.
	 */
	DONE,

	/**
	 * No part of the request was executed, and none will be.
	 */
	NOT_RUN,

	/**
	 * The request was sent by the daemon, and it is not known whether it was executed.
	 */
	UNKNOWN

}
