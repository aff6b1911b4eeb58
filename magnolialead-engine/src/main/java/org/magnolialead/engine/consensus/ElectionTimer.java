package org.magnolialead.engine.consensus;

import java.util.List;
import java.util.random.RandomGenerator;

import org.magnolialead.api.message.ControlIdentity;

/**
 * Decides when a member requests votes, and until when it refuses them because of its
 * contact with a leader. Not thread-safe.
 */
final class ElectionTimer {

	private final ConsensusSettings settings;

	private final RandomGenerator random;

	private long refusesVotesUntil;

	private long deadline;

	/**
	 * Creates the timer of a member that starts.
	 * @param settings the settings
	 * @param voters the voters in order
	 * @param lastPossibleLeaderContact latest time in nanoseconds at which the member may
	 * have answered a leader before
	 * @param now present time in nanoseconds
	 * @param random source of election timeouts
	 */
	ElectionTimer(ConsensusSettings settings, List<ControlIdentity> voters, long lastPossibleLeaderContact, long now,
			RandomGenerator random) {
		this.settings = settings;
		this.random = random;
		// A leader may rely on an answer that this member sent just before the restart.
		this.refusesVotesUntil = lastPossibleLeaderContact + settings.minimumElectionTimeout();
		this.deadline = firstDeadline(voters, now);
	}

	// If all voters restart at once, there is no leader. They then request pre-votes one
	// after the other, in the order of the voter list, instead of waiting for random
	// timeouts. Voters refuse pre-votes while they have contact with a leader.
	private long firstDeadline(List<ControlIdentity> voters, long now) {
		long earliest = (now - this.refusesVotesUntil < 0) ? this.refusesVotesUntil : now;
		int position = MemberKey.indexOf(voters, this.settings.self());
		long jitter = this.random.nextLong(this.settings.heartbeatInterval() / 2 + 1);
		return earliest + Math.max(0, position) * this.settings.heartbeatInterval() + jitter;
	}

	/**
	 * Tells whether an election is due.
	 * @param now present time in nanoseconds
	 * @return {@code true} if the deadline has passed
	 */
	boolean isDue(long now) {
		return now - this.deadline >= 0;
	}

	/**
	 * Tells whether votes are refused, because a leader relies on its recent contact with
	 * this member for its authority.
	 * @param now present time in nanoseconds
	 * @return {@code true} within the minimum election timeout after the contact
	 */
	boolean refusesVotes(long now) {
		return now - this.refusesVotesUntil < 0;
	}

	void leaderContacted(long now) {
		this.refusesVotesUntil = now + this.settings.minimumElectionTimeout();
		restart(now);
	}

	/**
	 * Sets the deadline after a random election timeout.
	 * @param now present time in nanoseconds
	 */
	void restart(long now) {
		this.deadline = now + this.random.nextLong(this.settings.minimumElectionTimeout(),
				this.settings.maximumElectionTimeout() + 1);
	}

	/**
	 * Sets the deadline of the next pre-vote. It is repeated after one to two heartbeat
	 * intervals, because a voter that is just starting may have missed it.
	 * @param now present time in nanoseconds
	 */
	void preVoteStarted(long now) {
		long interval = this.settings.heartbeatInterval();
		this.deadline = now + interval + this.random.nextLong(interval + 1);
	}

	/**
	 * Sets the deadline after this member has conceded a pre-vote to another one, which
	 * gets the time for an election.
	 * @param now present time in nanoseconds
	 */
	void preVoteConceded(long now) {
		long interval = this.settings.heartbeatInterval();
		this.deadline = now + 3 * interval + this.random.nextLong(interval + 1);
	}

}
