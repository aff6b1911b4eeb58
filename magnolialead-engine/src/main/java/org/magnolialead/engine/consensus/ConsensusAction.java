package org.magnolialead.engine.consensus;

import java.util.List;

import org.magnolialead.api.message.ConsensusMessage;
import org.magnolialead.api.message.LogEntry;

/**
 * Action that a {@link ConsensusNode} requests from its driver. The driver executes the
 * actions in order.
 */
public sealed interface ConsensusAction {

	/**
	 * Sends a message. The network may lose, delay, duplicate or reorder it.
	 *
	 * @param address peer address of the recipient
	 * @param message the message
	 */
	record Send(String address, ConsensusMessage message) implements ConsensusAction {
	}

	/**
	 * Saves the cluster that the member belongs to. It is synced before the next action.
	 *
	 * @param cluster identifier of the cluster
	 */
	record JoinCluster(String cluster) implements ConsensusAction {
	}

	/**
	 * Saves the term and the vote. They are synced before the next action.
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
	 * Replaces the state, the stored snapshot and the whole log by a snapshot. It is
	 * synced before the next action.
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
	 * Reports that this member was elected leader.
	 *
	 * @param term term of the leader
	 */
	record BecomeLeader(long term) implements ConsensusAction {
	}

	/**
	 * Reports that this member is no longer the leader. Commands that were proposed but
	 * not applied have an unknown outcome.
	 *
	 * @param term term in which it was the leader
	 */
	record StepDown(long term) implements ConsensusAction {
	}

}
