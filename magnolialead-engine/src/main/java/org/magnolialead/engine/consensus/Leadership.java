package org.magnolialead.engine.consensus;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.magnolialead.api.message.ConsensusMessage;
import org.magnolialead.api.message.ConsensusMessage.AppendAnswer;
import org.magnolialead.api.message.ConsensusMessage.AppendRequest;
import org.magnolialead.api.message.ConsensusMessage.SnapshotAnswer;
import org.magnolialead.api.message.ConsensusMessage.SnapshotRequest;
import org.magnolialead.api.message.ControlIdentity;
import org.magnolialead.api.message.LogEntry;

/**
 * State of a leader during one term: the replication progress of voters and learners, the
 * end of its authority and the next membership change.
 */
final class Leadership {

	/**
	 * Number of maximum election timeouts after which an unresponsive learner is removed.
	 */
	private static final long LEARNER_REMOVAL_TIMEOUTS = 10;

	/**
	 * Number of maximum election timeouts after which an unresponsive voter is removed.
	 */
	private static final long VOTER_REMOVAL_TIMEOUTS = 8;

	private final ConsensusSettings settings;

	private final ReplicaLog log;

	private final String cluster;

	private final long term;

	private final long since;

	private final Map<MemberKey, MemberProgress> members = new LinkedHashMap<>();

	private long round;

	private long commitIndex;

	private long nextHeartbeat;

	private long commitIndexAtLatestHeartbeat;

	private long commitIndexAtPreviousHeartbeat;

	Leadership(ConsensusSettings settings, ReplicaLog log, String cluster, long term, long now) {
		this.settings = settings;
		this.log = log;
		this.cluster = cluster;
		this.term = term;
		this.since = now;
		this.nextHeartbeat = now;
		updateVoters(now);
	}

	long since() {
		return this.since;
	}

	void commitIndex(long index) {
		this.commitIndex = index;
	}

	/**
	 * Starts tracking the progress of new voters and stops tracking members whose name
	 * has a voter of another incarnation.
	 * @param now present time in nanoseconds
	 */
	void updateVoters(long now) {
		List<ControlIdentity> voters = this.log.voters();
		this.members.values().removeIf((progress) -> isReplaced(voters, progress.identity()));
		for (ControlIdentity voter : voters) {
			if (!voter.isSameMember(this.settings.self())) {
				this.members.computeIfAbsent(MemberKey.of(voter), (key) -> newProgress(voter, now));
			}
		}
	}

	private static boolean isReplaced(List<ControlIdentity> voters, ControlIdentity member) {
		return !MemberKey.contains(voters, member)
				&& voters.stream().anyMatch((voter) -> voter.name().equals(member.name()));
	}

	private MemberProgress newProgress(ControlIdentity identity, long now) {
		return new MemberProgress(identity, this.log.lastIndex() + 1, this.round + 1, now);
	}

	void heartbeatIfDue(long now, List<ConsensusAction> actions) {
		if (now - this.nextHeartbeat < 0) {
			return;
		}
		this.nextHeartbeat = now + this.settings.heartbeatInterval();
		this.commitIndexAtPreviousHeartbeat = this.commitIndexAtLatestHeartbeat;
		this.commitIndexAtLatestHeartbeat = this.commitIndex;
		removeUnresponsiveLearners(now);
		for (MemberProgress progress : this.members.values()) {
			heartbeat(progress, now, actions);
		}
		probeUnknownPeers(actions);
	}

	private void removeUnresponsiveLearners(long now) {
		long limit = now - LEARNER_REMOVAL_TIMEOUTS * this.settings.maximumElectionTimeout();
		this.members.values()
			.removeIf((progress) -> !MemberKey.contains(this.log.voters(), progress.identity())
					&& progress.hasNotAnsweredSince(limit));
	}

	private void heartbeat(MemberProgress progress, long now, List<ConsensusAction> actions) {
		if (progress.hasNotAnsweredSince(now - this.settings.maximumElectionTimeout())) {
			progress.resendFromMatch();
			sendEmpty(progress, now, actions);
			return;
		}
		if (progress.hasNotAnsweredSince(now - 2 * this.settings.heartbeatInterval())) {
			progress.resendFromMatch();
		}
		progress.allowProbe();
		if (maySendEntries(progress)) {
			sendNext(progress, now, actions);
		}
		else {
			sendEmpty(progress, now, actions);
		}
	}

