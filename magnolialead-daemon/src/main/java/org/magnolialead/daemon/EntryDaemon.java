package org.magnolialead.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Outcome;
import org.magnolialead.api.Rank;
import org.magnolialead.api.Step;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.message.ErrorAnswer;
import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.api.message.ExecuteRequest;
import org.magnolialead.daemon.control.WallClock;
import org.magnolialead.daemon.entry.ControlLink;
import org.magnolialead.daemon.entry.DefaultGroupDispatcher;
import org.magnolialead.daemon.entry.EntryServices;
import org.magnolialead.daemon.filter.AdmissionControl;
import org.magnolialead.daemon.filter.EntryHttpHandler;
import org.magnolialead.daemon.filter.RequestFilters;
import org.magnolialead.daemon.filter.ServedRequestMetrics;
import org.magnolialead.daemon.filter.SessionTokenCodec;
import org.magnolialead.daemon.owner.OwnershipController;
import org.magnolialead.daemon.servicelevel.ServiceLevelRecorder;
import org.magnolialead.daemon.settings.DaemonSettings;
import org.magnolialead.transport.http.HttpServer;
import org.magnolialead.transport.member.MemberConnector;
import org.magnolialead.transport.peer.PeerClient;
import org.magnolialead.transport.peer.PeerServer;

/**
 * Daemon in the entry role that serves requests over HTTP.
 */
final class EntryDaemon implements Daemon {

	private static final System.Logger LOGGER = System.getLogger(EntryDaemon.class.getName());

	/**
	 * Time for which requests are still accepted after the daemon reports that it is not
	 * ready, so that the load balancer stops routing to it first.
	 */
	private static final long LOAD_BALANCER_GRACE_MILLISECONDS = 1_000;

	/**
	 * Maximum time to release groups and complete requests. Exceeds the maximum lifetime
	 * of a transaction and the default request timeout, both 5 s.
	 */
	private static final long DRAIN_TIMEOUT_MILLISECONDS = 15_000;

	private static final long POLL_INTERVAL_MILLISECONDS = 20;

	private final DaemonSettings settings;

	private final MonotonicClock clock = MonotonicClock.SYSTEM;

	private final MetricRegistry metrics = new MetricRegistry();

	private final ExecutorService executor;

	private final ScheduledExecutorService timer;

	private final ScheduledExecutorService controlTimer;

	private final PeerClient peerClient;

	private final MemberConnector connector;

	private final EntryServices entryServices;

	private final OwnershipController ownership;

	private final AdmissionControl admission;

	private final ServiceLevelRecorder serviceLevels;

	private final EntryHttpHandler router;

	private volatile boolean draining;

	private PeerServer peerServer;

	private HttpServer httpServer;

