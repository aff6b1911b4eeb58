package org.magnolialead.daemon.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.message.ConsensusMessage;
import org.magnolialead.api.message.ControlIdentity;
import org.magnolialead.engine.consensus.FaultTolerance;
import org.magnolialead.engine.consensus.LogBudget;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Cluster of control daemons in one process with real files, three unless stated.
 * Messages are encoded and decoded as on the wire.
 */
final class CommandLogCluster implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

	private static final Set<ErrorCode> RETRIABLE = Set.of(ErrorCode.NOT_LEADER, ErrorCode.COMMAND_UNKNOWN,
			ErrorCode.OVERLOADED);

	private static final long POLL_INTERVAL_MILLISECONDS = 5;

	private static final List<String> SEEDS = List.of("a:1", "b:1", "c:1");

	/** Time within which a command of a cluster without a majority must fail. */
	static final Duration TIMEOUT = Duration.ofSeconds(30);

	private final Path folder;

	private final int snapshotThreshold;

	private final LogBudget logBudget;

	private final Map<String, String> addresses = new LinkedHashMap<>();

	/** Fault tolerance of a cluster whose members join through seeds. */
	private final Optional<FaultTolerance> joining;

	private final List<String> observers;

	/** Whether seeds without a cluster start one together. */
	private volatile boolean firstStart;

	private final Map<String, DefaultCommandLog> logs = new ConcurrentHashMap<>();

	private final Map<String, NumberStateMachine> states = new ConcurrentHashMap<>();

	private final Map<String, FailingDisk> disks = new ConcurrentHashMap<>();

	private final CountDownLatch encodingReleased = new CountDownLatch(1);

	private volatile boolean encodingBlocked;

	private int startCount;

	CommandLogCluster(Path folder, int snapshotThreshold) {
		this(folder, snapshotThreshold, LogBudget.of(CommandLogSettings.DEFAULT_DISK_BYTES, Integer.MAX_VALUE));
	}

	CommandLogCluster(Path folder, int snapshotThreshold, LogBudget logBudget) {
		this(folder, snapshotThreshold, logBudget, Optional.empty(), List.of("a", "b", "c"), List.of());
		startAll();
	}

	/**
	 * Creates a cluster whose members find each other through seeds.
	 * @param folder folder for the data folders
	 * @param snapshotThreshold number of entries between snapshots
	 * @param tolerance number of voters that may be lost at once
	 * @param voters names of the members with durable folders, one letter each
	 * @param observers names of the members that do not vote, one letter each
	 */
	CommandLogCluster(Path folder, int snapshotThreshold, FaultTolerance tolerance, List<String> voters,
			List<String> observers) {
		this(folder, snapshotThreshold, LogBudget.of(CommandLogSettings.DEFAULT_DISK_BYTES, Integer.MAX_VALUE),
				Optional.of(tolerance), voters, observers);
		startAll();
	}

	private CommandLogCluster(Path folder, int snapshotThreshold, LogBudget logBudget, Optional<FaultTolerance> joining,
			List<String> voters, List<String> observers) {
		this.folder = folder;
		this.logBudget = logBudget;
		this.snapshotThreshold = snapshotThreshold;
		this.joining = joining;
		this.observers = List.copyOf(observers);
		voters.forEach((name) -> this.addresses.put(name, name + ":1"));
		observers.forEach((name) -> this.addresses.put(name, name + ":1"));
	}

	/**
	 * Starts a fleet for the first time, whose seeds are the members a, b and c.
	 * @param folder folder for the data folders
	 * @param voters names of the members with durable folders, one letter each
	 * @param observers names of the members that do not vote, one letter each
	 * @return the cluster
	 */
	static CommandLogCluster startingTogether(Path folder, List<String> voters, List<String> observers) {
		CommandLogCluster cluster = new CommandLogCluster(folder, CommandLogSettings.DEFAULT_SNAPSHOT_THRESHOLD,
				LogBudget.of(CommandLogSettings.DEFAULT_DISK_BYTES, Integer.MAX_VALUE),
				Optional.of(FaultTolerance.ONE_LOSS), voters, observers);
		cluster.firstStart = true;
		return cluster.startAll();
	}

	/**
	 * Ends the first start: members that start later join the cluster.
	 */
	void endFirstStart() {
		this.firstStart = false;
	}

	private CommandLogCluster startAll() {
		this.addresses.keySet().forEach(this::start);
		return this;
	}

	void start(String name) {
		String address = this.addresses.get(name);
		boolean startsCluster = this.firstStart && SEEDS.contains(address) && !this.observers.contains(name);
		CommandLogSettings settings = new CommandLogSettings(name, address, this.folder.resolve(name),
				this.joining.isPresent() ? Map.of() : this.addresses, Duration.ofMillis(50), Duration.ofMillis(250),
				Duration.ofMillis(500), this.snapshotThreshold, this.joining.isPresent() ? SEEDS : List.of(),
				this.logBudget, this.joining.orElse(FaultTolerance.ONE_LOSS), this.observers.contains(name),
				startsCluster);
		NumberStateMachine state = new NumberStateMachine(this::awaitEncoding);
		DefaultCommandLog log = new DefaultCommandLog(settings, state, this::send, MonotonicClock.SYSTEM,
				new Random(++this.startCount), System.nanoTime(), disk(name));
		this.states.put(name, state);
		this.logs.put(name, log);
		log.start();
	}

	void startAnother(String name) {
		this.addresses.put(name, name + ":1");
		start(name);
	}

	void stop(String name) {
		this.logs.remove(name).close();
	}

	void deleteDataFolder(String name) {
		try (Stream<Path> files = Files.walk(this.folder.resolve(name))) {
			for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(path);
			}
		}
		catch (IOException ex) {
			throw new IllegalStateException("folder of " + name + " cannot be removed", ex);
		}
	}

	FailingDisk disk(String name) {
		return this.disks.computeIfAbsent(name, (absent) -> new FailingDisk());
	}

	static ControlCommand command(long number) {
		return new ControlCommand.ForgetRequests(number);
	}

	DefaultCommandLog log(String name) {
		return this.logs.get(name);
	}

	List<Long> state(String name) {
		return this.states.get(name).copy();
	}

	/**
	 * Starts a cluster at the first member and waits until all members are voters.
	 */
	void initialize() {
		if (!log("a").initialize().accepted()) {
			throw new AssertionError("the cluster was not started");
		}
		await(() -> hasCurrentVoters());
	}

	/**
	 * Returns whether the voters are the running members with their current incarnations,
	 * without observers.
	 * @return {@code true} if all members know such voters
	 */
	boolean hasCurrentVoters() {
		return this.logs.values()
			.stream()
			.allMatch((log) -> Set.copyOf(log.voterIdentities()).equals(identitiesOfVoters()));
	}

	private Set<ControlIdentity> identitiesOfVoters() {
		return this.logs.values()
			.stream()
			.map(DefaultCommandLog::identity)
			.filter((identity) -> !identity.observer())
			.collect(Collectors.toSet());
	}

	String leader() {
		await(() -> this.logs.values().stream().anyMatch(DefaultCommandLog::hasAuthority));
		return this.logs.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().hasAuthority())
			.map(Map.Entry::getKey)
			.findFirst()
			.orElseGet(this::leader);
	}

	String follower() {
		String leader = leader();
		return this.logs.keySet().stream().filter((name) -> !name.equals(leader)).findFirst().orElseThrow();
	}

	/**
	 * Submits a command until it is known to be committed. A command that is applied more
	 * than once adds its number only once.
	 * @param number the number to add
	 */
	void add(long number) {
		add(command(number));
	}

	/**
	 * Submits a command until it is known to be committed. It is refused while the log is
	 * full.
	 * @param command the command
	 */
	void add(ControlCommand command) {
		while (true) {
			try {
				log(leader()).submit(command).join();
				return;
			}
			catch (CompletionException ex) {
				if (!(ex.getCause() instanceof MagnolialeadException cause) || !RETRIABLE.contains(cause.code())) {
					throw ex;
				}
			}
		}
	}

	void awaitState(List<Long> expected) {
		this.logs.keySet().forEach((name) -> await(() -> state(name).equals(expected)));
	}

	/**
	 * Blocks the encoding of snapshots until {@link #releaseEncoding()}.
	 */
	void blockEncoding() {
		this.encodingBlocked = true;
	}

	void releaseEncoding() {
		this.encodingBlocked = false;
		this.encodingReleased.countDown();
	}

	private void awaitEncoding() {
		try {
			while (this.encodingBlocked && !this.encodingReleased.await(1, TimeUnit.SECONDS)) {
				continue;
			}
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException("interrupted", ex);
		}
	}

	/**
	 * Waits until a member has noticed that its disk fails.
	 * @param name name of the member
	 */
	void awaitFailure(String name) {
		poll(() -> log(name).failure().isPresent());
	}

	/**
	 * Waits until a member whose disk has failed takes part again.
	 * @param name name of the member
	 */
	void awaitRecovery(String name) {
		poll(() -> log(name).failure().isEmpty() && log(name).leaderAddress().isPresent());
	}

	/**
	 * Waits without a timeout; fails if the log of a member fails whose disk works.
	 * @param condition the condition to wait for
	 */
	void await(BooleanSupplier condition) {
		poll(() -> {
			this.logs.forEach(
					(name, log) -> log.failure().filter((failure) -> !disk(name).hasFailed()).ifPresent((failure) -> {
						throw new AssertionError("member " + name + " stopped", failure);
					}));
			return condition.getAsBoolean();
		});
	}

	private static void poll(BooleanSupplier condition) {
		while (!condition.getAsBoolean()) {
			try {
				Thread.sleep(POLL_INTERVAL_MILLISECONDS);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException("interrupted", ex);
			}
		}
	}

	@Override
	public void close() {
		this.logs.values().forEach(DefaultCommandLog::close);
	}

	private void send(String address, ConsensusMessage message) {
		DefaultCommandLog recipient = this.logs.get(address.substring(0, 1));
		if (recipient == null) {
			return;
		}
		try {
			byte[] frame = MAPPER.writerFor(ConsensusMessage.class).writeValueAsBytes(message);
			recipient.receive(MAPPER.readValue(frame, ConsensusMessage.class));
		}
		catch (IOException ex) {
			throw new IllegalStateException("message cannot be encoded", ex);
		}
	}

	/**
	 * State machine that stores each number once, in log order.
	 */
	private static final class NumberStateMachine implements ReplicatedStateMachine {

		private final List<Long> numbers = new ArrayList<>();

		private final Runnable beforeEncoding;

		private volatile Thread applyingThread;

		NumberStateMachine(Runnable beforeEncoding) {
			this.beforeEncoding = beforeEncoding;
		}

		@Override
		public synchronized CommandResult apply(ControlCommand command) {
			this.applyingThread = Thread.currentThread();
			long number = (command instanceof ControlCommand.ReplaceRoutes routes) ? routes.table().number()
					: ((ControlCommand.ForgetRequests) command).wallClockTime();
			if (number > 0 && !this.numbers.contains(number)) {
				this.numbers.add(number);
			}
			return CommandResult.accepted(number);
		}

		@Override
		public Supplier<byte[]> snapshot() {
			List<Long> taken = copy();
			return () -> encode(taken);
		}

		private byte[] encode(List<Long> taken) {
			if (Thread.currentThread() == this.applyingThread) {
				throw new IllegalStateException("the snapshot is encoded on the thread that applies commands");
			}
			this.beforeEncoding.run();
			ByteBuffer buffer = ByteBuffer.allocate(taken.size() * Long.BYTES);
			taken.forEach(buffer::putLong);
			return buffer.array();
		}

		@Override
		public synchronized void restore(byte[] snapshot) {
			this.numbers.clear();
			ByteBuffer buffer = ByteBuffer.wrap(snapshot);
			while (buffer.hasRemaining()) {
				this.numbers.add(buffer.getLong());
			}
		}

		synchronized List<Long> copy() {
			return List.copyOf(this.numbers);
		}

	}

}
