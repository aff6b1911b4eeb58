package org.magnolialead.engine.consensus;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;
import org.magnolialead.api.message.ConsensusMessage;
import org.magnolialead.api.message.ConsensusMessage.AppendAnswer;
import org.magnolialead.api.message.ConsensusMessage.AppendRequest;
import org.magnolialead.api.message.ConsensusMessage.JoinRequest;
import org.magnolialead.api.message.ConsensusMessage.SnapshotAnswer;
import org.magnolialead.api.message.ConsensusMessage.SnapshotRequest;
import org.magnolialead.api.message.ConsensusMessage.VoteAnswer;
import org.magnolialead.api.message.ConsensusMessage.VoteRequest;
import org.magnolialead.api.message.ControlIdentity;
import org.magnolialead.api.message.LogEntry;

/**
 * Raft member that replicates the control log, without sockets, threads, clocks or files:
 * each input returns the actions that the driver executes in order. Not thread-safe.
 *
 * <p>
 * Every method that changes state throws a {@link MagnolialeadException} of code
 * {@code INVARIANT_VIOLATED} if an invariant of the log does not hold. The member must
 * not be used after that.
 */
public final class ConsensusNode {

	private final ConsensusSettings settings;

	private final ReplicaLog log;

	private final ElectionTimer electionTimer;

	private final List<PendingAnswer> pendingAnswers = new ArrayList<>();

	private final Set<MemberKey> grantedVotes = new HashSet<>();

	private List<ConsensusAction> actions = new ArrayList<>();

	private String cluster;

	private Vote vote;

	private Role role = Role.FOLLOWER;

	private ControlIdentity leader;

	/** Leader of the present term, kept after contact with it is lost. */
	private ControlIdentity leaderOfTerm;

	private Leadership leadership;

	private SnapshotAssembly snapshotAssembly;

	private long persistedIndex;

	/** Highest index known to be committed. This member may not have synced it yet. */
	private long knownCommitIndex;

	/** Highest committed and synced index; entries up to it were passed to the driver. */
	private long commitIndex;

	/** Size in bytes of the committed commands after the snapshot. */
	private long committedBytes;

	private long nextJoinRequest;

	/**
	 * Creates a member from its synced state.
	 * @param settings the settings
	 * @param stored the synced state
	 * @param lastPossibleLeaderContact latest time in nanoseconds at which this member
	 * may have answered a leader before it was created, for example the start of the
	 * process; not later than {@code now}
	 * @param now present time in nanoseconds
	 * @param random source of election timeouts
	 */
	public ConsensusNode(ConsensusSettings settings, StoredState stored, long lastPossibleLeaderContact, long now,
			RandomGenerator random) {
		this(settings, stored, 0, lastPossibleLeaderContact, now, random);
	}

	/**
	 * Creates a member from its synced state in a process that has applied entries of it.
	 * @param settings the settings
	 * @param stored the synced state
	 * @param appliedIndex index of the last entry that the driver has applied; entries up
	 * to it are not passed to the driver again
	 * @param lastPossibleLeaderContact latest time in nanoseconds at which this member
	 * may have answered a leader before it was created; not later than {@code now}
	 * @param now present time in nanoseconds
	 * @param random source of election timeouts
	 */
	public ConsensusNode(ConsensusSettings settings, StoredState stored, long appliedIndex,
			long lastPossibleLeaderContact, long now, RandomGenerator random) {
		this.settings = Objects.requireNonNull(settings, "settings must not be null");
		Objects.requireNonNull(random, "random must not be null");
		this.cluster = stored.cluster();
		this.vote = stored.vote();
		this.log = new ReplicaLog(stored);
		this.persistedIndex = this.log.lastIndex();
		this.commitIndex = Math.max(this.log.snapshotIndex(), appliedIndex);
		Invariants.require(this.commitIndex <= this.log.lastIndex(), "",
				"entries up to %d were applied but the log ends at %d", this.commitIndex, this.log.lastIndex());
		this.knownCommitIndex = this.commitIndex;
		this.committedBytes = this.log.bytes(this.log.snapshotIndex() + 1, this.commitIndex);
		// A restarted voter is a member already and waits for an election first.
		this.nextJoinRequest = isVoter() ? now + settings.maximumElectionTimeout() : now;
		this.electionTimer = new ElectionTimer(settings, voters(), lastPossibleLeaderContact, now, random);
	}

