package org.magnolialead.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.magnolialead.api.message.ControlIdentity;
import org.magnolialead.engine.consensus.ConsensusNode;

/**
 * State of a {@link DefaultCommandLog} at one moment, read by other threads.
 *
 * @param leader whether this member is the leader
 * @param authorityDeadline end of the authority of this member in nanoseconds, or empty
 * @param leaderSince when this member became leader in nanoseconds
 * @param leaderAddress peer address of the leader, or empty
 * @param cluster identifier of the cluster, or an empty string
 * @param term the term
 * @param commitIndex index of the last committed entry
 * @param appliedIndex index of the last applied entry
 * @param voters the voting members
 */
record CommandLogStatus(boolean leader, OptionalLong authorityDeadline, long leaderSince,
		Optional<String> leaderAddress, String cluster, long term, long commitIndex, long appliedIndex,
		List<ControlIdentity> voters) {

	static CommandLogStatus of(ConsensusNode node, long appliedIndex, long now) {
		return new CommandLogStatus(node.isLeader(), node.authorityDeadline(now), node.leaderSince().orElse(0),
				node.leaderAddress(), node.cluster(), node.term(), node.commitIndex(), appliedIndex, node.voters());
	}

	CommandLogStatus stopped() {
		return new CommandLogStatus(false, OptionalLong.empty(), 0, Optional.empty(), this.cluster, this.term,
				this.commitIndex, this.appliedIndex, this.voters);
	}

	boolean hasAuthority(long now) {
		return this.authorityDeadline.isPresent() && now - this.authorityDeadline.getAsLong() < 0;
	}

}
