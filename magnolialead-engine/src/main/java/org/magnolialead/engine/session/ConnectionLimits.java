package org.magnolialead.engine.session;

/**
 * Numbers of connections that a daemon may keep to one member.
 *
 * @param permanent number of connections that the daemon keeps while they are idle
 * @param maximum maximum number of connections, open or being opened
 * @param byAccount whether connections are opened for single client accounts. They are
 * then opened on demand, except for one with which the member is observed
 */
public record ConnectionLimits(int permanent, int maximum, boolean byAccount) {

	public ConnectionLimits {
		if (permanent < 0 || maximum < 1) {
			throw new IllegalArgumentException(
					"invalid numbers of connections: permanent=" + permanent + " maximum=" + maximum);
		}
	}

	/**
	 * Returns how many connections are opened although no request waits.
	 * @return the number of connections
	 */
	public int openedInAdvance() {
		return this.byAccount ? Math.min(1, this.permanent) : this.permanent;
	}

	/**
	 * Tells whether a request must get a connection that was opened for its account only.
	 * @param account client account of the request, or an empty string
	 * @return {@code true} for each request of an account, and for each other one while
	 * accounts are configured
	 */
	public boolean separates(String account) {
		return this.byAccount || !account.isEmpty();
	}

}