	/**
	 * Runs time-dependent work, such as elections and heartbeats. Must be called several
	 * times per heartbeat interval.
	 * @param now present time in nanoseconds
	 * @return the actions
	 */
	public List<ConsensusAction> tick(long now) {
		stepDownIfOverdue(now);
		if (this.role == Role.LEADER) {
			tickAsLeader(now);
		}
		else if (isVoter() && this.electionTimer.isDue(now)) {
			startPreVote(now);
		}
		requestToJoinIfDue(now);
		return drainActions();
	}

	// A member that was removed during a partition is not told and is still a voter in
	// its own log, so voters send requests too. Requests are repeated because a leader
	// removes unresponsive learners.
	private void requestToJoinIfDue(long now) {
		boolean leaderUnknown = this.leader == null || this.electionTimer.isDue(now);
		boolean mayRequest = this.settings.hasOpenMembership() && this.role != Role.LEADER && leaderUnknown;
		if (!mayRequest || now - this.nextJoinRequest < 0) {
			return;
		}
		this.nextJoinRequest = now + this.settings.minimumElectionTimeout() / 2;
		JoinRequest request = new JoinRequest(this.settings.self(), this.cluster, term(), false);
		Set<String> addresses = new LinkedHashSet<>(this.settings.seeds());
		voters().forEach((voter) -> addresses.add(voter.address()));
		addresses.remove(this.settings.self().address());
		addresses.forEach((address) -> this.actions.add(new ConsensusAction.Send(address, request)));
	}

	/**
	 * Handles a message. Messages of another cluster are ignored.
	 * @param message the message
	 * @param now present time in nanoseconds, read after the message arrived
	 * @return the actions
	 */
	public List<ConsensusAction> receive(ConsensusMessage message, long now) {
		stepDownIfOverdue(now);
		if (message instanceof JoinRequest join) {
			receive(join, now);
		}
		else if (isAccepted(message)) {
			dispatch(message, now);
			if (this.role == Role.LEADER) {
				advanceCommitIndex();
				changeMembership(now);
			}
		}
		return drainActions();
	}

	/**
	 * Appends commands to the log of the leader. They get consecutive indexes after
	 * {@link #lastIndex()}.
	 * @param commands encoded commands
	 * @param now present time in nanoseconds
	 * @return the actions
	 * @throws MagnolialeadException of code {@code NOT_LEADER} if this member is not the
	 * leader, or {@code OVERLOADED} if the log has no room for the commands until the
	 * next snapshot; nothing was appended
	 */
	public List<ConsensusAction> propose(List<byte[]> commands, long now) {
		if (this.role != Role.LEADER || now - this.leadership.stepDownDeadline(now) >= 0) {
			throw new MagnolialeadException(ErrorCode.NOT_LEADER, Step.CONTROL, leaderAddress().orElse(""),
					"this control daemon is not the leader");
		}
		requireRoom(commands);
		List<LogEntry> entries = new ArrayList<>();
		for (byte[] command : commands) {
			entries
				.add(new LogEntry(term(), lastIndex() + entries.size() + 1, LogEntry.Kind.COMMAND, command, List.of()));
		}
		appendAsLeader(entries, now);
		return drainActions();
	}

	private void requireRoom(List<byte[]> commands) {
		long bytes = this.log.bytes();
		for (byte[] command : commands) {
			bytes += command.length;
		}
		if (bytes > this.settings.logBudget().maximumBytes()) {
			throw new MagnolialeadException(ErrorCode.OVERLOADED, Step.CONTROL, "",
					"the control log would hold %d bytes, more than its limit of %d bytes, until the next snapshot"
						.formatted(bytes, this.settings.logBudget().maximumBytes()));
		}
	}

	/**
	 * Reports that log entries are synced. Answers that waited for them are sent.
	 * @param upToIndex index of the last synced entry
	 * @param entryTerm term of that entry
	 * @param now present time in nanoseconds
	 * @return the actions
	 */
	public List<ConsensusAction> persisted(long upToIndex, long entryTerm, long now) {
		if (this.log.termAt(upToIndex) == entryTerm && upToIndex > this.persistedIndex) {
			this.persistedIndex = upToIndex;
			sendPersistedAnswers();
			if (this.role == Role.LEADER) {
				advanceCommitIndex();
				changeMembership(now);
			}
			applyCommitted();
		}
		return drainActions();
	}

