package org.magnolialead.api;

/**
 * Role of a database member in its group.
 */
public enum MemberRole {

	/** Accepts writes. */
	PRIMARY,
	/** Replicates the primary. */
	REPLICA

}