	EntryDaemon(DaemonSettings settings) {
		this.settings = settings;
		String incarnation = Processes.randomIncarnation();
		this.executor = Executors.newFixedThreadPool(settings.threads(), DaemonThreads.named("worker"));
		this.timer = Executors.newScheduledThreadPool(2, DaemonThreads.named("timer"));
		// Heartbeats run on a dedicated thread so that load does not delay lease renewal.
		this.controlTimer = Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("control-link"));
		this.peerClient = new PeerClient(this.clock);
		this.connector = new MemberConnector(this.clock);
		this.entryServices = new EntryServices(this.clock, this.peerClient, this.controlTimer);
		ControlLink link = this.entryServices.createControlLink(settings, incarnation);
		this.ownership = new OwnershipController(settings.name(), incarnation, this.clock, this.executor, this.timer,
				this.connector, this.entryServices.view(), this.entryServices.leaseGate(), link);
		this.entryServices.setOwnership(this.ownership);
		DefaultGroupDispatcher dispatcher = new DefaultGroupDispatcher(settings.name(), this.entryServices.view(),
				this.entryServices.leaseGate(), this.clock, this.timer, this.peerClient, this.ownership);
		this.admission = new AdmissionControl(AdmissionControl.DEFAULT_MAXIMUM_IN_PROGRESS);
		this.serviceLevels = new ServiceLevelRecorder(settings.name(), incarnation, this.clock, WallClock.SYSTEM);
		this.router = new EntryHttpHandler(
				RequestFilters.chain(this.clock, this.entryServices.leaseGate(), this.entryServices.view(),
						new SessionTokenCodec(sessionKey(settings)), this.admission,
						new ServedRequestMetrics(this.metrics), this.serviceLevels, dispatcher),
				this.entryServices::announce, this::isReady, this.metrics, this.serviceLevels);
		registerGauges();
	}

	@Override
	public void open() {
		this.peerServer = Listeners.peer(this.settings, this::handle, this.executor);
		this.httpServer = Listeners.http(this.settings, this.router, this.executor);
		this.entryServices.start();
		LogEvent.DAEMON_STARTED.log(LOGGER, this.settings.name(), this.settings.role(), this.settings.peer().address(),
				this.settings.http().host() + ":" + this.settings.http().port());
	}

	private CompletableFuture<Object> handle(Object message) {
		if (message instanceof ExecuteRequest request) {
			long deadline = this.clock.nanoseconds() + TimeUnit.MILLISECONDS.toNanos(request.timeoutMilliseconds());
			return this.ownership.execute(request, deadline).thenApply((answer) -> recordOwnedWrite(request, answer));
		}
		return CompletableFuture.completedFuture(new ErrorAnswer(ErrorCode.BAD_REQUEST, Step.FORWARD,
				"an entry daemon does not handle " + message.getClass().getSimpleName()));
	}

	private Object recordOwnedWrite(ExecuteRequest request, ExecuteAnswer answer) {
		if (request.kind().changesData() && answer.outcome() == Outcome.DONE && !answer.repeated()) {
			this.serviceLevels.ownedWriteAcknowledged(request.group());
		}
		return answer;
	}

	@Override
	public void shutDown() {
		LogEvent.SHUTDOWN_STARTED.log(LOGGER, requestsInProgress());
		this.draining = true;
		this.entryServices.drain();
		this.ownership.drain();
		long deadline = this.clock.nanoseconds() + TimeUnit.MILLISECONDS.toNanos(DRAIN_TIMEOUT_MILLISECONDS);
		Processes.pause(LOAD_BALANCER_GRACE_MILLISECONDS);
		while (this.ownership.ownedCount() > 0 && deadline - this.clock.nanoseconds() > 0) {
			Processes.pause(POLL_INTERVAL_MILLISECONDS);
		}
		this.httpServer.stopAccepting();
		while (requestsInProgress() > 0 && deadline - this.clock.nanoseconds() > 0) {
			Processes.pause(POLL_INTERVAL_MILLISECONDS);
		}
		this.httpServer.drained().completeOnTimeout(null, 1, TimeUnit.SECONDS).join();
		LogEvent.SHUTDOWN_FINISHED.log(LOGGER, requestsInProgress());
		close();
	}

	@Override
	public void close() {
		this.ownership.stop();
		if (this.httpServer != null) {
			this.httpServer.close();
		}
		if (this.peerServer != null) {
			this.peerServer.close();
		}
		this.peerClient.close();
		this.connector.close();
		this.controlTimer.shutdownNow();
		this.timer.shutdownNow();
		this.executor.shutdownNow();
	}

	private boolean isReady() {
		return !this.draining && this.entryServices.leaseGate().isHeld(this.clock.nanoseconds());
	}

	private int requestsInProgress() {
		return Arrays.stream(Rank.values()).mapToInt(this.admission::inProgress).sum();
	}

	private void registerGauges() {
		Gauge<Integer> owned = this.ownership::ownedCount;
		this.metrics.registerAll("ownership", () -> Map.of("groups", owned));
		Gauge<Long> viewVersion = () -> this.entryServices.view().get().version();
		Gauge<Long> configurationVersion = () -> this.entryServices.view().get().configuration().version();
		this.metrics.registerAll("view",
				() -> Map.of("version", viewVersion, "configuration_version", configurationVersion));
	}

	private static byte[] sessionKey(DaemonSettings settings) {
		try {
			return Files.readAllBytes(settings.sessionKeyFile().orElseThrow());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
