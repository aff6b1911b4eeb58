package org.magnolialead.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.magnolialead.api.message.ControlIdentity;
import org.magnolialead.engine.consensus.ConsensusNode;

/**
 * Immutable status of a {@link DefaultCommandLog}, published for other threads.
 *
 * @param leader whether this member is the leader
 * @param authorityDeadline monotonic time in nanoseconds at which the authority of this
 * member ends, or empty if it has none
 * @param leaderSince monotonic time in nanoseconds at which this member became leader
 * @param leaderAddress peer address of the leader, or empty
 * @param cluster identifier of the cluster, or an empty string
 * @param term the term
 * @param commitIndex index of the last committed entry
 * @param appliedIndex index of the last applied entry
 * @param logBytes size in bytes of the commands in the log
 * @param voters the voting members
 */
record CommandLogStatus(boolean leader, OptionalLong authorityDeadline, long leaderSince,
		Optional<String> leaderAddress, String cluster, long term, long commitIndex, long appliedIndex, long logBytes,
		List<ControlIdentity> voters) {

	static CommandLogStatus of(ConsensusNode node, long appliedIndex, long now) {
		return new CommandLogStatus(node.isLeader(), node.authorityDeadline(now), node.leaderSince().orElse(0),
				node.leaderAddress(), node.cluster(), node.term(), node.commitIndex(), appliedIndex, node.logBytes(),
				node.voters());
	}

	CommandLogStatus inactive() {
		return new CommandLogStatus(false, OptionalLong.empty(), 0, Optional.empty(), this.cluster, this.term,
				this.commitIndex, this.appliedIndex, this.logBytes, this.voters);
	}

	boolean hasAuthority(long now) {
		return this.authorityDeadline.isPresent() && now - this.authorityDeadline.getAsLong() < 0;
	}

}
