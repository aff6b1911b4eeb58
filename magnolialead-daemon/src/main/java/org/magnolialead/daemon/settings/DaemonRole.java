package org.magnolialead.daemon.settings;

/**
 * Role of a daemon in the fleet.
 */
public enum DaemonRole {

	/** Accepts client requests and owns database groups. */
	ENTRY,
	/** Replicates the control state. */
	CONTROL

}