	// Contacts configured control daemons and seeds that are not members. Their answers
	// carry their incarnation, with which they become learners. A seed without a log
	// cannot find the leader by itself if all other seeds are without one too.
	private void probeUnknownPeers(List<ConsensusAction> actions) {
		this.settings.peers().forEach((name, address) -> {
			if (!name.equals(this.settings.self().name()) && !isKnown(name)) {
				probe(address, actions);
			}
		});
		this.settings.seeds()
			.stream()
			.filter((address) -> !address.equals(this.settings.self().address()) && !hasMemberAt(address))
			.forEach((address) -> probe(address, actions));
	}

	private void probe(String address, List<ConsensusAction> actions) {
		this.round++;
		send(address, appendRequest(this.log.lastIndex(), List.of()), actions);
	}

	private boolean hasMemberAt(String address) {
		return this.members.values().stream().anyMatch((progress) -> address(progress).equals(address));
	}

	private boolean isKnown(String name) {
		return this.members.keySet().stream().anyMatch((key) -> key.name().equals(name));
	}

	void replicate(long now, List<ConsensusAction> actions) {
		for (MemberProgress progress : this.members.values()) {
			replicate(progress, now, actions);
		}
	}

	private void replicate(MemberProgress progress, long now, List<ConsensusAction> actions) {
		while (progress.transfer() == null && progress.nextIndex() <= this.log.lastIndex()
				&& maySendEntries(progress)) {
			sendNext(progress, now, actions);
		}
	}

	private boolean maySendEntries(MemberProgress progress) {
		return progress.maySendEntries(this.settings.maximumInFlight(), this.settings.maximumInFlightBytes());
	}

	private void sendNext(MemberProgress progress, long now, List<ConsensusAction> actions) {
		if (progress.nextIndex() <= this.log.baseIndex() && progress.transfer() == null) {
			progress.startTransfer(this.log.snapshot());
		}
		if (progress.transfer() != null) {
			sendSnapshotPart(progress, now, actions);
			return;
		}
		List<LogEntry> entries = this.log.batch(progress.nextIndex(), this.settings.maximumEntries(),
				this.settings.maximumBytes());
		this.round++;
		send(address(progress), appendRequest(progress.nextIndex() - 1, entries), actions);
		progress.recordSend(this.round, now, entries);
	}

	private void sendEmpty(MemberProgress progress, long now, List<ConsensusAction> actions) {
		long previousIndex = Math.max(this.log.baseIndex(), progress.nextIndex() - 1);
		this.round++;
		send(address(progress), appendRequest(previousIndex, List.of()), actions);
		progress.recordSend(this.round, now, List.of());
	}

	private void sendSnapshotPart(MemberProgress progress, long now, List<ConsensusAction> actions) {
		ConsensusSnapshot snapshot = progress.transfer();
		int offset = (int) progress.transferOffset();
		int end = Math.min(snapshot.data().length, offset + this.settings.snapshotPartBytes());
		byte[] part = Arrays.copyOfRange(snapshot.data(), offset, end);
		this.round++;
		SnapshotRequest request = new SnapshotRequest(this.settings.self(), this.cluster, this.term,
				snapshot.lastTerm(), snapshot.lastIndex(), snapshot.voters(), offset, part,
				end == snapshot.data().length, this.round);
		send(address(progress), request, actions);
		progress.recordSend(this.round, now, List.of());
	}

	private AppendRequest appendRequest(long previousIndex, List<LogEntry> entries) {
		return new AppendRequest(this.settings.self(), this.cluster, this.term, this.log.termAt(previousIndex),
				previousIndex, entries, this.commitIndex, this.round);
	}

	private String address(MemberProgress progress) {
		return this.settings.addressOf(progress.identity());
	}

	private static void send(String address, ConsensusMessage message, List<ConsensusAction> actions) {
		actions.add(new ConsensusAction.Send(address, message));
	}

