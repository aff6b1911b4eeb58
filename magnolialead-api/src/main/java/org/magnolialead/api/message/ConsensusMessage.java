package org.magnolialead.api.message;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonSubTypes.Type;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Message between control daemons that replicate the control log. Messages are one-way;
 * answers are separate messages.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({ @Type(value = ConsensusMessage.VoteRequest.class, name = "vote"),
		@Type(value = ConsensusMessage.VoteAnswer.class, name = "voted"),
		@Type(value = ConsensusMessage.AppendRequest.class, name = "append"),
		@Type(value = ConsensusMessage.AppendAnswer.class, name = "appended"),
		@Type(value = ConsensusMessage.SnapshotRequest.class, name = "snapshot"),
		@Type(value = ConsensusMessage.SnapshotAnswer.class, name = "installed"),
		@Type(value = ConsensusMessage.JoinRequest.class, name = "join") })
public sealed interface ConsensusMessage {

	/**
	 * Returns who sent the message.
	 * @return the sender
	 */
	ControlIdentity from();

	/**
	 * Returns the cluster that the sender belongs to.
	 * @return the cluster identifier, or an empty string for a member without a cluster
	 */
	String cluster();

	/**
	 * Returns the term of the sender.
	 * @return the term
	 */
	long term();

	/**
	 * Requests a vote, or asks in a pre-vote whether the vote would be granted.
	 *
	 * @param from the sender
	 * @param cluster the cluster
	 * @param term term of the election
	 * @param preVote whether this is a pre-vote, which changes no state
	 * @param lastTerm term of the sender's last log entry
	 * @param lastIndex index of the sender's last log entry
	 */
	record VoteRequest(ControlIdentity from, String cluster, long term, boolean preVote, long lastTerm,
			long lastIndex) implements ConsensusMessage {
	}

	/**
	 * Answers a vote request.
	 *
	 * @param from the sender
	 * @param cluster the cluster
	 * @param term term of the sender
	 * @param requestTerm term of the request that is answered
	 * @param preVote whether this answers a pre-vote
	 * @param granted whether the vote is granted
	 */
	record VoteAnswer(ControlIdentity from, String cluster, long term, long requestTerm, boolean preVote,
			boolean granted) implements ConsensusMessage {
	}

	/**
	 * Replicates entries; without entries it is a heartbeat.
	 *
	 * @param from the leader
	 * @param cluster the cluster
	 * @param term term of the leader
	 * @param previousTerm term of the entry before the first one sent
	 * @param previousIndex index of the entry before the first one sent
	 * @param entries entries to append
	 * @param commitIndex commit index of the leader
	 * @param round number that increases with each message and that the answer repeats
	 */
	record AppendRequest(ControlIdentity from, String cluster, long term, long previousTerm, long previousIndex,
			List<LogEntry> entries, long commitIndex, long round) implements ConsensusMessage {
	}

	/**
	 * Answers an append request after its entries are synced to disk.
	 *
	 * @param from the sender
	 * @param cluster the cluster
	 * @param term term of the sender
	 * @param accepted whether the previous entry matched
	 * @param matchIndex last index known to match the leader's log if accepted, otherwise
	 * an index from which the leader may retry
	 * @param round number of the request that is answered
	 */
	record AppendAnswer(ControlIdentity from, String cluster, long term, boolean accepted, long matchIndex,
			long round) implements ConsensusMessage {
	}

	/**
	 * Sends a chunk of a snapshot to a member whose log is too far behind.
	 *
	 * @param from the leader
	 * @param cluster the cluster
	 * @param term term of the leader
	 * @param lastTerm term of the last entry in the snapshot
	 * @param lastIndex index of the last entry in the snapshot
	 * @param voters voting members as of the snapshot
	 * @param offset offset of the chunk in the snapshot in bytes
	 * @param data contents of the chunk
	 * @param last whether this is the last chunk
	 * @param round number that the answer repeats
	 */
	record SnapshotRequest(ControlIdentity from, String cluster, long term, long lastTerm, long lastIndex,
			List<ControlIdentity> voters, long offset, byte[] data, boolean last,
			long round) implements ConsensusMessage {
	}

	/**
	 * Acknowledges a chunk of a snapshot.
	 *
	 * @param from the sender
	 * @param cluster the cluster
	 * @param term term of the sender
	 * @param lastIndex index of the last entry in the snapshot
	 * @param nextOffset offset in bytes of the chunk that the sender expects next
	 * @param installed whether the snapshot is complete and synced to disk
	 * @param round number of the request that is answered
	 */
	record SnapshotAnswer(ControlIdentity from, String cluster, long term, long lastIndex, long nextOffset,
			boolean installed, long round) implements ConsensusMessage {
	}

	/**
	 * Asks the leader to replicate to a control daemon that is not a member yet. Sent if
	 * the settings do not list the control daemons.
	 *
	 * @param from the daemon that wants to join
	 * @param cluster the cluster that the sender belonged to, or an empty string
	 * @param term term of the sender
	 * @param forwarded whether a follower forwarded the request to the leader
	 */
	record JoinRequest(ControlIdentity from, String cluster, long term, boolean forwarded) implements ConsensusMessage {
	}

}
