package org.magnolialead.engine.owner;

/**
 * Phase of a failover.
 */
public enum FailoverPhase {

	/** The group has never had a primary; the announced members are queried. */
	FIRST_START,
	/** A confirmed primary is active and responds. */
	STEADY,
	/** The primary does not respond and too few members respond for a failover. */
	WAITING_FOR_MAJORITY,
	/** The term is sealed and the positions of members are collected. */
	COLLECTING,
	/** The term of a promotion is being reserved. */
	RESERVING,
	/** A member was commanded to become primary. */
	PROMOTING,
	/** The new primary is being confirmed. */
	CONFIRMING

}
