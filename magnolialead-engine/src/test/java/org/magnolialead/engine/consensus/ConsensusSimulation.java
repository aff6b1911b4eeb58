package org.magnolialead.engine.consensus;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.message.ControlIdentity;
import org.magnolialead.api.message.LogEntry;

/**
 * Simulates control daemons in virtual time on a network that loses, delays, duplicates
 * and reorders messages, while members crash, pause, lose their disks or are partitioned.
 * Checks the safety properties of the log after each event.
 */
final class ConsensusSimulation {

	private static final long MILLISECOND = 1_000_000;

	private static final int SEED_ADDRESSES = 3;

	private static final long SECOND = 1_000 * MILLISECOND;

	private final long seed;

	private final Fault fault;

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));

	private final List<SimulatedMember> members = new ArrayList<>();

	private final Map<String, String> peers = new HashMap<>();

	private final Set<String> blockedLinks = new HashSet<>();

	private final Map<Long, ControlIdentity> leaders = new HashMap<>();

	private final TreeMap<Long, LogEntry> committed = new TreeMap<>();

	/** Term of the leader that committed an entry, by index. */
	private final Map<Long, Long> committedInTerm = new HashMap<>();

	private final Map<Long, Long> stateHashes = new HashMap<>();

	private final List<String> seedAddresses;

	private boolean firstStart;

	private LogBudget logBudget = new LogBudget(Long.MAX_VALUE / 2, 0, Long.MAX_VALUE);

	private FaultTolerance faultTolerance = FaultTolerance.ONE_LOSS;

	private long refusedCommands;

	private double lossRate = 0.02;

	private long time;

	private long sequence;

	private long proposalsPausedUntil;

	private long proposedCommands;

	private int diskLosses;

	ConsensusSimulation(long seed, int size, Fault fault) {
		this.seed = seed;
		this.fault = fault;
		this.random = new Random(seed);
		for (int number = 0; number < size; number++) {
			// Clock speeds differ by up to 8%, within the margin of the authority
			// duration.
			double clockRate = 0.96 + 0.08 * this.random.nextDouble();
			String name = "m" + number;
			this.members.add(new SimulatedMember(this, name, this.random.nextLong(), clockRate));
			this.peers.put(name, name);
		}
		this.seedAddresses = this.members.stream().limit(SEED_ADDRESSES).map(SimulatedMember::name).toList();
	}

	/**
	 * Configures the members without a list of peers, so that they join through seeds.
	 * @return this simulation
	 */
	ConsensusSimulation withOpenMembership() {
		this.peers.clear();
		return this;
	}

	/**
	 * Lets the seeds start the cluster together, in any order within 0.3 s.
	 * @return this simulation
	 */
	ConsensusSimulation withFirstStart() {
		this.firstStart = true;
		return withOpenMembership();
	}

	boolean isFirstStart() {
		return this.firstStart;
	}

	/**
	 * Limits the logs of the members in bytes. A command has 8 bytes.
	 * @param budget the limits
	 * @return this simulation
	 */
	ConsensusSimulation withLogBudget(LogBudget budget) {
		this.logBudget = budget;
		return this;
	}

	/**
	 * Sets how many members lose their disks at once.
	 * @param tolerance number of voters that may be lost at once
	 * @return this simulation
	 */
	ConsensusSimulation withFaultTolerance(FaultTolerance tolerance) {
		this.faultTolerance = tolerance;
		return this;
	}

	FaultTolerance faultTolerance() {
		return this.faultTolerance;
	}

	LogBudget logBudget() {
		return this.logBudget;
	}

	/**
	 * Returns how many commands were refused because the log of the leader was full.
	 * @return the number of commands
	 */
	long refusedCommands() {
		return this.refusedCommands;
	}

	// A follower may hold the log of the leader and, before it, entries that its own next
	// snapshot covers.
	void checkLogSize(long bytes) {
		require(bytes / 2 <= this.logBudget.maximumBytes(), "log of " + bytes + " bytes");
	}

	/**
	 * Returns the addresses to which members send join requests if their settings list no
	 * peers.
	 * @return addresses of the first members
	 */
	List<String> seedAddresses() {
		return this.seedAddresses;
	}

	long time() {
		return this.time;
	}

	Random random() {
		return this.random;
	}

	Fault fault() {
		return this.fault;
	}

	/**
	 * Returns the size of a part of a snapshot. Depending on the seed, a snapshot is sent
	 * in four parts or in one.
	 * @return the size in bytes
	 */
	int snapshotPartBytes() {
		return (this.seed % 2 == 0) ? 30 : 200;
	}

	int diskLosses() {
		return this.diskLosses;
	}

	int elections() {
		return this.leaders.size();
	}

	/**
	 * Runs with failures, then without, and checks that the cluster recovers.
	 * @param seconds simulated time with failures in seconds
	 */
	void run(int seconds) {
		reportingSeed(() -> {
			runWithFailures(seconds);
			recover();
		});
	}

	/**
	 * Runs with failures only.
	 * @param seconds simulated time with failures in seconds
	 */
	void runWithoutRecovery(int seconds) {
		reportingSeed(() -> runWithFailures(seconds));
	}

	/**
	 * Stops a member permanently and returns the voters after 20 s.
	 * @param name name of the member
	 * @return the committed voters
	 */
	Set<String> votersAfterLossOf(String name) {
		if (this.time == 0) {
			start();
			runUntil(10 * SECOND);
		}
		member(name).crash();
		runUntil(this.time + 20 * SECOND);
		return committedVoters();
	}

	/**
	 * Loses a member for good, or cuts it off, while the cluster starts for the first
	 * time, and checks that the others form the only cluster.
	 * @param number number of the member
	 * @param maximumDelay upper bound in nanoseconds of the time of the loss
	 * @param cutOff whether the member goes on without contact to the others
	 */
	void runFirstStartWithLoss(int number, long maximumDelay, boolean cutOff) {
		reportingSeed(() -> {
			start();
			SimulatedMember lost = this.members.get(number);
			schedule(this.random.nextLong(maximumDelay), null, () -> lose(lost, cutOff));
			runUntil(12 * SECOND);
			this.members.remove(lost);
			Set<String> clusters = this.members.stream()
				.map((member) -> member.node().cluster())
				.collect(Collectors.toSet());
			require(clusters.size() == 1, "clusters are " + clusters);
			require(committedVoters().containsAll(identities()),
					"voters are %s without all of %s".formatted(committedVoters(), identities()));
			long lastCommand = this.proposedCommands;
			runUntil(this.time + 5 * SECOND);
			require(lastAppliedCommand() > lastCommand, "no command was committed");
			if (cutOff) {
				this.members.add(lost);
				this.blockedLinks.clear();
				runUntil(this.time + 10 * SECOND);
				require(committedVoters().equals(identities()),
						"voters are %s instead of %s".formatted(committedVoters(), identities()));
			}
		});
	}

	private void lose(SimulatedMember lost, boolean cutOff) {
		if (cutOff) {
			for (SimulatedMember other : this.members) {
				this.blockedLinks.add(lost.name() + ">" + other.name());
				this.blockedLinks.add(other.name() + ">" + lost.name());
			}
		}
		else {
			lost.loseForGood();
		}
	}

	private void start() {
		if (this.firstStart) {
			this.members.forEach((member) -> schedule(this.random.nextLong(300 * MILLISECOND), null,
					() -> member.startUnlessLost(this.peers)));
		}
		else {
			this.members.get(0).bootstrap();
			this.members.forEach((member) -> member.start(this.peers));
		}
		propose();
	}

	private void reportingSeed(Runnable task) {
		try {
			task.run();
		}
		catch (MagnolialeadException | AssertionError ex) {
			throw new AssertionError("seed %d, time %d ms: %s".formatted(this.seed, this.time / MILLISECOND, ex), ex);
		}
		catch (RuntimeException ex) {
			throw new IllegalStateException("seed %d".formatted(this.seed), ex);
		}
	}

	private void runWithFailures(int seconds) {
		start();
		runUntil(5 * SECOND);
		injectFailure(this.time + seconds * SECOND);
		runUntil(this.time + seconds * SECOND);
	}

	void schedule(long delay, SimulatedMember member, Runnable task) {
		this.events.add(new Event(this.time + delay, this.sequence++, member, task));
	}

	void send(SimulatedMember sender, ConsensusAction.Send send) {
		int copies = (this.random.nextInt(50) == 0) ? 2 : 1;
		for (int copy = 0; copy < copies; copy++) {
			boolean delayed = this.random.nextInt(100) == 0;
			long delay = this.random.nextLong(delayed ? 500 * MILLISECOND : 5 * MILLISECOND);
			if (this.random.nextDouble() >= this.lossRate) {
				schedule(delay, null, () -> deliver(sender.name(), send));
			}
		}
	}

	private void deliver(String sender, ConsensusAction.Send send) {
		SimulatedMember recipient = member(send.address());
		if (recipient == null || this.blockedLinks.contains(sender + ">" + recipient.name())
				|| !recipient.isRunning()) {
			return;
		}
		int startCount = recipient.startCount();
		schedule(0, recipient, () -> {
			if (recipient.isRunning() && recipient.startCount() == startCount) {
				recipient.receive(send.message());
			}
		});
	}

	private SimulatedMember member(String address) {
		return this.members.stream().filter((member) -> member.name().equals(address)).findFirst().orElse(null);
	}

	private void runUntil(long end) {
		while (this.events.peek().time() <= end) {
			Event event = this.events.poll();
			this.time = event.time();
			if (event.member() != null && event.member().pausedUntil() > this.time) {
				this.events
					.add(new Event(event.member().pausedUntil(), event.sequence(), event.member(), event.task()));
				continue;
			}
			event.task().run();
			checkAuthority();
		}
		this.time = end;
	}

	private void propose() {
		for (SimulatedMember member : this.members) {
			if (this.proposalsPausedUntil <= this.time && member.isRunning() && member.pausedUntil() <= this.time
					&& member.node().isLeader()) {
				proposeTo(member);
			}
		}
		// Without pauses a member that is partitioned from the leader always lacks
		// entries and cannot be elected, which hides defects in elections.
		boolean pause = this.random.nextInt(50) == 0;
		schedule(this.random.nextLong(pause ? 4 * SECOND : 40 * MILLISECOND), null, this::propose);
	}

	private void proposeTo(SimulatedMember member) {
		byte[] command = ByteBuffer.allocate(Long.BYTES).putLong(++this.proposedCommands).array();
		try {
			member.handle((node) -> node.propose(List.of(command), member.clock()));
		}
		catch (MagnolialeadException ex) {
			if (ex.code() == ErrorCode.OVERLOADED) {
				this.refusedCommands++;
			}
			else if (ex.code() != ErrorCode.NOT_LEADER) {
				throw ex;
			}
		}
	}

	// Failures

	private void injectFailure(long end) {
		if (this.time >= end) {
			return;
		}
		SimulatedMember member = this.members.get(this.random.nextInt(this.members.size()));
		switch (this.random.nextInt(28)) {
			case 0 -> partitionWithRestarts(member);
			case 1, 2, 3, 4, 5, 6, 7, 8, 9 -> crash(member, 50 * MILLISECOND);
			case 10, 11, 12 -> crash(member, 2 * SECOND);
			case 13, 14, 15 -> member.pauseUntil(this.time + this.random.nextLong(2 * SECOND));
			case 16, 17, 18 -> isolate(member);
			case 19, 20, 21, 22, 23, 24 -> partition(member);
			default -> loseDisks(member);
		}
		schedule(this.random.nextLong(600 * MILLISECOND), null, () -> injectFailure(end));
	}

	private void crash(SimulatedMember member, long maximumDowntime) {
		if (member.isRunning()) {
			member.crash();
			schedule(this.random.nextLong(maximumDowntime), null, () -> start(member));
		}
	}

	private void start(SimulatedMember member) {
		if (!member.isRunning()) {
			member.start(this.peers);
		}
	}

	// A cluster of several members must survive as many losses of disks as it tolerates,
	// while the other members crash and are partitioned as usual.
	private void loseDisks(SimulatedMember first) {
		if (this.members.size() == 1 || !first.isRunning() || !identities().equals(committedVoters())) {
			return;
		}
		int firstIndex = this.members.indexOf(first);
		for (int offset = 0; offset < this.faultTolerance.losses(); offset++) {
			SimulatedMember member = this.members.get((firstIndex + offset) % this.members.size());
			this.diskLosses++;
			member.loseDisk();
			schedule(this.random.nextLong(SECOND), null, () -> start(member));
		}
	}

	private Set<String> identities() {
		return this.members.stream().map((member) -> member.identity().incarnation()).collect(Collectors.toSet());
	}

	private Set<String> committedVoters() {
		return this.committed.descendingMap()
			.values()
			.stream()
			.filter((entry) -> entry.kind() == LogEntry.Kind.VOTERS)
			.findFirst()
			.map((entry) -> entry.voters().stream().map(ControlIdentity::incarnation).collect(Collectors.toSet()))
			.orElseGet(this::initialVoters);
	}

	private Set<String> initialVoters() {
		return this.firstStart ? seedAddresses().stream().map(FirstStart::incarnation).collect(Collectors.toSet())
				: Set.of(this.members.get(0).name() + "-1");
	}

	private void isolate(SimulatedMember member) {
		for (SimulatedMember other : this.members) {
			blockLink(member, other);
			blockLink(other, member);
		}
	}

	private void partition(SimulatedMember member) {
		SimulatedMember other = this.members.get(this.random.nextInt(this.members.size()));
		blockLink(member, other);
		if (this.random.nextBoolean()) {
			blockLink(other, member);
		}
	}

	// Two members are partitioned from each other while the others restart repeatedly and
	// no commands are proposed. Only the refusal of votes after a restart then prevents
	// the election of a second leader.
	private void partitionWithRestarts(SimulatedMember member) {
		SimulatedMember other = this.members.get(this.random.nextInt(this.members.size()));
		blockLink(member, other);
		blockLink(other, member);
		this.proposalsPausedUntil = this.time + 3 * SECOND;
		for (SimulatedMember restarted : this.members) {
			for (int count = 1; count <= 20 && restarted != member && restarted != other; count++) {
				long delay = count * 150 * MILLISECOND + this.random.nextLong(50 * MILLISECOND);
				schedule(delay, null, () -> crash(restarted, 20 * MILLISECOND));
			}
		}
	}

	private void blockLink(SimulatedMember sender, SimulatedMember recipient) {
		String link = sender.name() + ">" + recipient.name();
		this.blockedLinks.add(link);
		schedule(this.random.nextLong(4 * SECOND), null, () -> this.blockedLinks.remove(link));
	}

	private void recover() {
		this.blockedLinks.clear();
		this.lossRate = 0;
		this.members.forEach((member) -> member.pauseUntil(0));
		this.members.forEach(this::start);
		runUntil(this.time + 20 * SECOND);
		long lastCommand = this.proposedCommands;
		runUntil(this.time + 10 * SECOND);
		require(lastAppliedCommand() > lastCommand, "no command was committed after the failures ended");
		require(committedVoters().equals(identities()),
				"voters are %s instead of %s".formatted(committedVoters(), identities()));
		for (SimulatedMember member : this.members) {
			require(this.committed.lastKey() - member.node().commitIndex() < 50, "member %s is at %d of %d"
				.formatted(member.name(), member.node().commitIndex(), this.committed.lastKey()));
		}
	}

	private long lastAppliedCommand() {
		return this.committed.values()
			.stream()
			.filter((entry) -> entry.kind() == LogEntry.Kind.COMMAND)
			.mapToLong((entry) -> ByteBuffer.wrap(entry.command()).getLong())
			.max()
			.orElse(0);
	}

	// Checks

	void checkElection(SimulatedMember member, long term) {
		ControlIdentity other = this.leaders.putIfAbsent(term, member.identity());
		require(other == null || other.equals(member.identity()), "term %d has two leaders".formatted(term));
		StoredState state = member.node().storedState();
		for (LogEntry entry : this.committed.tailMap(state.baseIndex(), false).values()) {
			// Delayed votes may elect a member in a term that later terms have
			// superseded. It may lack entries committed by later leaders, and commits
			// none itself.
			if (this.committedInTerm.get(entry.index()) >= term) {
				continue;
			}
			int position = (int) (entry.index() - state.baseIndex() - 1);
			require(position < state.entries().size() && state.entries().get(position).term() == entry.term(),
					"the leader of term %d lacks the committed entry %d".formatted(term, entry.index()));
		}
	}

	/**
	 * Checks an entry that a member applied against all other members.
	 * @param entry the entry
	 * @param term term of the member; the first member that applies an entry is in the
	 * term of the leader that committed it
	 * @param stateHash hash of the state after the entry
	 */
	void checkApplied(LogEntry entry, long term, long stateHash) {
		this.committedInTerm.putIfAbsent(entry.index(), term);
		LogEntry other = this.committed.putIfAbsent(entry.index(), entry);
		require(other == null || other.term() == entry.term(),
				"entry %d was committed in two versions".formatted(entry.index()));
		checkState(entry.index(), stateHash);
	}

	void checkState(long index, long stateHash) {
		Long other = this.stateHashes.putIfAbsent(index, stateHash);
		require(other == null || other == stateHash, "states differ at entry %d".formatted(index));
	}

	private void checkAuthority() {
		List<SimulatedMember> holders = this.members.stream().filter(SimulatedMember::hasAuthority).toList();
		require(holders.size() <= 1, "two members have authority at the same time");
		for (SimulatedMember holder : holders) {
			long commitIndex = holder.node().commitIndex();
			boolean complete = this.committed.tailMap(commitIndex, false)
				.values()
				.stream()
				.allMatch((entry) -> entry.term() >= holder.node().term());
			require(complete, "a leader with authority lacks committed entries of earlier terms");
		}
	}

	static void require(boolean holds, String message) {
		if (!holds) {
			throw new AssertionError(message);
		}
	}

	/**
	 * Faults injected into the driver, which the checks must detect.
	 */
	enum Fault {

		NONE, ANSWERS_BEFORE_SYNC, VOTES_AFTER_RESTART

	}

	private record Event(long time, long sequence, SimulatedMember member, Runnable task) {
	}

}
