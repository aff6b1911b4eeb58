package org.magnolialead.engine.consensus;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.magnolialead.api.message.ConsensusMessage;
import org.magnolialead.api.message.ControlIdentity;
import org.magnolialead.api.message.LogEntry;

/**
 * Control daemon in a {@link ConsensusSimulation} with its own clock and disk. Its state
 * is a hash of all applied commands.
 */
final class SimulatedMember {

	private static final long MILLISECOND = 1_000_000;

	private static final int SNAPSHOT_ENTRIES = 40;

	private static final int RETAINED_ENTRIES = 10;

	private static final int SNAPSHOT_BYTES = 100;

	private final ConsensusSimulation simulation;

	private final String name;

	private final long clockOffset;

	private final double clockRate;

	private SimulatedDisk disk = new SimulatedDisk();

	private int incarnation = 1;

	private int startCount;

	private ConsensusNode node;

	private ConsensusSettings settings;

	private FirstStart firstStart;

	private long stateHash;

	private boolean syncing;

	private boolean snapshotInProgress;

	private long pausedUntil;

	private long crashedAt;

	private boolean lost;

	SimulatedMember(ConsensusSimulation simulation, String name, long clockOffset, double clockRate) {
		this.simulation = simulation;
		this.name = name;
		this.clockOffset = clockOffset;
		this.clockRate = clockRate;
		// Not later than the present time of a clock that starts below zero.
		this.crashedAt = clockOffset;
	}

	String name() {
		return this.name;
	}

	int startCount() {
		return this.startCount;
	}

	ConsensusNode node() {
		return this.node;
	}

	boolean isRunning() {
		return this.node != null;
	}

	long pausedUntil() {
		return this.pausedUntil;
	}

	void pauseUntil(long time) {
		this.pausedUntil = time;
	}

	ControlIdentity identity() {
		boolean startsCluster = this.simulation.isFirstStart() && this.incarnation == 1
				&& this.simulation.seedAddresses().contains(this.name);
		String text = startsCluster ? FirstStart.incarnation(this.name) : this.name + "-" + this.incarnation;
		return FirstStart.identity(this.name, text, this.name);
	}

	long clock() {
		return this.clockOffset + (long) (this.simulation.time() * this.clockRate);
	}

	boolean hasAuthority() {
		return isRunning() && this.node.authorityDeadline(clock()).stream().anyMatch((end) -> clock() - end < 0);
	}

	void bootstrap() {
		this.disk.replace(StoredState.bootstrap("cluster", identity(), encodeState()));
	}

	void start(Map<String, String> peers) {
		this.startCount++;
		this.syncing = false;
		this.snapshotInProgress = false;
		this.settings = new ConsensusSettings(identity(), peers, 100 * MILLISECOND, 500 * MILLISECOND,
				1_000 * MILLISECOND, 5, 64, 4, this.simulation.snapshotPartBytes(), this.simulation.seedAddresses(),
				this.simulation.logBudget(), this.simulation.faultTolerance());
		StoredState stored = this.disk.synced();
		this.stateHash = (stored.snapshot() != null) ? decodeState(stored.snapshot().data()) : 0;
		long lastPossibleLeaderContact = this.crashedAt;
		if (this.simulation.fault() == ConsensusSimulation.Fault.VOTES_AFTER_RESTART) {
			lastPossibleLeaderContact -= this.settings.minimumElectionTimeout();
		}
		this.firstStart = identity().incarnation().equals(FirstStart.incarnation(this.name))
				? new FirstStart(this.simulation.seedAddresses(), this.name) : null;
		this.node = new ConsensusNode(this.settings, stored, lastPossibleLeaderContact, clock(),
				this.simulation.random());
		tick(this.startCount);
	}

	void receive(ConsensusMessage message) {
		handle((running) -> running.receive(message, clock()));
		if (this.firstStart != null) {
			this.firstStart.received(message);
		}
	}

	private void startClusterIfDecided() {
		if (this.firstStart != null && this.node.cluster().isEmpty()) {
			this.firstStart.initialState(encodeState()).ifPresent((state) -> {
				this.disk.replace(state);
				this.node = new ConsensusNode(this.settings, state, this.crashedAt, clock(), this.simulation.random());
			});
		}
	}

	/**
	 * Stops the member without syncing. A random number of the unsynced batches is
	 * nevertheless on the disk.
	 */
	void crash() {
		this.node = null;
		this.crashedAt = clock();
		this.disk.sync(this.simulation.random().nextInt(this.disk.unsyncedBatches() + 1));
		this.disk.loseUnsynced();
		this.pausedUntil = 0;
	}