	/**
	 * Returns the log position of the state, given that the driver has applied all
	 * entries passed to it so far.
	 * @return the position
	 */
	public SnapshotPosition snapshotPosition() {
		return new SnapshotPosition(this.commitIndex, this.log.termAt(this.commitIndex),
				this.log.votersAt(this.commitIndex));
	}

	/**
	 * Tells whether the driver should take a snapshot, because many commands were
	 * committed since the last one.
	 * @param entries number of committed entries from which on a snapshot is due
	 * @return {@code true} if it is due by the number or by the size of the commands
	 */
	public boolean isSnapshotDue(int entries) {
		return this.commitIndex - this.log.snapshotIndex() >= entries
				|| this.committedBytes >= this.settings.logBudget().snapshotBytes();
	}

	/**
	 * Removes entries that a snapshot covers. The driver calls it after syncing the
	 * snapshot; entries may have been applied since its position was taken.
	 * @param snapshot snapshot of the state at an earlier {@link #snapshotPosition()}
	 * @param retainedEntries maximum number of covered entries to keep for members that
	 * lag slightly behind
	 * @return {@code false} if nothing changed, because the member already has a snapshot
	 * of the same or a later position, for example one installed from the leader
	 */
	public boolean compact(ConsensusSnapshot snapshot, int retainedEntries) {
		if (snapshot.lastIndex() <= this.log.snapshotIndex()) {
			return false;
		}
		this.log.compact(snapshot, retainedEntries, this.settings.logBudget().retainedBytes());
		this.committedBytes = this.log.bytes(snapshot.lastIndex() + 1, this.commitIndex);
		return true;
	}

	/**
	 * Returns the state that the files of this member contain after all pending writes.
	 * @return the state
	 */
	public StoredState storedState() {
		List<LogEntry> entries = (lastIndex() > this.log.baseIndex())
				? this.log.range(this.log.baseIndex() + 1, lastIndex()) : List.of();
		return new StoredState(this.cluster, this.vote, this.log.snapshot(), this.log.baseIndex(), this.log.baseTerm(),
				entries);
	}

	/**
	 * Returns the identifier of the cluster.
	 * @return the identifier, or an empty string for a member of no cluster
	 */
	public String cluster() {
		return this.cluster;
	}

	/**
	 * Returns the term.
	 * @return the term
	 */
	public long term() {
		return this.vote.term();
	}

	/**
	 * Tells whether this member is the leader, with or without authority.
	 * @return {@code true} if it is the leader
	 */
	public boolean isLeader() {
		return this.role == Role.LEADER;
	}

	/**
	 * Returns when this member became leader.
	 * @return the time in nanoseconds, or empty if it is not the leader
	 */
	public OptionalLong leaderSince() {
		return isLeader() ? OptionalLong.of(this.leadership.since()) : OptionalLong.empty();
	}

	/**
	 * Returns until when this member may act as leader (its leader lease). A leader has
	 * this authority only after it has passed an entry of its own term to the driver to
	 * be applied, because its state then reflects every committed command.
	 * @param now present time in nanoseconds
	 * @return the time in nanoseconds, or empty if it has no authority
	 */
	public OptionalLong authorityDeadline(long now) {
		if (!isLeader() || !hasCommittedOwnTerm()) {
			return OptionalLong.empty();
		}
		return this.leadership.authorityDeadline(now);
	}

	/**
	 * Returns the peer address of the leader.
	 * @return the address, or empty if no leader is known
	 */
	public Optional<String> leaderAddress() {
		return Optional.ofNullable(this.leader).map(this.settings::addressOf);
	}

	/**
	 * Returns the index of the last entry.
	 * @return the index, 0 if there is none
	 */
	public long lastIndex() {
		return this.log.lastIndex();
	}

	/**
	 * Returns the term of the last entry.
	 * @return the term, 0 if there is none
	 */
	public long lastTerm() {
		return this.log.lastTerm();
	}

	/**
	 * Returns the index of the last committed entry that is synced here. All entries up
	 * to it have been passed to the driver to be applied.
	 * @return the index, 0 if there is none
	 */
	public long commitIndex() {
		return this.commitIndex;
	}

