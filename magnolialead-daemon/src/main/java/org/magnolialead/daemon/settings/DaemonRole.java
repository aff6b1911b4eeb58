package org.magnolialead.daemon.settings;

/**
 * Role of a daemon in the fleet.
 */
public enum DaemonRole {

	/** Accepts requests of callers and owns database groups. */
	ENTRY,
	/** Keeps the replicated control state. */
	CONTROL

}
