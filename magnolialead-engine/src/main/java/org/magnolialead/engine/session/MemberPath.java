package org.magnolialead.engine.session;

import java.util.OptionalInt;

/**
 * Decides whether a connection to a member is opened directly or relayed by another
 * daemon. Answers a partition between a member and some of the daemons: these would
 * refuse all work of the member although others reach it, or replace a primary that
 * serves the rest. Not safe for concurrent use.
 */
public final class MemberPath {

	/** Time between two direct attempts while the direct path fails, in nanoseconds. */
	static final long DIRECT_RETRY_INTERVAL_NANOSECONDS = 700_000_000L;

	/**
	 * Relays that are asked before the member counts as unreachable for a while. Each
	 * knows by itself whether it reaches the member.
	 */
	static final int RELAYS_PER_ROUND = 3;

	private boolean directPathDown;

	private long nextDirectAt;

	private int relayIndex;

	private int relayFailures;

	/**
	 * Starts with a relay of its own, so that not all daemons ask the same one.
	 * @param firstRelay any number that is not negative
	 */
	public MemberPath(int firstRelay) {
		this.relayIndex = firstRelay;
	}

	/**
	 * Tells whether the direct path failed and has not worked since.
	 * @return {@code true} if connections are relayed
	 */
	public boolean isDirectPathDown() {
		return this.directPathDown;
	}

	/**
	 * Notes that the direct path refused a connection or gave no answer in time.
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
	 * Notes that a direct connection was opened.
	 */
	public void directOpened() {
		this.directPathDown = false;
		this.relayFailures = 0;
	}

	/**
	 * Notes that a relayed connection was opened. The same relay is asked next time.
	 */
	public void relayOpened() {
		this.relayFailures = 0;
	}

	/**
	 * Notes that a relay could not open a connection. Another one is asked next time.
	 */
	public void relayFailed() {
		this.relayIndex++;
		this.relayFailures++;
	}

	/**
	 * Tells whether a further relay should be asked without a wait.
	 * @return {@code false} once a round of relays has failed
	 */
	public boolean hasUntriedRelay() {
		return this.directPathDown && this.relayFailures % RELAYS_PER_ROUND != 0;
	}

	/**
	 * Tells whether the direct path should be tried again.
	 * @param now present time in nanoseconds
	 * @return {@code true} if the last failure is long ago
	 */
	public boolean isDirectAttemptDue(long now) {
		return !this.directPathDown || now - this.nextDirectAt >= 0;
	}

	/**
	 * Returns which relay opens the next connection.
	 * @param relays number of relays that are known
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