	/**
	 * Returns the index of the last entry in the latest snapshot.
	 * @return the index, 0 if there is none
	 */
	public long snapshotIndex() {
		return this.log.snapshotIndex();
	}

	/**
	 * Returns the size of the commands that the log holds.
	 * @return the size in bytes
	 */
	public long logBytes() {
		return this.log.bytes();
	}

	/**
	 * Returns the voting members.
	 * @return the voters
	 */
	public List<ControlIdentity> voters() {
		return this.log.voters();
	}

	private List<ConsensusAction> drainActions() {
		List<ConsensusAction> taken = this.actions;
		this.actions = new ArrayList<>();
		return taken;
	}

	private boolean isAccepted(ConsensusMessage message) {
		if (message.from().isSameMember(this.settings.self()) || message.cluster().isEmpty()) {
			return false;
		}
		if (!this.cluster.isEmpty()) {
			return this.cluster.equals(message.cluster());
		}
		boolean fromLeader = message instanceof AppendRequest || message instanceof SnapshotRequest;
		return fromLeader && this.settings.mayJoin(message.from().name());
	}

	// The leader replicates to the sender, which learns the cluster from the messages.
	private void receive(JoinRequest join, long now) {
		boolean sameCluster = join.cluster().isEmpty() || join.cluster().equals(this.cluster);
		if (!this.settings.hasOpenMembership() || this.cluster.isEmpty() || !sameCluster) {
			return;
		}
		if (this.role == Role.LEADER) {
			this.leadership.addLearner(join.from(), now);
		}
		else if (this.leader != null && !join.forwarded()) {
			send(this.leader, new JoinRequest(join.from(), join.cluster(), join.term(), true));
		}
	}

	private void dispatch(ConsensusMessage message, long now) {
		if (message instanceof AppendRequest request) {
			receive(request, now);
		}
		else if (message instanceof AppendAnswer answer) {
			if (isAnswerToLeader(answer, now)) {
				this.leadership.receive(answer, now, this.actions);
			}
		}
		else if (message instanceof VoteRequest request) {
			receive(request, now);
		}
		else if (message instanceof VoteAnswer answer) {
			receive(answer, now);
		}
		else if (message instanceof SnapshotRequest request) {
			receive(request, now);
		}
		else if (message instanceof SnapshotAnswer answer && isAnswerToLeader(answer, now)) {
			this.leadership.receive(answer, now, this.actions);
		}
	}

	private boolean isAnswerToLeader(ConsensusMessage answer, long now) {
		if (answer.term() > term()) {
			enterTerm(new Vote(answer.term(), null), now);
		}
		return isLeader() && answer.term() == term();
	}

	// Elections

	// A pre-vote does not change the term or vote of the voters.
	private void startPreVote(long now) {
		this.electionTimer.preVoteStarted(now);
		this.leader = null;
		this.role = Role.PRE_CANDIDATE;
		requestVotes(term() + 1, true, now);
	}

	private void startElection(long now) {
		enterTerm(new Vote(term() + 1, this.settings.self()), now);
		this.electionTimer.restart(now);
		this.role = Role.CANDIDATE;
		requestVotes(term(), false, now);
	}

	private void requestVotes(long electionTerm, boolean preVote, long now) {
		this.grantedVotes.clear();
		VoteRequest request = new VoteRequest(this.settings.self(), this.cluster, electionTerm, preVote, lastTerm(),
				lastIndex());
		for (ControlIdentity voter : voters()) {
			if (!voter.isSameMember(this.settings.self())) {
				send(voter, request);
			}
		}
		countVote(this.settings.self(), now);
	}

	private void countVote(ControlIdentity voter, long now) {
		this.grantedVotes.add(MemberKey.of(voter));
		long granted = voters().stream().filter((member) -> this.grantedVotes.contains(MemberKey.of(member))).count();
		if (granted < voters().size() / 2 + 1) {
			return;
		}
		if (this.role == Role.PRE_CANDIDATE) {
			startElection(now);
		}
		else {
			becomeLeader(now);
		}
	}

	private void becomeLeader(long now) {
		this.role = Role.LEADER;
		this.leader = this.settings.self();
		this.leaderOfTerm = this.leader;
		this.leadership = new Leadership(this.settings, this.log, this.cluster, term(), now);
		this.leadership.commitIndex(this.commitIndex);
		this.actions.add(new ConsensusAction.BecomeLeader(term()));
		LogEntry first = new LogEntry(term(), lastIndex() + 1, LogEntry.Kind.EMPTY, new byte[0], List.of());
		appendAsLeader(List.of(first), now);
		this.leadership.heartbeatIfDue(now, this.actions);
	}

