package org.magnolialead.daemon;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.message.ConsensusMessage;
import org.magnolialead.api.message.ErrorAnswer;
import org.magnolialead.api.message.HeartbeatRequest;
import org.magnolialead.api.message.InitializeAnswer;
import org.magnolialead.api.message.InitializeRequest;
import org.magnolialead.api.message.LedgerKeysQuery;
import org.magnolialead.api.message.QuotaRequest;
import org.magnolialead.api.message.SubmitCommandRequest;
import org.magnolialead.api.message.ViewAnswer;
import org.magnolialead.api.message.ViewQuery;
import org.magnolialead.daemon.control.CommandLogSettings;
import org.magnolialead.daemon.control.ControlController;
import org.magnolialead.daemon.control.ControlSettings;
import org.magnolialead.daemon.control.ControlStateMachine;
import org.magnolialead.daemon.control.DefaultCommandLog;
import org.magnolialead.daemon.control.FaultToleranceMonitor;
import org.magnolialead.daemon.control.LedgerKeys;
import org.magnolialead.daemon.control.WallClock;
import org.magnolialead.daemon.settings.DaemonSettings;
import org.magnolialead.engine.consensus.FaultTolerance;
import org.magnolialead.transport.http.HttpHandler;
import org.magnolialead.transport.http.HttpServer;
import org.magnolialead.transport.peer.PeerClient;
import org.magnolialead.transport.peer.PeerHandler;
import org.magnolialead.transport.peer.PeerServer;

/**
 * Daemon in the control role: a member of the control cluster, which replicates the
 * control state.
 */
final class ControlDaemon implements Daemon {

	private static final System.Logger LOGGER = System.getLogger(ControlDaemon.class.getName());

	/** Number of voters that a new cluster needs before it accepts changes. */
	private static final int MINIMUM_VOTERS = 3;

	private static final long TOLERANCE_CHECK_SECONDS = 1;

	private static final long PEER_QUERY_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	private final DaemonSettings settings;

	private final MonotonicClock clock = MonotonicClock.SYSTEM;

	private final MetricRegistry metrics = new MetricRegistry();

	private final ExecutorService executor;

	private final PeerClient peerClient;

	private final DefaultCommandLog log;

	private final ControlController controller;

	private final LedgerKeys ledgerKeys;

	private final ScheduledExecutorService timer;

	private final HttpHandler httpHandler;

	private final FaultToleranceMonitor toleranceMonitor;

	private final Optional<Path> temporaryFolder;

	private PeerServer peerServer;

	private HttpServer httpServer;