	void receive(AppendAnswer answer, long now, List<ConsensusAction> actions) {
		MemberProgress progress = progressOf(answer.from(), now);
		if (progress == null) {
			return;
		}
		boolean known = progress.recordAnswer(answer.round(), now);
		if (answer.accepted()) {
			Invariants.require(answer.matchIndex() <= this.log.lastIndex(), answer.from().name(),
					"member reports match index %d but the log of the leader ends at %d", answer.matchIndex(),
					this.log.lastIndex());
			progress.recordMatch(answer.matchIndex());
		}
		else if (known && progress.transfer() == null) {
			progress.recordRejection(answer.matchIndex());
		}
		replicate(progress, now, actions);
	}

	void receive(SnapshotAnswer answer, long now, List<ConsensusAction> actions) {
		MemberProgress progress = progressOf(answer.from(), now);
		if (progress == null) {
			return;
		}
		boolean known = progress.recordAnswer(answer.round(), now);
		ConsensusSnapshot transfer = progress.transfer();
		if (transfer == null || transfer.lastIndex() != answer.lastIndex()) {
			return;
		}
		if (answer.installed()) {
			progress.finishTransfer();
			progress.recordMatch(answer.lastIndex());
			replicate(progress, now, actions);
		}
		else if (known && (answer.nextOffset() > progress.transferOffset() || answer.nextOffset() == 0)
				&& answer.nextOffset() <= transfer.data().length) {
			progress.continueTransfer(answer.nextOffset());
			sendSnapshotPart(progress, now, actions);
		}
	}

	// Returns the progress of the sender of an answer. An unknown incarnation of a
	// control daemon that may join becomes a learner.
	private MemberProgress progressOf(ControlIdentity from, long now) {
		MemberProgress progress = this.members.get(MemberKey.of(from));
		return (progress != null) ? progress : addLearner(from, now);
	}

	/**
	 * Adds a learner and starts to replicate to it. Replaces a learner of the same name.
	 * @param from identity of the control daemon
	 * @param now present time in nanoseconds
	 * @return its progress, or {@code null} if it may not join or already is a member
	 */
	MemberProgress addLearner(ControlIdentity from, long now) {
		boolean eligible = this.settings.mayJoin(from.name()) && !from.name().equals(this.settings.self().name());
		if (!eligible || this.members.containsKey(MemberKey.of(from))) {
			return null;
		}
		this.members.values().removeIf((other) -> isOtherLearner(other.identity(), from));
		MemberProgress learner = newProgress(from, now);
		this.members.put(MemberKey.of(from), learner);
		return learner;
	}

	private boolean isOtherLearner(ControlIdentity member, ControlIdentity learner) {
		return member.name().equals(learner.name()) && !MemberKey.contains(this.log.voters(), member);
	}

	/**
	 * Returns the highest index up to which a majority of voters has synced the log.
	 * @param persistedIndex index of the last entry synced by this member
	 * @return the index
	 */
	long majorityMatch(long persistedIndex) {
		List<Long> matches = new ArrayList<>();
		for (ControlIdentity voter : this.log.voters()) {
			MemberProgress progress = this.members.get(MemberKey.of(voter));
			matches.add((progress != null) ? progress.matchIndex() : persistedIndex);
		}
		matches.sort(null);
		return matches.get((matches.size() - 1) / 2);
	}

	/**
	 * Returns the end of the authority of this leader: the send time of the latest
	 * messages that a majority of voters answered, plus the authority duration.
	 * @param now present time in nanoseconds
	 * @return the time in nanoseconds, or empty if no majority has answered yet
	 */
	OptionalLong authorityDeadline(long now) {
		List<Long> ages = new ArrayList<>();
		List<ControlIdentity> voters = this.log.voters();
		for (ControlIdentity voter : voters) {
			MemberProgress progress = this.members.get(MemberKey.of(voter));
			if (progress == null) {
				ages.add(0L);
			}
			else if (progress.hasAnswered()) {
				ages.add(now - progress.answeredSendTime());
			}
		}
		int majority = voters.size() / 2 + 1;
		if (ages.size() < majority) {
			return OptionalLong.empty();
		}
		ages.sort(null);
		return OptionalLong.of(now - ages.get(majority - 1) + this.settings.authorityDuration());
	}