	private void receive(VoteRequest request, long now) {
		boolean refused = hasRecentLeaderContact(now) || request.term() < term() || !isUpToDate(request);
		if (request.preVote()) {
			answerVote(request, !refused && request.term() > term() && concedePreVote(request, now));
			return;
		}
		if (!hasRecentLeaderContact(now) && request.term() > term()) {
			enterTerm(new Vote(request.term(), refused ? null : request.from()), now);
		}
		else if (!refused && this.vote.candidate() == null) {
			saveVote(new Vote(term(), request.from()));
		}
		boolean granted = !refused && request.term() == term() && this.vote.candidate() != null
				&& this.vote.candidate().isSameMember(request.from());
		if (granted) {
			this.electionTimer.restart(now);
		}
		answerVote(request, granted);
	}

	// Among members that request pre-votes at the same time, the first in the voter list
	// continues unless its log is behind. A split vote would cost an election timeout.
	private boolean concedePreVote(VoteRequest request, long now) {
		if (this.role != Role.PRE_CANDIDATE) {
			return true;
		}
		boolean logIsUpToDate = lastTerm() > request.lastTerm()
				|| (lastTerm() == request.lastTerm() && lastIndex() >= request.lastIndex());
		boolean precedesSender = MemberKey.indexOf(voters(), this.settings.self()) < MemberKey.indexOf(voters(),
				request.from());
		if (precedesSender && logIsUpToDate) {
			return false;
		}
		this.role = Role.FOLLOWER;
		this.electionTimer.preVoteConceded(now);
		return true;
	}

	private boolean hasRecentLeaderContact(long now) {
		return isLeader() || this.electionTimer.refusesVotes(now);
	}

	private boolean isUpToDate(VoteRequest request) {
		return request.lastTerm() > lastTerm()
				|| (request.lastTerm() == lastTerm() && request.lastIndex() >= lastIndex());
	}

	private void answerVote(VoteRequest request, boolean granted) {
		send(request.from(),
				new VoteAnswer(this.settings.self(), this.cluster, term(), request.term(), request.preVote(), granted));
	}

	private void receive(VoteAnswer answer, long now) {
		if (answer.term() > term() && !answer.granted()) {
			enterTerm(new Vote(answer.term(), null), now);
			return;
		}
		boolean expected = answer.preVote() ? this.role == Role.PRE_CANDIDATE && answer.requestTerm() == term() + 1
				: this.role == Role.CANDIDATE && answer.requestTerm() == term();
		if (expected && answer.granted()) {
			countVote(answer.from(), now);
		}
	}

	// Becomes a follower in a higher term.
	private void enterTerm(Vote newVote, long now) {
		Invariants.require(newVote.term() > term(), "", "term must increase from %d, found %d", term(), newVote.term());
		stepDown(now);
		this.role = Role.FOLLOWER;
		this.leader = null;
		this.leaderOfTerm = null;
		this.pendingAnswers.clear();
		this.snapshotAssembly = null;
		saveVote(newVote);
	}

	private void saveVote(Vote newVote) {
		this.vote = newVote;
		this.actions.add(new ConsensusAction.SaveVote(newVote));
	}

	private void stepDownIfOverdue(long now) {
		if (isLeader() && now - this.leadership.stepDownDeadline(now) >= 0) {
			stepDown(now);
		}
	}

	private void stepDown(long now) {
		if (isLeader()) {
			this.role = Role.FOLLOWER;
			this.leader = null;
			this.leadership = null;
			this.electionTimer.restart(now);
			this.actions.add(new ConsensusAction.StepDown(term()));
		}
	}

	private boolean isVoter() {
		return MemberKey.contains(voters(), this.settings.self());
	}

	// Leader

	private void tickAsLeader(long now) {
		advanceCommitIndex();
		changeMembership(now);
		this.leadership.heartbeatIfDue(now, this.actions);
	}

	private void appendAsLeader(List<LogEntry> entries, long now) {
		this.log.append(entries);
		this.actions.add(new ConsensusAction.AppendEntries(entries));
		this.leadership.replicate(now, this.actions);
	}

