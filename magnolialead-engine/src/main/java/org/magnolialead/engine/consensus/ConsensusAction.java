package org.magnolialead.engine.consensus;

import java.util.List;

import org.magnolialead.api.message.ConsensusMessage;
import org.magnolialead.api.message.LogEntry;

/**
 * What a {@link ConsensusNode} asks its driver to do. Actions are carried out in order.
 */
public sealed interface ConsensusAction {

	/**
	 * Sends a message. Loss, delay and duplication are allowed.
	 *
	 * @param address peer address of the recipient
	 * @param message the message
	 */
	record Send(String address, ConsensusMessage message) implements ConsensusAction {
	}

	/**
	 * Records that the member belongs to a cluster; synced before the next action.
	 *
	 * @param cluster identifier of the cluster
	 */
	record JoinCluster(String cluster) implements ConsensusAction {
	}

	/**
	 * Saves the term and the vote; synced before the next action.
	 *
	 * @param vote term and vote
	 */
	record SaveVote(Vote vote) implements ConsensusAction {
	}

	/**
	 * Appends entries, replacing any entries that the log holds from the first index on.
	 * The driver calls {@link ConsensusNode#persisted} after syncing them.
	 *
	 * @param entries consecutive entries, not empty
	 */
	record AppendEntries(List<LogEntry> entries) implements ConsensusAction {

		public AppendEntries {
			entries = List.copyOf(entries);
		}
	}

	/**
	 * Replaces the state, the stored snapshot and the whole log by a snapshot; synced
	 * before the next action.
	 *
	 * @param snapshot the snapshot
	 */
	record InstallSnapshot(ConsensusSnapshot snapshot) implements ConsensusAction {
	}

	/**
	 * Applies committed entries to the state.
	 *
	 * @param entries consecutive entries, not empty
	 */
	record ApplyEntries(List<LogEntry> entries) implements ConsensusAction {

		public ApplyEntries {
			entries = List.copyOf(entries);
		}
	}

	/**
	 * This member was elected.
	 *
	 * @param term term of the leader
	 */
	record BecomeLeader(long term) implements ConsensusAction {
	}

	/**
	 * This member is no longer the leader. Commands that were proposed and not applied
	 * have an unknown outcome.
	 *
	 * @param term term in which it was the leader
	 */
	record StepDown(long term) implements ConsensusAction {
	}

}
