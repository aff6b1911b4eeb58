package org.magnolialead.engine.owner;

/**
 * Phase of a failover.
 */
public enum FailoverPhase {

	/** A group that never had a primary: the announced members are asked. */
	FIRST_START,
	/** A confirmed primary is in force and answers. */
	STEADY,
	/** The primary is silent and too few members answer for a failover. */
	WAITING_FOR_MAJORITY,
	/** The term is sealed and positions are collected. */
	COLLECTING,
	/** A promotion is being reserved. */
	RESERVING,
	/** A promotion was ordered. */
	PROMOTING,
	/** The new primary is being confirmed. */
	CONFIRMING

}
