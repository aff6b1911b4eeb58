package org.magnolialead.daemon.control;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Outcome;
import org.magnolialead.api.Step;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.message.ConsensusMessage;
import org.magnolialead.api.message.ControlIdentity;
import org.magnolialead.api.message.InitializeAnswer;
import org.magnolialead.api.message.LogEntry;
import org.magnolialead.engine.consensus.ConsensusAction;
import org.magnolialead.engine.consensus.ConsensusNode;
import org.magnolialead.engine.consensus.ConsensusSettings;
import org.magnolialead.engine.consensus.ConsensusSnapshot;
import org.magnolialead.engine.consensus.FirstStart;
import org.magnolialead.engine.consensus.RecoveryBackoff;
import org.magnolialead.engine.consensus.StoredState;
import org.magnolialead.storage.DataFolder;
import org.magnolialead.storage.Disk;
import org.magnolialead.storage.DurableLog;

/**
 * Command log that is replicated by a {@link ConsensusNode} and stored in a
 * {@link DataFolder}. A single thread drives the node, writes the files and calls the
 * state machine. Commands and messages that are queued at the same time share one sync.
 *
 * <p>
 * If a file cannot be written or anything else fails unexpectedly, the log is suspended:
 * it is not the leader, does not vote and acknowledges nothing. It reads its files again
 * until that succeeds and then continues like a restarted member. Meanwhile
 * {@link #failure()} returns the cause.
 */
public final class DefaultCommandLog implements CommandLog, AutoCloseable {

	private static final System.Logger LOGGER = System.getLogger(DefaultCommandLog.class.getName());

	private static final int TICKS_PER_HEARTBEAT = 5;

	private static final int MAXIMUM_BATCH_MESSAGES = 1_000;

	/** Fraction of the maximum size of the log that each queue may use in addition. */
	private static final int QUEUE_SHARE_OF_LOG = 2;

	/**
	 * Maximum size of a command in bytes, half of the largest frame of the peer protocol.
	 */
	private static final int MAXIMUM_COMMAND_BYTES = 512 * 1024;

	private static final long CLOSE_TIMEOUT_SECONDS = 10;

	private final CommandLogSettings settings;

	private final ReplicatedStateMachine stateMachine;

	private final ConsensusTransport transport;

	private final MonotonicClock clock;

	private final RandomGenerator random;

	private final DataFolder folder;

	private final ConsensusSettings consensusSettings;

	/** Decides how the cluster starts, or {@code null} if this member never starts it. */
	private final FirstStart firstStart;

	private final long folderUnusedSince;

	private final ScheduledExecutorService executor;

	private final SnapshotWriter snapshotWriter;

	private final ConsensusMessageQueue messages;

	private final PendingCommands commands;

	private final AtomicBoolean queueHandlingScheduled = new AtomicBoolean();

	private final RecoveryBackoff recoveryBackoff = new RecoveryBackoff();

	private ConsensusNode node;

	private long appliedIndex;

	private volatile CommandLogStatus status;

	private volatile boolean closed;

	private volatile Throwable failure;

	/**
	 * Opens the data folder and restores the state machine from it. Sends no messages
	 * before {@link #start()}.
	 * @param settings the settings
	 * @param stateMachine the replicated state
	 * @param transport sends messages to other control daemons
	 * @param clock clock of this process
	 * @param random source of election timeouts
	 * @param folderUnusedSince monotonic time in nanoseconds since which no other process
	 * has used the data folder
	 * @throws MagnolialeadException of code {@code STORAGE_FAILURE} if the data folder is
	 * in use, corrupted or cannot be accessed
	 */
	public DefaultCommandLog(CommandLogSettings settings, ReplicatedStateMachine stateMachine,
			ConsensusTransport transport, MonotonicClock clock, RandomGenerator random, long folderUnusedSince) {
		this(settings, stateMachine, transport, clock, random, folderUnusedSince,
				settings.observer() ? Disk.VOLATILE : Disk.SYSTEM);
	}