	private void advanceCommitIndex() {
		long index = this.leadership.majorityMatch(this.persistedIndex);
		if (index > this.knownCommitIndex && this.log.termAt(index) == term()) {
			this.knownCommitIndex = index;
			applyCommitted();
		}
	}

	private boolean hasCommittedOwnTerm() {
		return this.log.termAt(this.commitIndex) == term();
	}

	private void changeMembership(long now) {
		if (!isLeader() || !hasCommittedOwnTerm() || this.log.votersIndex() > this.commitIndex) {
			return;
		}
		this.leadership.nextVoters(now).ifPresent((voters) -> {
			LogEntry change = new LogEntry(term(), lastIndex() + 1, LogEntry.Kind.VOTERS, new byte[0], voters);
			appendAsLeader(List.of(change), now);
			this.leadership.updateVoters(now);
		});
	}

	// Follower

	private void receive(AppendRequest request, long now) {
		if (!follow(request, now)) {
			sendRejection(request, 0);
			return;
		}
		if (!matches(request)) {
			sendRejection(request, rejectionHint(request));
			return;
		}
		if (!hasRoom(request.entries())) {
			// Not answered, so that the leader sends the entries again with a heartbeat.
			return;
		}
		appendMissing(request.entries());
		long matchIndex = request.previousIndex() + request.entries().size();
		this.knownCommitIndex = Math.max(this.knownCommitIndex, Math.min(request.commitIndex(), matchIndex));
		applyCommitted();
		answerWhenPersisted(request.from(), matchIndex,
				new AppendAnswer(this.settings.self(), this.cluster, term(), true, matchIndex, request.round()));
	}

	// Entries are refused only if a snapshot is due, because only a snapshot makes room.
	private boolean hasRoom(List<LogEntry> entries) {
		LogBudget budget = this.settings.logBudget();
		return entries.isEmpty() || this.log.bytes() <= budget.maximumBytes()
				|| this.committedBytes < budget.snapshotBytes();
	}

	// Accepts the sender of a message as leader unless the message is of an earlier term.
	private boolean follow(ConsensusMessage message, long now) {
		if (this.cluster.isEmpty()) {
			this.cluster = message.cluster();
			this.actions.add(new ConsensusAction.JoinCluster(this.cluster));
		}
		if (message.term() < term()) {
			return false;
		}
		if (message.term() > term()) {
			enterTerm(new Vote(message.term(), null), now);
		}
		Invariants.require(this.leaderOfTerm == null || this.leaderOfTerm.isSameMember(message.from()),
				message.from().name(), "term %d has two leaders, %s and %s", term(), this.leaderOfTerm, message.from());
		this.role = Role.FOLLOWER;
		this.leader = message.from();
		this.leaderOfTerm = this.leader;
		this.electionTimer.leaderContacted(now);
		return true;
	}

	private boolean matches(AppendRequest request) {
		return request.previousIndex() < this.log.baseIndex()
				|| this.log.termAt(request.previousIndex()) == request.previousTerm();
	}

	// Returns the index at which the leader retries: the last one before all entries of
	// the conflicting term, but not before the commit index, because committed entries
	// match.
	private long rejectionHint(AppendRequest request) {
		if (request.previousIndex() > lastIndex()) {
			return lastIndex();
		}
		long conflictingTerm = this.log.termAt(request.previousIndex());
		long hint = request.previousIndex() - 1;
		while (hint > this.commitIndex && this.log.termAt(hint) == conflictingTerm) {
			hint--;
		}
		return hint;
	}

	private void sendRejection(AppendRequest request, long hint) {
		send(request.from(),
				new AppendAnswer(this.settings.self(), this.cluster, term(), false, hint, request.round()));
	}

	private void appendMissing(List<LogEntry> entries) {
		int position = 0;
		while (position < entries.size() && containsEntry(entries.get(position))) {
			position++;
		}
		if (position == entries.size()) {
			return;
		}
		List<LogEntry> missing = entries.subList(position, entries.size());
		long firstIndex = missing.get(0).index();
		if (firstIndex <= lastIndex()) {
			truncateFrom(firstIndex);
		}
		this.log.append(missing);
		this.actions.add(new ConsensusAction.AppendEntries(missing));
	}