	ControlDaemon(DaemonSettings settings, DaemonExtension extension, long launchedAt) {
		this.settings = settings;
		this.executor = Executors.newFixedThreadPool(settings.threads(), DaemonThreads.named("worker"));
		this.peerClient = new PeerClient(this.clock);
		ControlStateMachine machine = new ControlStateMachine();
		FaultTolerance tolerance = settings.seeds()
			.map(DaemonSettings.SeedSettings::faultTolerance)
			.orElse(FaultTolerance.ONE_LOSS);
		this.temporaryFolder = settings.dataFolder().isPresent() ? Optional.empty()
				: Optional.of(TemporaryFolder.create(settings.name()));
		this.log = new DefaultCommandLog(logSettings(tolerance), machine, this.peerClient::send, this.clock,
				new SecureRandom(), launchedAt);
		this.ledgerKeys = new LedgerKeys(this.log, machine);
		this.controller = new ControlController(controlSettings(settings), this.log, machine, this.clock,
				WallClock.SYSTEM);
		this.timer = Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("control-timer"));
		ControlOperations operations = new ControlOperations(this.controller, this.log, machine, this.peerClient,
				this.clock, this.timer, requiredVoters(settings, tolerance));
		this.toleranceMonitor = new FaultToleranceMonitor(tolerance);
		this.httpHandler = extension.controlHandler(operations, settings,
				new ControlHttpHandler(this.controller, this.log, this.metrics));
	}

	private static ControlSettings controlSettings(DaemonSettings settings) {
		ControlSettings defaults = ControlSettings.defaults(settings.name());
		return settings.seeds()
			.map((seeds) -> defaults.withRateLimitTolerance(seeds.rateLimitTolerance()))
			.orElse(defaults);
	}

	private CommandLogSettings logSettings(FaultTolerance tolerance) {
		Path dataFolder = this.settings.dataFolder().or(() -> this.temporaryFolder).orElseThrow();
		List<String> seeds = this.settings.seeds().isPresent() ? this.settings.controlAddresses() : List.of();
		return CommandLogSettings
			.withDefaults(this.settings.name(), this.settings.peer().address(), dataFolder,
					this.settings.controlMembers())
			.withOverrides(Duration.ofMillis(this.settings.electionTimeoutMilliseconds()),
					this.settings.snapshotEntries(), seeds, this.settings.diskBytes())
			.withMembership(tolerance, this.temporaryFolder.isPresent(), startsCluster());
	}

	// Each change must be on more voters than may be lost before it is acknowledged.
	private static int requiredVoters(DaemonSettings settings, FaultTolerance tolerance) {
		int listed = Math.min(MINIMUM_VOTERS, settings.controlAddresses().size());
		return settings.seeds().isPresent() ? Math.max(listed, tolerance.votersToCommit()) : listed;
	}

	@Override
	public void open() {
		this.peerServer = Listeners.peer(this.settings, new MessageHandler(), this.executor);
		this.httpServer = Listeners.http(this.settings, this.httpHandler, this.executor);
		this.log.start();
		this.controller.start();
		this.timer.scheduleWithFixedDelay(this::checkTolerance, TOLERANCE_CHECK_SECONDS, TOLERANCE_CHECK_SECONDS,
				TimeUnit.SECONDS);
		if (this.temporaryFolder.isPresent()) {
			LogEvent.CONTROL_OBSERVER_STARTED.log(LOGGER, this.settings.name());
		}
		LogEvent.DAEMON_STARTED.log(LOGGER, this.settings.name(), this.settings.role(), this.settings.peer().address(),
				this.settings.http().host() + ":" + this.settings.http().port());
	}

	private void checkTolerance() {
		this.toleranceMonitor.check(this.log.hasAuthority(), this.log.voters().size(), this.clock.nanoseconds());
	}

	// On the first start of a fleet every VM has the same list of seeds. Those with a
	// disk
	// start the cluster together, and the other daemons join it.
	private boolean startsCluster() {
		boolean firstStart = this.settings.seeds().filter(DaemonSettings.SeedSettings::firstStart).isPresent();
		return firstStart && this.temporaryFolder.isEmpty()
				&& this.settings.controlAddresses().contains(this.settings.peer().address());
	}

	private CompletableFuture<Object> handle(Object message) {
		this.metrics.meter("peer." + message.getClass().getSimpleName()).mark();
		if (message instanceof ConsensusMessage consensus) {
			this.log.receive(consensus);
			return null;
		}
		if (message instanceof HeartbeatRequest heartbeat) {
			return this.controller.heartbeat(heartbeat).thenApply((answer) -> answer);
		}
		if (message instanceof QuotaRequest quota) {
			return CompletableFuture.completedFuture(this.controller.grantTokens(quota));
		}
		if (message instanceof SubmitCommandRequest submit) {
			return this.controller.submit(submit).thenApply((answer) -> answer);
		}
		if (message instanceof LedgerKeysQuery query) {
			return CompletableFuture.completedFuture(this.ledgerKeys.answer(query));
		}
		if (message instanceof ViewQuery) {
			return CompletableFuture.completedFuture(this.controller.view());
		}
		if (message instanceof InitializeRequest) {
			return initialize().thenApply((answer) -> answer);
		}
		return CompletableFuture.completedFuture(new ErrorAnswer(ErrorCode.BAD_REQUEST, Step.CONTROL,
				"a control daemon does not handle " + message.getClass().getSimpleName()));
	}

	/**
	 * Initializes a new cluster unless another control daemon is unreachable or already
	 * belongs to one. Two clusters would grant leases independently of each other.
	 * @return whether the cluster was initialized, with the reason if it was not
	 */
	private CompletableFuture<InitializeAnswer> initialize() {
		long deadline = this.clock.nanoseconds() + PEER_QUERY_TIMEOUT_NANOSECONDS;
		CompletableFuture<InitializeAnswer> checked = CompletableFuture.completedFuture(new InitializeAnswer(true, ""));
		for (String address : this.settings.controlMembers().values()) {
			if (!address.equals(this.settings.peer().address())) {
				checked = checked.thenCombine(checkPeer(address, deadline),
						(first, second) -> first.accepted() ? second : first);
			}
		}
		return checked.thenApply((answer) -> answer.accepted() ? this.log.initialize() : answer);
	}

	private CompletableFuture<InitializeAnswer> checkPeer(String address, long deadline) {
		return this.peerClient.request(address, new ViewQuery(), deadline).handle((answer, failure) -> {
			if (!(answer instanceof ViewAnswer view)) {
				return new InitializeAnswer(false,
						"control daemon %s did not answer; start all control daemons before initializing the cluster"
							.formatted(address));
			}
			return view.voters().isEmpty() ? new InitializeAnswer(true, "")
					: new InitializeAnswer(false, "control daemon %s already belongs to a cluster".formatted(address));
		});
	}

	@Override
	public void shutDown() {
		LogEvent.SHUTDOWN_STARTED.log(LOGGER, 0);
		close();
		LogEvent.SHUTDOWN_FINISHED.log(LOGGER, 0);
	}

	@Override
	public void close() {
		this.controller.close();
		if (this.httpServer != null) {
			this.httpServer.close();
		}
		if (this.peerServer != null) {
			this.peerServer.close();
		}
		this.log.close();
		this.peerClient.close();
		this.timer.shutdownNow();
		this.executor.shutdownNow();
		this.temporaryFolder.ifPresent(TemporaryFolder::delete);
	}

	private final class MessageHandler implements PeerHandler {

		@Override
		public CompletableFuture<Object> handle(Object message) {
			return ControlDaemon.this.handle(message);
		}

		// When the fleet restarts, all entry daemons request the complete view at once. A
		// leader whose messages waited behind these requests would lose its authority.
		@Override
		public boolean isUrgent(Object message) {
			return message instanceof ConsensusMessage;
		}

	}

}