	void loseForGood() {
		crash();
		this.lost = true;
	}

	void startUnlessLost(Map<String, String> peers) {
		if (!this.lost) {
			start(peers);
		}
	}

	void loseDisk() {
		crash();
		this.disk = new SimulatedDisk();
		this.incarnation++;
	}

	private void tick(int expectedStartCount) {
		if (this.startCount == expectedStartCount && isRunning()) {
			startClusterIfDecided();
			handle((running) -> running.tick(clock()));
			this.simulation.schedule(20 * MILLISECOND, this, () -> tick(expectedStartCount));
		}
	}

	void handle(Function<ConsensusNode, List<ConsensusAction>> input) {
		input.apply(this.node).forEach(this::execute);
		this.simulation.checkLogSize(this.node.logBytes());
		if (this.node.isSnapshotDue(SNAPSHOT_ENTRIES) && !this.snapshotInProgress) {
			startSnapshot();
		}
		if (this.disk.unsyncedBatches() > 0 && !this.syncing) {
			startSync();
		}
	}

	// Entries may be applied and a snapshot of the leader may be installed during
	// encoding.
	private void startSnapshot() {
		this.snapshotInProgress = true;
		int expectedStartCount = this.startCount;
		ConsensusSnapshot snapshot = this.node.snapshotPosition().with(encodeState());
		long duration = this.simulation.random().nextLong(300 * MILLISECOND);
		this.simulation.schedule(duration, this, () -> finishSnapshot(expectedStartCount, snapshot));
	}

	private void finishSnapshot(int expectedStartCount, ConsensusSnapshot snapshot) {
		if (this.startCount != expectedStartCount || !isRunning()) {
			return;
		}
		if (this.syncing) {
			this.simulation.schedule(MILLISECOND, this, () -> finishSnapshot(expectedStartCount, snapshot));
			return;
		}
		this.snapshotInProgress = false;
		if (this.node.compact(snapshot, RETAINED_ENTRIES)) {
			this.disk.replace(this.node.storedState());
			persisted();
		}
	}

	private void startSync() {
		this.syncing = true;
		int expectedStartCount = this.startCount;
		int batches = this.disk.unsyncedBatches();
		boolean faulty = this.simulation.fault() == ConsensusSimulation.Fault.ANSWERS_BEFORE_SYNC;
		long duration = faulty ? 300 * MILLISECOND : this.simulation.random().nextLong(5 * MILLISECOND);
		this.simulation.schedule(duration, this, () -> finishSync(expectedStartCount, batches));
		if (faulty) {
			handle((running) -> running.persisted(running.lastIndex(), running.lastTerm(), clock()));
		}
	}

	private void finishSync(int expectedStartCount, int batches) {
		if (this.startCount == expectedStartCount && isRunning() && this.syncing) {
			this.disk.sync(batches);
			this.syncing = false;
			persisted();
		}
	}

	private void persisted() {
		handle((running) -> running.persisted(this.disk.lastIndex(), this.disk.lastTerm(), clock()));
	}

	private void execute(ConsensusAction action) {
		if (action instanceof ConsensusAction.Send send) {
			this.simulation.send(this, send);
		}
		else if (action instanceof ConsensusAction.AppendEntries append) {
			this.disk.append(append.entries());
		}
		else if (action instanceof ConsensusAction.SaveVote save) {
			this.disk.saveVote(save.vote());
		}
		else if (action instanceof ConsensusAction.JoinCluster join) {
			this.disk.joinCluster(join.cluster());
		}
		else if (action instanceof ConsensusAction.ApplyEntries apply) {
			apply.entries().forEach(this::apply);
		}
		else if (action instanceof ConsensusAction.InstallSnapshot install) {
			this.disk.replace(this.node.storedState());
			this.syncing = false;
			this.stateHash = decodeState(install.snapshot().data());
			this.simulation.checkState(install.snapshot().lastIndex(), this.stateHash);
		}
		else if (action instanceof ConsensusAction.BecomeLeader leader) {
			this.simulation.checkElection(this, leader.term());
		}
	}

	private void apply(LogEntry entry) {
		if (entry.kind() == LogEntry.Kind.COMMAND) {
			this.stateHash = 31 * this.stateHash + ByteBuffer.wrap(entry.command()).getLong();
		}
		this.simulation.checkApplied(entry, this.node.term(), this.stateHash);
	}

	private byte[] encodeState() {
		return ByteBuffer.allocate(SNAPSHOT_BYTES).putLong(this.stateHash).array();
	}

	private static long decodeState(byte[] snapshot) {
		return ByteBuffer.wrap(snapshot).getLong();
	}

}
