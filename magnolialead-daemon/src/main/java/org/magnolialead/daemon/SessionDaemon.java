package org.magnolialead.daemon;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.daemon.entry.ControlLink;
import org.magnolialead.daemon.entry.EntryServices;
import org.magnolialead.daemon.filter.MetricsReport;
import org.magnolialead.daemon.session.PromotionController;
import org.magnolialead.daemon.session.SessionAdapter;
import org.magnolialead.daemon.session.SessionService;
import org.magnolialead.daemon.settings.DaemonSettings;
import org.magnolialead.transport.http.HttpHandler;
import org.magnolialead.transport.http.HttpServer;
import org.magnolialead.transport.http.HttpServerResponse;
import org.magnolialead.transport.peer.PeerClient;
import org.magnolialead.transport.peer.PeerConnectionSettings;
import org.magnolialead.transport.peer.PeerServer;
import org.magnolialead.transport.relay.PeerPort;
import org.magnolialead.transport.relay.RelayServer;

/**
 * Daemon in the entry role that serves sessions of database clients.
 */
final class SessionDaemon implements Daemon {

	private static final System.Logger LOGGER = System.getLogger(SessionDaemon.class.getName());

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	/**
	 * Time in milliseconds for which clients are still accepted after the daemon reports
	 * that it is not ready. Covers two health checks of a load balancer that checks once
	 * per second.
	 */
	private static final long LOAD_BALANCER_GRACE_MILLISECONDS = 2_200;

	/** Fraction of the grace period after which remaining sessions are closed. */
	private static final double SESSION_DRAIN_FRACTION = 0.75;

	private static final long POLL_INTERVAL_MILLISECONDS = 25;

	private final DaemonSettings settings;

	private final ExecutorService executor;

	private final ScheduledExecutorService controlTimer;

	private final PeerClient peerClient;

	private final EntryServices entryServices;

	private final SessionAdapter adapter;

	private final SessionService sessions;

	private final PromotionController promotions;

	private final PeerClient forwardingClient;

	private volatile boolean draining;

	private HttpServer httpServer;

	private PeerPort peerPort;

	SessionDaemon(DaemonSettings settings, DaemonExtension extension) {
		MonotonicClock clock = MonotonicClock.SYSTEM;
		this.settings = settings;
		this.executor = Executors.newSingleThreadExecutor(DaemonThreads.named("worker"));
		this.controlTimer = Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("control-link"));
		this.peerClient = new PeerClient(clock);
		this.entryServices = new EntryServices(clock, this.peerClient, this.controlTimer);
		String incarnation = Processes.randomIncarnation();
		ControlLink link = this.entryServices.createControlLink(settings, incarnation);
		this.adapter = extension.sessionAdapter(settings);
		this.forwardingClient = new PeerClient(clock, this.adapter.eventLoops(), PeerConnectionSettings.STATEMENTS);
		this.sessions = new SessionService(settings.name(), settings.availabilityZone(), this.adapter.loop(), clock,
				System::currentTimeMillis, this.adapter.dialer(), new PeerForwardingLink(this.forwardingClient),
				settings.sessions().orElseThrow().limits(), settings.sessions().orElseThrow().learnedLimits());
		this.sessions.requestTokensFrom(link);
		this.promotions = new PromotionController(settings.name(), incarnation, this.sessions,
				this.entryServices.lease(), link, this.adapter.promotions());
		this.entryServices.view().addListener(this.sessions::viewChanged);
		this.entryServices.setOwnership(this.promotions);
	}

	@Override
	public void open() {
		this.httpServer = Listeners.http(this.settings, this.adapter.statusHandler(this::isReady, statusHandler()),
				this.executor);
		this.peerPort = new PeerPort(this.adapter.eventLoops(), this.settings.peer().host(),
				this.settings.peer().port(), relayServer(),
				new PeerServer(this.sessions::forwardingHandler, this.adapter.loop()));
		this.adapter.listen(this.sessions);
		this.sessions.start();
		this.entryServices.start();
		DaemonSettings.SessionSettings sessionSettings = this.settings.sessions().orElseThrow();
		LogEvent.DAEMON_STARTED.log(LOGGER, this.settings.name(), this.settings.role(),
				sessionSettings.host() + ":" + sessionSettings.port(),
				this.settings.http().host() + ":" + this.settings.http().port());
	}

	private RelayServer relayServer() {
		return new RelayServer(this.adapter.eventLoops(),
				(request) -> this.sessions.directMemberAddress(request.group(), request.member()));
	}

	private boolean isReady() {
		return !this.draining && this.sessions.isServing();
	}

	private HttpHandler statusHandler() {
		return (request) -> CompletableFuture.completedFuture(status(request.path()));
	}

	private HttpServerResponse status(String path) {
		return switch (path) {
			case "/health" -> statusResponse(OK, "healthy");
			case "/metrics" -> HttpServerResponse.json(OK, MetricsReport.write(this.sessions.metrics().registry()));
			case "/readiness" -> isReady() ? statusResponse(OK, "ready") : statusResponse(UNAVAILABLE, "not ready");
			default -> statusResponse(NOT_FOUND, "no such path");
		};
	}

	private static HttpServerResponse statusResponse(int status, String text) {
		return HttpServerResponse.json(status, Map.of("status", text));
	}

	@Override
	public void shutDown() {
		LogEvent.SHUTDOWN_STARTED.log(LOGGER, "sessions");
		this.draining = true;
		this.entryServices.drain();
		this.adapter.loop().execute(this.promotions::drain);
		long start = System.nanoTime();
		long sessionDeadline = start + TimeUnit.MILLISECONDS
			.toNanos((long) (this.settings.sessions().orElseThrow().graceMilliseconds() * SESSION_DRAIN_FRACTION));
		Processes.pause(LOAD_BALANCER_GRACE_MILLISECONDS);
		int remaining = closeIdle();
		while (remaining > 0 && sessionDeadline - System.nanoTime() > 0) {
			Processes.pause(POLL_INTERVAL_MILLISECONDS);
			remaining = closeIdle();
		}
		CompletableFuture.runAsync(this.sessions::closeAll, this.adapter.loop()).join();
		LogEvent.SHUTDOWN_FINISHED.log(LOGGER, remaining);
		close();
	}

	private int closeIdle() {
		return CompletableFuture.supplyAsync(this.sessions::closeIdle, this.adapter.loop()).join();
	}

	@Override
	public void close() {
		if (this.httpServer != null) {
			this.httpServer.close();
		}
		if (this.peerPort != null) {
			this.peerPort.close();
		}
		this.forwardingClient.close();
		this.adapter.close();
		this.peerClient.close();
		this.controlTimer.shutdownNow();
		this.executor.shutdownNow();
	}

}