	/**
	 * Returns when this leader steps down unless a majority answers. It leads for longer
	 * than it has authority: if the answers are only late, for example because all
	 * members have just started, an election would delay them further.
	 * @param now present time in nanoseconds
	 * @return the time in nanoseconds
	 */
	long stepDownDeadline(long now) {
		long firstMajorityDeadline = this.since + this.settings.maximumElectionTimeout();
		OptionalLong authority = authorityDeadline(now);
		if (authority.isEmpty()) {
			return firstMajorityDeadline;
		}
		long nextMajorityDeadline = authority.getAsLong() + this.settings.minimumElectionTimeout();
		return (nextMajorityDeadline - firstMajorityDeadline < 0) ? firstMajorityDeadline : nextMajorityDeadline;
	}

	/**
	 * Returns the voters after the next membership change, which adds or removes one
	 * voter. A learner that has caught up replaces an unresponsive voter of the same name
	 * in two changes: the first removes the old incarnation, the second adds the new one.
	 * @param now present time in nanoseconds
	 * @return the voters, or empty if no change is due
	 */
	Optional<List<ControlIdentity>> nextVoters(long now) {
		Optional<List<ControlIdentity>> withLearner = votersWithLearner(now);
		return withLearner.isPresent() ? withLearner : votersWithoutUnresponsive(now);
	}

	// A VM that was replaced at another address never returns. If it stayed a voter, the
	// majority would include it and the cluster would tolerate one failure less. A
	// removed voter that returns joins again as a learner. With fewer voters than the
	// fault tolerance requires, a later loss of disks would end the cluster.
	private Optional<List<ControlIdentity>> votersWithoutUnresponsive(long now) {
		List<ControlIdentity> voters = this.log.voters();
		if (!this.settings.hasOpenMembership() || voters.size() <= this.settings.faultTolerance().votersToElect()) {
			return Optional.empty();
		}
		long limit = now - VOTER_REMOVAL_TIMEOUTS * this.settings.maximumElectionTimeout();
		return voters.stream()
			.filter((voter) -> hasNotAnsweredSince(voter, limit))
			.findFirst()
			.map((unresponsive) -> voters.stream().filter((voter) -> !voter.equals(unresponsive)).toList());
	}

	private boolean hasNotAnsweredSince(ControlIdentity voter, long time) {
		MemberProgress progress = this.members.get(MemberKey.of(voter));
		return progress != null && progress.hasNotAnsweredSince(time);
	}

	private Optional<List<ControlIdentity>> votersWithLearner(long now) {
		return this.members.values()
			.stream()
			.filter((progress) -> isPromotable(progress, now))
			.map((progress) -> votersAfterPromotion(progress.identity(), now))
			.filter(Objects::nonNull)
			.findFirst();
	}

	// A learner has caught up when it holds all entries committed before the previous
	// heartbeat. Under constant load it always lacks the entries of the last round trip.
	private boolean isPromotable(MemberProgress progress, long now) {
		return !progress.identity().observer() && !MemberKey.contains(this.log.voters(), progress.identity())
				&& progress.hasAnswered() && progress.transfer() == null
				&& progress.matchIndex() >= Math.max(1, this.commitIndexAtPreviousHeartbeat)
				&& !progress.hasNotAnsweredSince(now - 2 * this.settings.heartbeatInterval());
	}

	// Seeds of the first start are named by their address, and by their settings once
	// they
	// have lost their disk.
	private static boolean isEarlierIncarnation(ControlIdentity voter, ControlIdentity learner) {
		return voter.name().equals(learner.name()) || voter.address().equals(learner.address());
	}

	private List<ControlIdentity> votersAfterPromotion(ControlIdentity learner, long now) {
		List<ControlIdentity> voters = new ArrayList<>(this.log.voters());
		Optional<ControlIdentity> previous = voters.stream()
			.filter((voter) -> isEarlierIncarnation(voter, learner))
			.findFirst();
		if (previous.isEmpty()) {
			voters.add(learner);
			return voters;
		}
		if (!this.members.get(MemberKey.of(previous.get()))
			.hasNotAnsweredSince(now - this.settings.maximumElectionTimeout())) {
			return null;
		}
		voters.remove(previous.get());
		return voters;
	}

}
