package org.magnolialead.daemon.session;

/**
 * Why no connection to a member was opened.
 */
public enum DialError {

	/** No connection, or no greeting in time. */
	UNREACHABLE(true),
	/**
	 * The relay could not be reached or did not answer; nothing is known of the member.
	 */
	RELAY_FAILED(false),
	/** The relay does not reach the member either. */
	UNREACHABLE_FROM_RELAY(true),
	/** Another process is behind the address. */
	WRONG_MEMBER(true),
	/** The member has no connection left. */
	TOO_MANY_CONNECTIONS(false),
	/** The member refused for another reason. */
	REFUSED(true);

	private final boolean evidence;

	DialError(boolean evidence) {
		this.evidence = evidence;
	}

	/**
	 * Tells whether the error says that the member is down.
	 * @return {@code false} if the member may be well
	 */
	public boolean isEvidence() {
		return this.evidence;
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
