package org.magnolialead.daemon.session;

import org.magnolialead.api.session.StatementError;

/**
 * Cause of a failed connection attempt to a member.
 */
public enum DialError {

	/** The connection or the greeting of the member timed out or failed. */
	UNREACHABLE(false, true),
	/**
	 * The relay could not be reached or did not answer, which says nothing about the
	 * member.
	 */
	RELAY_FAILED(false, false),
	/** The relay cannot reach the member either. */
	UNREACHABLE_FROM_RELAY(false, true),
	/** A different process uses the address. */
	WRONG_MEMBER(true, true),
	/** The connection limit of the member is reached. */
	TOO_MANY_CONNECTIONS(true, false),
	/** The member refused the connection for another reason, for example a full queue. */
	REFUSED(true, false);

	private final boolean pathWorks;

	private final boolean memberDown;

	DialError(boolean pathWorks, boolean memberDown) {
		this.pathWorks = pathWorks;
		this.memberDown = memberDown;
	}

	/**
	 * Tells whether a process answered at the address of the member.
	 * @return {@code false} if the network path may have failed
	 */
	public boolean isPathWorking() {
		return this.pathWorks;
	}

	/**
	 * Tells whether the error indicates that the member is down.
	 * @return {@code false} if the member may be healthy
	 */
	public boolean isMemberDown() {
		return this.memberDown;
	}

	/**
	 * Returns the dial error for an error that a member sent instead of its greeting.
	 * @param error error that the member sent
	 * @return the error
	 */
	public static DialError of(StatementError error) {
		return switch (error) {
			case WRONG_MEMBER -> WRONG_MEMBER;
			case TOO_MANY_CONNECTIONS -> TOO_MANY_CONNECTIONS;
			case CONNECTION_LOST -> UNREACHABLE;
			default -> REFUSED;
		};
	}

}
