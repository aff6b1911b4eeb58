package org.magnolialead.daemon.session;

/**
 * Why no connection to a member was opened.
 */
public enum DialError {

	/** No connection, or no greeting in time. */
	UNREACHABLE(false, true),
	/**
	 * The relay could not be reached or did not answer; nothing is known of the member.
	 */
	RELAY_FAILED(false, false),
	/** The relay does not reach the member either. */
	UNREACHABLE_FROM_RELAY(false, true),
	/** Another process is behind the address. */
	WRONG_MEMBER(true, true),
	/** The member has no connection left. */
	TOO_MANY_CONNECTIONS(true, false),
	/** The member refused for another reason, for example a full queue. */
	REFUSED(true, false);

	private final boolean pathWorks;

	private final boolean memberDown;

	DialError(boolean pathWorks, boolean memberDown) {
		this.pathWorks = pathWorks;
		this.memberDown = memberDown;
	}

	/**
	 * Tells whether a process answered at the address of the member.
	 * @return {@code false} if the path to it may have failed
	 */
	public boolean isPathWorking() {
		return this.pathWorks;
	}

	/**
	 * Tells whether the error says that the member is down.
	 * @return {@code false} if the member may be well
	 */
	public boolean isMemberDown() {
		return this.memberDown;
	}

	/**
	 * Returns the error for what a member answered instead of its greeting.
	 * @param error what it answered
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
