package org.magnolialead.engine.session;

import java.util.OptionalInt;

/**
 * Decides whether a connection to a member is opened directly or through a relay, which
 * is another daemon. During a network partition between the member and some of the
 * daemons, these would otherwise refuse all work for a member that other daemons reach,
 * or replace a primary that serves other daemons. Not thread-safe.
 */
public final class MemberPath {

	/**
	 * Interval between direct attempts while the direct path is down, in nanoseconds.
	 */
	static final long DIRECT_RETRY_INTERVAL_NANOSECONDS = 700_000_000L;

	/**
	 * Number of relays that are tried before the next attempt is delayed. A relay may
	 * reach the member although others don't.
	 */
	static final int RELAYS_PER_ROUND = 3;

	private boolean directPathDown;

	private long nextDirectAt;

	private int relayIndex;

	private int relayFailures;

	/**
	 * Creates a path whose direct connection counts as working.
	 * @param firstRelay index of the relay to try first, modulo the number of relays; not
	 * negative. Daemons pass different values so that they don't all use the same relay
	 */
	public MemberPath(int firstRelay) {
		this.relayIndex = firstRelay;
	}

	/**
	 * Tells whether the direct path has failed and has not worked since.
	 * @return {@code true} if connections are relayed
	 */
	public boolean isDirectPathDown() {
		return this.directPathDown;
	}

	/**
	 * Records that a direct connection was refused or timed out.
	 * @param now present time in nanoseconds
	 */
	public void directFailed(long now) {
		if (!this.directPathDown) {
			this.relayFailures = 0;
		}
		this.directPathDown = true;
		this.nextDirectAt = now + DIRECT_RETRY_INTERVAL_NANOSECONDS;
	}

	/**
	 * Records that a direct connection was opened.
	 */
	public void directOpened() {
		this.directPathDown = false;
		this.relayFailures = 0;
	}

	/**
	 * Records that a relayed connection was opened. The same relay is used for the next
	 * connection.
	 */
	public void relayOpened() {
		this.relayFailures = 0;
	}

	/**
	 * Records that a relay could not open a connection. The next connection uses another
	 * relay.
	 */
	public void relayFailed() {
		this.relayIndex++;
		this.relayFailures++;
	}

	/**
	 * Tells whether another relay should be tried without a delay.
	 * @return {@code true} while fewer than {@link #RELAYS_PER_ROUND} relays of a started
	 * round have failed
	 */
	public boolean hasUntriedRelay() {
		return this.directPathDown && this.relayFailures % RELAYS_PER_ROUND != 0;
	}

	/**
	 * Tells whether the direct path should be tried again.
	 * @param now present time in nanoseconds
	 * @return {@code true} if it works or the retry interval has passed
	 */
	public boolean isDirectAttemptDue(long now) {
		return !this.directPathDown || now - this.nextDirectAt >= 0;
	}

	/**
	 * Returns the relay that opens the next connection.
	 * @param relays number of known relays
	 * @param directPending whether a direct attempt is in progress
	 * @param now present time in nanoseconds
	 * @return the index of the relay, or empty for a direct connection
	 */
	public OptionalInt nextRelay(int relays, boolean directPending, long now) {
		boolean direct = !this.directPathDown || (isDirectAttemptDue(now) && !directPending);
		if (relays == 0 || direct) {
			return OptionalInt.empty();
		}
		return OptionalInt.of(Math.floorMod(this.relayIndex, relays));
	}

}