	private boolean containsEntry(LogEntry entry) {
		return entry.index() <= this.log.baseIndex() || this.log.termAt(entry.index()) == entry.term();
	}

	private void truncateFrom(long index) {
		Invariants.require(index > this.knownCommitIndex, "",
				"entry %d must not be truncated, entries up to %d are committed", index, this.knownCommitIndex);
		this.log.truncateFrom(index);
		this.persistedIndex = Math.min(this.persistedIndex, index - 1);
		this.pendingAnswers.clear();
	}

	private void receive(SnapshotRequest request, long now) {
		if (!follow(request, now)) {
			send(request.from(), snapshotAnswer(request, 0, false));
			return;
		}
		if (containsLastEntryOf(request)) {
			this.knownCommitIndex = Math.max(this.knownCommitIndex, request.lastIndex());
			applyCommitted();
			answerWhenPersisted(request.from(), request.lastIndex(), snapshotAnswer(request, 0, true));
			return;
		}
		if (this.snapshotAssembly == null || !this.snapshotAssembly.isContinuedBy(request)) {
			this.snapshotAssembly = new SnapshotAssembly(request);
		}
		if (this.snapshotAssembly.add(request)) {
			install(new ConsensusSnapshot(request.lastIndex(), request.lastTerm(), request.voters(),
					this.snapshotAssembly.data()));
			send(request.from(), snapshotAnswer(request, 0, true));
			return;
		}
		send(request.from(), snapshotAnswer(request, this.snapshotAssembly.nextOffset(), false));
	}

	private void install(ConsensusSnapshot snapshot) {
		Invariants.require(snapshot.lastIndex() > this.commitIndex, "",
				"snapshot must extend the commit index %d, found last index %d", this.commitIndex,
				snapshot.lastIndex());
		this.snapshotAssembly = null;
		this.pendingAnswers.clear();
		this.log.reset(snapshot);
		this.committedBytes = 0;
		this.persistedIndex = snapshot.lastIndex();
		this.commitIndex = snapshot.lastIndex();
		this.knownCommitIndex = Math.max(this.knownCommitIndex, this.commitIndex);
		this.actions.add(new ConsensusAction.InstallSnapshot(snapshot));
	}

	// A log that contains the last entry of the snapshot must not be replaced: it may
	// have later entries that this member has acknowledged and that are therefore
	// committed.
	private boolean containsLastEntryOf(SnapshotRequest request) {
		return request.lastIndex() <= this.commitIndex || this.log.termAt(request.lastIndex()) == request.lastTerm();
	}

	private SnapshotAnswer snapshotAnswer(SnapshotRequest request, long nextOffset, boolean installed) {
		return new SnapshotAnswer(this.settings.self(), this.cluster, term(), request.lastIndex(), nextOffset,
				installed, request.round());
	}

	// Log

	private void applyCommitted() {
		long newCommitIndex = Math.min(this.knownCommitIndex, this.persistedIndex);
		Invariants.require(newCommitIndex >= this.commitIndex, "", "commit index must not decrease from %d to %d",
				this.commitIndex, newCommitIndex);
		if (newCommitIndex > this.commitIndex) {
			this.actions.add(new ConsensusAction.ApplyEntries(this.log.range(this.commitIndex + 1, newCommitIndex)));
			this.committedBytes += this.log.bytes(this.commitIndex + 1, newCommitIndex);
			this.commitIndex = newCommitIndex;
		}
		if (isLeader()) {
			this.leadership.commitIndex(this.commitIndex);
		}
	}

	private void answerWhenPersisted(ControlIdentity recipient, long index, ConsensusMessage answer) {
		if (index <= this.persistedIndex) {
			send(recipient, answer);
		}
		else {
			this.pendingAnswers.add(new PendingAnswer(recipient, index, answer));
		}
	}

	private void sendPersistedAnswers() {
		this.pendingAnswers.removeIf((pending) -> {
			boolean ready = pending.index() <= this.persistedIndex;
			if (ready) {
				send(pending.recipient(), pending.answer());
			}
			return ready;
		});
	}

	private void send(ControlIdentity recipient, ConsensusMessage message) {
		this.actions.add(new ConsensusAction.Send(this.settings.addressOf(recipient), message));
	}

	private enum Role {

		FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER

	}

	private record PendingAnswer(ControlIdentity recipient, long index, ConsensusMessage answer) {
	}

}