	DefaultCommandLog(CommandLogSettings settings, ReplicatedStateMachine stateMachine, ConsensusTransport transport,
			MonotonicClock clock, RandomGenerator random, long folderUnusedSince, Disk disk) {
		this.settings = Objects.requireNonNull(settings, "settings must not be null");
		this.stateMachine = Objects.requireNonNull(stateMachine, "stateMachine must not be null");
		this.transport = Objects.requireNonNull(transport, "transport must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.random = Objects.requireNonNull(random, "random must not be null");
		long queueBytes = settings.logBudget().maximumBytes() / QUEUE_SHARE_OF_LOG;
		this.messages = new ConsensusMessageQueue(queueBytes);
		this.commands = new PendingCommands(queueBytes);
		this.firstStart = settings.firstStart() ? new FirstStart(settings.seeds(), settings.peerAddress()) : null;
		this.folderUnusedSince = folderUnusedSince;
		String newIncarnation = settings.firstStart() ? FirstStart.incarnation(settings.peerAddress())
				: UUID.randomUUID().toString();
		this.folder = new DataFolder(settings.dataFolder(), disk, newIncarnation);
		ControlIdentity self = settings.observer()
				? new ControlIdentity(settings.name(), this.folder.incarnation(), settings.peerAddress(), true)
				: FirstStart.identity(settings.name(), this.folder.incarnation(), settings.peerAddress());
		this.consensusSettings = ConsensusSettings.of(self, settings.peers(), settings.heartbeatInterval().toNanos(),
				settings.minimumElectionTimeout().toNanos(), settings.maximumElectionTimeout().toNanos(),
				settings.seeds(), settings.logBudget(), settings.faultTolerance());
		this.snapshotWriter = new SnapshotWriter(settings.name(), this.folder, clock);
		createNode(this.folder.storedState(), folderUnusedSince);
		this.executor = Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread thread = new Thread(task, "control-log-" + settings.name());
			thread.setDaemon(true);
			return thread;
		});
	}

	/**
	 * Starts participating in the replication.
	 */
	public void start() {
		long interval = this.consensusSettings.heartbeatInterval() / TICKS_PER_HEARTBEAT;
		this.executor.scheduleAtFixedRate(suspendingOnFailure(this::tick), 0, interval, TimeUnit.NANOSECONDS);
	}

	/**
	 * Starts a new cluster with this member as its only voter. The other configured
	 * control daemons are added once they answer.
	 * @return whether the cluster was started; rejected if the data folder already
	 * belongs to a cluster or the log is suspended or closed
	 * @throws MagnolialeadException of code {@code STORAGE_FAILURE} if the data folder
	 * cannot be written
	 */
	public InitializeAnswer initialize() {
		try {
			return CompletableFuture.supplyAsync(this::startCluster, this.executor).join();
		}
		catch (RejectedExecutionException ex) {
			return notRunning();
		}
		catch (CompletionException ex) {
			throw (ex.getCause() instanceof MagnolialeadException cause) ? cause : ex;
		}
	}

	/**
	 * Handles a message of another control daemon without blocking. If the queue is full,
	 * the message is dropped, which the replication tolerates.
	 * @param message the message
	 */
	public void receive(ConsensusMessage message) {
		if (isRunning() && this.messages.offer(message)) {
			scheduleQueueHandling();
		}
	}

	@Override
	public CompletableFuture<CommandResult> submit(ControlCommand command) {
		if (!isRunning() || !this.status.leader()) {
			return CompletableFuture.failedFuture(notLeader());
		}
		byte[] encoded = CommandCodec.encode(command);
		if (encoded.length > MAXIMUM_COMMAND_BYTES) {
			return CompletableFuture.failedFuture(new MagnolialeadException(ErrorCode.REQUEST_TOO_LARGE, Step.CONTROL,
					"", "command of %d bytes exceeds the limit of %d bytes".formatted(encoded.length,
							MAXIMUM_COMMAND_BYTES)));
		}
		CompletableFuture<CommandResult> result = this.commands.offer(encoded);
		scheduleQueueHandling();
		if (!isRunning()) {
			this.commands.rejectWaiting(notLeader());
		}
		return result;
	}

	@Override
	public boolean hasAuthority() {
		return this.status.hasAuthority(this.clock.nanoseconds());
	}

	@Override
	public long leaderSince() {
		return this.status.leaderSince();
	}

	@Override
	public Optional<String> leaderAddress() {
		return this.status.leaderAddress();
	}

	@Override
	public long term() {
		return this.status.term();
	}

	@Override
	public long commitIndex() {
		return this.status.commitIndex();
	}

	@Override
	public long appliedIndex() {
		return this.status.appliedIndex();
	}

	@Override
	public List<String> voters() {
		return voterIdentities().stream().map(ControlIdentity::name).toList();
	}

	/**
	 * Returns the voting members with their incarnations.
	 * @return the voters
	 */
	public List<ControlIdentity> voterIdentities() {
		return this.status.voters();
	}

	@Override
	public List<String> voterAddresses() {
		if (!this.consensusSettings.hasOpenMembership()) {
			return List.of();
		}
		return voterIdentities().stream().map(ControlIdentity::address).toList();
	}

	/**
	 * Returns the identity of this member.
	 * @return the identity
	 */
	public ControlIdentity identity() {
		return this.consensusSettings.self();
	}

	/**
	 * Returns the identifier of the cluster.
	 * @return the identifier, or an empty string if this member belongs to no cluster
	 */
	public String cluster() {
		return this.status.cluster();
	}

	/**
	 * Returns the size of the commands in the log.
	 * @return the size in bytes
	 */
	public long logBytes() {
		return this.status.logBytes();
	}

	/**
	 * Returns the error that suspended the log.
	 * @return the error, or empty if the log is not suspended
	 */
	public Optional<Throwable> failure() {
		return Optional.ofNullable(this.failure);
	}

	/**
	 * Stops the log and closes the data folder. The outcome of commands in progress is
	 * unknown.
	 */
	@Override
	public void close() {
		this.closed = true;
		this.executor.shutdown();
		this.snapshotWriter.shutDown();
		try {
			boolean terminated = this.executor.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
					&& this.snapshotWriter.awaitEnd(CLOSE_TIMEOUT_SECONDS);
			if (!terminated) {
				throw new MagnolialeadException(ErrorCode.STORAGE_FAILURE, Step.STORAGE, "",
						"the control log did not stop within %d s".formatted(CLOSE_TIMEOUT_SECONDS));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		failUnfinishedCommands();
		this.folder.close();
	}

	private boolean isRunning() {
		return !this.closed && this.failure == null;
	}

	// Entries that were applied before a failure are not applied again, so that the state
	// that this process has shown never goes back.
	private void createNode(StoredState stored, long lastPossibleLeaderContact) {
		ConsensusSnapshot snapshot = stored.snapshot();
		if (snapshot != null && snapshot.lastIndex() > this.appliedIndex) {
			this.stateMachine.restore(snapshot.data());
			this.appliedIndex = snapshot.lastIndex();
		}
		long now = this.clock.nanoseconds();
		this.node = new ConsensusNode(this.consensusSettings, stored, this.appliedIndex, lastPossibleLeaderContact, now,
				this.random);
		publishStatus();
	}

	private InitializeAnswer notRunning() {
		return new InitializeAnswer(false, "the control log of " + this.settings.name() + " is suspended or closed");
	}

	private InitializeAnswer startCluster() {
		if (!isRunning()) {
			return notRunning();
		}
		if (!this.node.cluster().isEmpty()) {
			return new InitializeAnswer(false, "the data folder of %s already belongs to cluster %s"
				.formatted(this.settings.name(), this.node.cluster()));
		}
		StoredState state = StoredState.bootstrap(UUID.randomUUID().toString(), this.consensusSettings.self(),
				this.stateMachine.snapshot().get());
		this.folder.startCluster(state);
		createNode(state, this.clock.nanoseconds());
		return new InitializeAnswer(true, "");
	}

	private void scheduleQueueHandling() {
		if (this.queueHandlingScheduled.compareAndSet(false, true)) {
			try {
				this.executor.execute(suspendingOnFailure(this::handleQueues));
			}
			catch (RejectedExecutionException ex) {
				this.commands.rejectWaiting(notLeader());
			}
		}
	}

	private Runnable suspendingOnFailure(Runnable task) {
		return () -> {
			if (this.closed) {
				return;
			}
			try {
				task.run();
			}
			catch (Throwable ex) {
				suspend(ex);
			}
		};
	}

	private void tick() {
		if (isRunning()) {
			startClusterIfDecided();
			perform(this.node.tick(this.clock.nanoseconds()));
			finishBatch();
		}
		else if (this.recoveryBackoff.permits(this.clock.nanoseconds())) {
			recover();
		}
	}

	private void handleQueues() {
		this.queueHandlingScheduled.set(false);
		if (!isRunning()) {
			this.messages.clear();
			this.commands.rejectWaiting(notLeader());
			return;
		}
		handleMessages();
		proposeWaiting();
		finishBatch();
		if (!this.messages.isEmpty() || !this.commands.isEmpty()) {
			scheduleQueueHandling();
		}
	}

	private void handleMessages() {
		for (int count = 0; count < MAXIMUM_BATCH_MESSAGES; count++) {
			ConsensusMessage message = this.messages.poll();
			if (message == null) {
				return;
			}
			perform(this.node.receive(message, this.clock.nanoseconds()));
			if (this.firstStart != null) {
				this.firstStart.received(message);
			}
		}
	}

	// A member without a cluster has answered neither a leader nor a candidate, so it may
	// vote as soon as a restarted one.
	private void startClusterIfDecided() {
		if (this.firstStart != null && this.node.cluster().isEmpty()) {
			this.firstStart.initialState(this.stateMachine.snapshot().get()).ifPresent((state) -> {
				this.folder.startCluster(state);
				createNode(state, this.folderUnusedSince);
			});
		}
	}

	private void proposeWaiting() {
		List<PendingCommands.Proposal> batch = this.commands.takeBatch();
		if (batch.isEmpty()) {
			return;
		}
		long firstIndex = this.node.lastIndex() + 1;
		List<ConsensusAction> actions;
		try {
			actions = this.node.propose(batch.stream().map(PendingCommands.Proposal::command).toList(),
					this.clock.nanoseconds());
		}
		catch (MagnolialeadException ex) {
			if (ex.code().outcome() != Outcome.NOT_RUN) {
				throw ex;
			}
			this.commands.reject(batch, ex);
			return;
		}
		this.commands.proposed(firstIndex, batch);
		perform(actions);
	}

	private void finishBatch() {
		if (this.folder.log().hasUnsyncedEntries()) {
			this.folder.log().sync();
			persisted();
		}
		if (this.node.isSnapshotDue(this.settings.snapshotThreshold()) && this.snapshotWriter.mayStart()) {
			this.snapshotWriter.start(this.node.snapshotPosition(), this.stateMachine.snapshot(), this.executor,
					(snapshot) -> suspendingOnFailure(() -> install(snapshot)).run());
		}
		publishStatus();
		this.commands.runCompletions();
	}

	private void persisted() {
		perform(this.node.persisted(this.node.lastIndex(), this.node.lastTerm(), this.clock.nanoseconds()));
	}

	// The log is compacted only after the snapshot is synced. If the leader has sent a
	// later snapshot in the meantime, that one is kept.
	private void install(ConsensusSnapshot snapshot) {
		if (!isRunning()) {
			return;
		}
		if (this.node.compact(snapshot, this.settings.snapshotThreshold() / 2)) {
			this.folder.installPreparedSnapshot(storedEntries());
			persisted();
		}
		finishBatch();
	}

	private DurableLog.Content storedEntries() {
		StoredState state = this.node.storedState();
		return new DurableLog.Content(state.baseIndex(), state.baseTerm(), state.entries());
	}

	private void perform(List<ConsensusAction> actions) {
		for (ConsensusAction action : actions) {
			perform(action);
		}
	}

	private void perform(ConsensusAction action) {
		if (action instanceof ConsensusAction.Send send) {
			this.transport.send(send.address(), send.message());
		}
		else if (action instanceof ConsensusAction.AppendEntries append) {
			this.folder.log().append(append.entries());
		}
		else if (action instanceof ConsensusAction.ApplyEntries apply) {
			apply.entries().forEach(this::apply);
		}
		else if (action instanceof ConsensusAction.SaveVote save) {
			this.folder.saveVote(save.vote());
		}
		else if (action instanceof ConsensusAction.JoinCluster join) {
			this.folder.saveCluster(join.cluster());
			LogEvent.CONTROL_JOINED.log(LOGGER, this.settings.name(), join.cluster());
		}
		else if (action instanceof ConsensusAction.InstallSnapshot install) {
			this.folder.saveSnapshot(install.snapshot(), storedEntries());
			this.stateMachine.restore(install.snapshot().data());
			this.appliedIndex = install.snapshot().lastIndex();
		}
		else if (action instanceof ConsensusAction.BecomeLeader leader) {
			LogEvent.CONTROL_LEADER.log(LOGGER, this.settings.name(), Long.toString(leader.term()));
		}
		else if (action instanceof ConsensusAction.StepDown stepDown) {
			stepDown(stepDown.term());
		}
	}

	// The status is published immediately because the next action may be a vote for
	// another leader.
	private void stepDown(long term) {
		publishStatus();
		this.commands.failProposed();
		LogEvent.CONTROL_FOLLOWER.log(LOGGER, this.settings.name(), Long.toString(term));
	}

	private void apply(LogEntry entry) {
		if (entry.kind() == LogEntry.Kind.COMMAND) {
			CommandResult result = this.stateMachine.apply(CommandCodec.decode(entry.command()));
			this.commands.applied(entry.index(), result);
		}
		this.appliedIndex = entry.index();
	}

	private void publishStatus() {
		this.status = CommandLogStatus.of(this.node, this.appliedIndex, this.clock.nanoseconds());
	}

	private void suspend(Throwable cause) {
		this.failure = cause;
		LogEvent.CONTROL_LOG_SUSPENDED.log(LOGGER, cause, this.settings.name());
		this.recoveryBackoff.failed(this.clock.nanoseconds());
		this.messages.clear();
		failUnfinishedCommands();
	}

	private void recover() {
		try {
			this.folder.recover();
			// A leader may rely on an answer that this member sent just before it failed.
			createNode(this.folder.storedState(), this.clock.nanoseconds());
			this.failure = null;
			LogEvent.CONTROL_LOG_RESUMED.log(LOGGER, this.settings.name(), Long.toString(this.node.lastIndex()));
		}
		catch (MagnolialeadException ex) {
			LogEvent.CONTROL_LOG_RECOVERY_FAILED.log(LOGGER, this.settings.name(), ex.getMessage());
			this.recoveryBackoff.failed(this.clock.nanoseconds());
		}
	}

	private void failUnfinishedCommands() {
		this.status = this.status.inactive();
		this.commands.failProposed();
		this.commands.runCompletions();
		this.commands.rejectWaiting(notLeader());
	}

	private MagnolialeadException notLeader() {
		return new MagnolialeadException(ErrorCode.NOT_LEADER, Step.CONTROL, this.status.leaderAddress().orElse(""),
				"this control daemon is not the leader");
	}

}
