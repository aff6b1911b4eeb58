package org.magnolialead.engine.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.magnolialead.api.FreshnessRule;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.MemberRole;
import org.magnolialead.api.MemberStatus;
import org.magnolialead.api.Profile;
import org.magnolialead.api.Rank;

/**
 * Discrete-event simulation of one group of three members with asynchronous replication,
 * of the control plane and of successive owners. Messages are delayed and lost, members
 * crash or become unreachable for the owner, and the owner changes. Invariants are
 * checked at every step.
 */
final class GroupSimulation {

	private static final long MILLISECOND = 1_000_000L;

	/** Twice the capacity of an owner's table, so that sessions are evicted. */
	private static final int SESSIONS = 40;

	private static final Profile PROFILE = new Profile("session", Rank.STANDARD, FreshnessRule.SESSION, 0, true, true);

	private final Random random;

	private final QuorumRule quorum;

	private final boolean ignoreSessions;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));

	private final Map<String, Member> members = new TreeMap<>();

	private final Map<Long, String> writersByTerm = new HashMap<>();

	private final Set<Long> acknowledged = new HashSet<>();

	private final Map<String, Set<Long>> acknowledgedBySession = new HashMap<>();

	private GroupView view;

	private Owner owner;

	private boolean faults = true;

	private long now = -5_000 * MILLISECOND;

	private long nextSequence;

	private long nextWrite;

	private int reads;

	private int replicaReads;

	GroupSimulation(long seed, QuorumRule quorum, boolean ignoreSessions) {
		this.random = new Random(seed);
		this.quorum = quorum;
		this.ignoreSessions = ignoreSessions;
		Map<String, MemberDescription> descriptions = new HashMap<>();
		for (String name : List.of("a", "b", "c")) {
			this.members.put(name, new Member(name));
			descriptions.put(name, new MemberDescription("group", name, name + ":1", "zone", 2, 20, false));
		}
		this.view = new GroupView("group", 1, 0, "", 0, "", "owner", 1, descriptions);
		this.owner = new Owner();
		this.members.values().forEach(Member::replicate);
		every(20, () -> this.owner.write());
		every(15, () -> this.owner.read());
		every(700, this::injectFault);
		every(200, () -> publish(this.view));
	}

	/**
	 * Runs with faults and then without, and checks that the group recovers.
	 * @param seconds duration of the phase with faults, in seconds
	 */
	void run(int seconds) {
		runUntil(this.now + seconds * 1_000 * MILLISECOND);
		this.faults = false;
		this.members.values().forEach(Member::repair);
		markLeaving("");
		runUntil(this.now + 15_000 * MILLISECOND);
		expect(this.owner.decision.phase() == FailoverPhase.STEADY,
				"the group must recover, but is in phase " + this.owner.decision.phase());
		this.members.values().forEach(this::expectAcknowledgedWrites);
	}

	int acknowledgedWrites() {
		return this.acknowledged.size();
	}

	long terms() {
		return this.view.term();
	}

	int reads() {
		return this.reads;
	}

	int replicaReads() {
		return this.replicaReads;
	}

	private void runUntil(long end) {
		while (this.events.peek().time() - end <= 0) {
			Event event = this.events.poll();
			this.now = event.time();
			event.action().run();
		}
		this.now = end;
	}

	private void injectFault() {
		if (!this.faults) {
			return;
		}
		Member member = this.members.get(List.of("a", "b", "c").get(this.random.nextInt(3)));
		switch (this.random.nextInt(6)) {
			case 0, 1 -> member.crash();
			case 2 -> member.disconnect();
			case 3 -> changeOwner();
			case 4 -> member.delayReplication(20 + this.random.nextInt(500));
			default -> this.members.values().forEach(Member::repair);
		}
		after(200 + this.random.nextInt(5_000), member::repair);
		if (this.random.nextInt(4) == 0) {
			markLeaving(this.random.nextBoolean() ? member.name : "");
		}
	}

	private void changeOwner() {
		this.owner.active = false;
		after(300, () -> {
			if (!this.owner.active) {
				publish(new GroupView("group", this.view.version() + 1, this.view.term(), this.view.primary(),
						this.view.reservedTerm(), this.view.candidate(), "owner", this.view.ownerEpoch() + 1,
						this.view.members()));
				this.owner = new Owner();
			}
		});
	}

	// Marks one member as leaving, or none if the name is empty.
	private void markLeaving(String name) {
		Map<String, MemberDescription> changed = new HashMap<>();
		this.view.members()
			.forEach((member, old) -> changed.put(member,
					new MemberDescription("group", member, old.address(), "zone", 2, 20, member.equals(name))));
		publish(new GroupView("group", this.view.version() + 1, this.view.term(), this.view.primary(),
				this.view.reservedTerm(), this.view.candidate(), "owner", this.view.ownerEpoch(), changed));
	}

	private boolean reserve(long epoch, FailoverAction.Reserve command) {
		if (epoch != this.view.ownerEpoch() || command.expectedReservedTerm() != this.view.reservedTerm()) {
			return false;
		}
		publish(new GroupView("group", this.view.version() + 1, this.view.term(), this.view.primary(),
				command.newTerm(), command.candidate(), "owner", epoch, this.view.members()));
		return true;
	}

	private boolean confirm(long epoch, FailoverAction.Confirm command) {
		boolean valid = epoch == this.view.ownerEpoch() && command.term() == this.view.reservedTerm()
				&& command.primary().equals(this.view.candidate());
		if (valid && command.term() > this.view.term()) {
			expectAcknowledgedWrites(this.members.get(command.primary()));
			publish(new GroupView("group", this.view.version() + 1, command.term(), command.primary(), command.term(),
					"", "owner", epoch, this.view.members()));
		}
		return valid;
	}

	private void publish(GroupView changed) {
		this.view = changed;
		Owner receiver = this.owner;
		sendMessage(() -> receiver.pendingEvents.add(new FailoverEvent.GroupChanged(changed)));
	}

	private void expectAcknowledgedWrites(Member member) {
		expect(member.writes().containsAll(this.acknowledged), "an acknowledged write was lost by " + member.name);
	}

	private static void expect(boolean condition, String message) {
		if (!condition) {
			throw new AssertionError(message);
		}
	}

	private void sendMessage(Runnable action) {
		if (!this.faults || this.random.nextInt(50) > 0) {
			after(1 + ((this.random.nextInt(20) == 0) ? this.random.nextInt(400) : this.random.nextInt(5)), action);
		}
	}

	private void every(long milliseconds, Runnable action) {
		after(milliseconds, () -> {
			action.run();
			every(milliseconds, action);
		});
	}

	private void after(long milliseconds, Runnable action) {
		this.events.add(new Event(this.now + milliseconds * MILLISECOND, this.nextSequence++, action));
	}

	private record Event(long time, long sequence, Runnable action) {
	}

	private record Entry(LogPosition position, long write) {
	}

	private final class Member {

		private final String name;

		private final List<Entry> log = new ArrayList<>();

		private MemberRole role = MemberRole.REPLICA;

		private String followedMember = "";

		private long term;

		private long lagMilliseconds = 10;

		private boolean running = true;

		private boolean reachable = true;

		Member(String name) {
			this.name = name;
		}

		void repair() {
			this.running = true;
			this.reachable = true;
			this.lagMilliseconds = 10;
		}

		void crash() {
			this.running = false;
		}

		void disconnect() {
			this.reachable = false;
		}

		void delayReplication(long milliseconds) {
			this.lagMilliseconds = milliseconds;
		}

		Set<Long> writes() {
			Set<Long> writes = new HashSet<>();
			this.log.forEach((entry) -> writes.add(entry.write()));
			return writes;
		}

		LogPosition position() {
			return this.log.isEmpty() ? LogPosition.NONE : this.log.get(this.log.size() - 1).position();
		}

		MemberStatus status() {
			return new MemberStatus("group", this.name, this.role, this.term, position());
		}

		boolean promote(long newTerm) {
			if (newTerm < this.term || (newTerm == this.term && this.role == MemberRole.REPLICA)) {
				return false;
			}
			this.term = newTerm;
			this.role = MemberRole.PRIMARY;
			return true;
		}

		void follow(long newTerm, String primaryAddress) {
			if (newTerm > this.term || (newTerm == this.term && this.role == MemberRole.REPLICA)) {
				this.term = newTerm;
				this.role = MemberRole.REPLICA;
				this.followedMember = primaryAddress.substring(0, 1);
			}
		}

		void replicate() {
			Member source = GroupSimulation.this.members.get(this.followedMember);
			boolean follows = this.role == MemberRole.REPLICA && source != null && source.role == MemberRole.PRIMARY
					&& source.term == this.term;
			if (follows && this.running && source.running) {
				int common = Math.min(this.log.size(), source.log.size());
				while (common > 0 && !this.log.get(common - 1).equals(source.log.get(common - 1))) {
					common--;
				}
				this.log.subList(common, this.log.size()).clear();
				this.log.addAll(source.log.subList(common, source.log.size()));
			}
			after(1 + GroupSimulation.this.random.nextInt((int) this.lagMilliseconds), this::replicate);
		}

		Optional<LogPosition> write(long write) {
			if (this.role != MemberRole.PRIMARY) {
				return Optional.empty();
			}
			String earlier = GroupSimulation.this.writersByTerm.putIfAbsent(this.term, this.name);
			expect(earlier == null || earlier.equals(this.name), "two primaries were used in term " + this.term);
			this.log.add(new Entry(new LogPosition(this.term, this.log.size() + 1), write));
			return Optional.of(position());
		}

	}

	private final class Owner {

		private final long since = GroupSimulation.this.now;

		private final long epoch = GroupSimulation.this.view.ownerEpoch();

		private final ConfirmationTracker<Long> tracker = new ConfirmationTracker<>();

		private final SessionPositions sessions = new SessionPositions(SESSIONS / 2);

		private final MemberPositions positions = new MemberPositions(ReadPolicy.FRESH_REPLICAS);

		private final Map<Long, String> sessionByWrite = new HashMap<>();

		private final List<FailoverEvent> pendingEvents = new ArrayList<>();

		private FailoverDecision decision = FailoverDecision.takeOver(GroupSimulation.this.view,
				GroupSimulation.this.quorum, this.since);

		private GroupView knownView = GroupSimulation.this.view;

		private boolean active = true;

		Owner() {
			this.tracker.members(this.knownView.members().keySet());
			advanceDecision();
			pollAll();
		}

		private void pollAll() {
			if (this.active) {
				GroupSimulation.this.members.values().forEach(this::poll);
				after(50, this::pollAll);
			}
		}

		private void poll(Member member) {
			long sentAt = GroupSimulation.this.now;
			sendRequest(member, () -> {
				MemberStatus status = member.status();
				return () -> statusAnswered(status, sentAt);
			});
		}

		private void sendRequest(Member member, Supplier<Runnable> request) {
			sendMessage(() -> {
				if (member.running && member.reachable) {
					Runnable answer = request.get();
					sendMessage(() -> {
						if (this.active) {
							answer.run();
						}
					});
				}
			});
		}

		private void statusAnswered(MemberStatus status, long sentAt) {
			long time = GroupSimulation.this.now;
			this.pendingEvents.add(new FailoverEvent.StatusAnswered(status, sentAt, time));
			this.positions.statusAnswered(status, sentAt, time, this.knownView);
			this.tracker.positionReported(status.member(), status.position()).forEach(this::acknowledge);
			boolean primary = this.decision.primary()
				.filter((present) -> present.member().equals(status.member()) && present.term() == status.term())
				.isPresent();
			if (primary && status.role() == MemberRole.PRIMARY) {
				this.sessions.raiseFloor(this.sessions.floorKnown() ? LogPosition.NONE : status.position());
			}
		}

		private void advanceDecision() {
			if (!this.active) {
				return;
			}
			long time = GroupSimulation.this.now;
			for (FailoverEvent event : this.pendingEvents) {
				if (event instanceof FailoverEvent.GroupChanged changed
						&& changed.view().version() > this.knownView.version()) {
					this.knownView = changed.view();
				}
			}
			FailoverDecision.Transition transition = this.decision.next(this.pendingEvents, time);
			this.pendingEvents.clear();
			this.decision = transition.decision();
			transition.actions().forEach(this::perform);
			after(20, this::advanceDecision);
		}

		private void perform(FailoverAction action) {
			if (action instanceof FailoverAction.Seal seal) {
				this.tracker.sealTerm(seal.term());
				GroupSimulation.this.members.values().forEach(this::poll);
			}
			else if (action instanceof FailoverAction.Reserve command) {
				sendMessage(() -> {
					boolean accepted = reserve(this.epoch, command);
					sendMessage(() -> this.pendingEvents
						.add(new FailoverEvent.ReserveAnswered(command.newTerm(), accepted)));
				});
			}
			else if (action instanceof FailoverAction.Confirm command) {
				sendMessage(() -> {
					boolean accepted = confirm(this.epoch, command);
					sendMessage(
							() -> this.pendingEvents.add(new FailoverEvent.ConfirmAnswered(command.term(), accepted)));
				});
			}
			else if (action instanceof FailoverAction.Promote command) {
				Member member = GroupSimulation.this.members.get(command.member());
				sendRequest(member, () -> {
					boolean accepted = member.promote(command.term());
					return () -> this.pendingEvents
						.add(new FailoverEvent.PromoteAnswered(command.member(), command.term(), accepted));
				});
			}
			else if (action instanceof FailoverAction.Follow command) {
				sendMessage(() -> {
					Member member = GroupSimulation.this.members.get(command.member());
					if (member.running && member.reachable) {
						member.follow(command.term(), command.primaryAddress());
					}
				});
			}
		}

		void write() {
			Optional<FailoverDecision.Primary> primary = this.decision.primary();
			if (!this.active || primary.isEmpty()) {
				return;
			}
			long write = GroupSimulation.this.nextWrite++;
			String session = "session" + GroupSimulation.this.random.nextInt(SESSIONS);
			Member member = GroupSimulation.this.members.get(primary.get().member());
			sendRequest(member, () -> {
				Optional<LogPosition> position = member.write(write);
				return () -> position.ifPresent((present) -> executed(write, session, member.name, present));
			});
		}

		private void executed(long write, String session, String member, LogPosition position) {
			if (!this.decision.mayAcknowledge(position.term())) {
				return;
			}
			this.sessions.recordWrite(session, position);
			this.sessionByWrite.put(write, session);
			ConfirmationTracker.Pending<Long> pending = this.tracker.register(position,
					GroupSimulation.this.now + 60_000 * MILLISECOND, member, write);
			if (pending.state() == ConfirmationTracker.State.CONFIRMED) {
				acknowledge(pending);
			}
		}

		private void acknowledge(ConfirmationTracker.Pending<Long> pending) {
			GroupSimulation.this.acknowledged.add(pending.work());
			GroupSimulation.this.acknowledgedBySession
				.computeIfAbsent(this.sessionByWrite.get(pending.work()), (session) -> new HashSet<>())
				.add(pending.work());
		}

		void read() {
			if (!this.active) {
				return;
			}
			String session = "session" + GroupSimulation.this.random.nextInt(SESSIONS);
			boolean ignore = GroupSimulation.this.ignoreSessions;
			Optional<LogPosition> required = ignore ? Optional.of(LogPosition.NONE) : this.sessions.required(session);
			LogPosition position = required.orElse(LogPosition.NONE);
			List<String> eligible = this.positions.eligibleForRead(PROFILE, position, required.isPresent(),
					this.knownView, GroupSimulation.this.now, (member) -> 0);
			if (eligible.isEmpty()) {
				return;
			}
			Member member = GroupSimulation.this.members
				.get(eligible.get(GroupSimulation.this.random.nextInt(eligible.size())));
			Set<Long> expected = Set.copyOf(GroupSimulation.this.acknowledgedBySession.getOrDefault(session, Set.of()));
			boolean replica = !member.name.equals(this.knownView.primary());
			sendRequest(member, () -> {
				boolean behind = !member.position().includes(position);
				Set<Long> seen = member.writes();
				return () -> {
					GroupSimulation.this.reads++;
					GroupSimulation.this.replicaReads += replica ? 1 : 0;
					expect(behind || seen.containsAll(expected), "a session did not see its own write");
				};
			});
		}

	}

}
