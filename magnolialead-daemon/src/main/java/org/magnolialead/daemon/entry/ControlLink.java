package org.magnolialead.daemon.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.message.HeartbeatAnswer;
import org.magnolialead.api.message.HeartbeatRequest;
import org.magnolialead.api.message.OwnedGroupReport;
import org.magnolialead.api.message.QuotaAnswer;
import org.magnolialead.api.message.QuotaDemand;
import org.magnolialead.api.message.QuotaRequest;
import org.magnolialead.api.message.SubmitCommandAnswer;
import org.magnolialead.api.message.SubmitCommandRequest;
import org.magnolialead.daemon.filter.DaemonLease;
import org.magnolialead.daemon.quota.QuotaLink;
import org.magnolialead.transport.peer.PeerClient;
import org.magnolialead.transport.peer.ViewChangePacker;

/**
 * Connection of an entry daemon to the control leader. Renews the lease, keeps the fleet
 * view up to date and submits commands.
 */
public final class ControlLink implements CommandSubmitter, QuotaLink {

	private static final System.Logger LOGGER = System.getLogger(ControlLink.class.getName());

	private static final long HEARTBEAT_INTERVAL_MILLISECONDS = 200;

	/**
	 * Time without an answer after which a heartbeat is sent to the next control daemon.
	 * Short compared with the lease of 2,500 ms so that every control daemon can be tried
	 * before the lease expires.
	 */
	private static final long HEARTBEAT_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(350);

	/**
	 * Time in which a large change of the view arrives over a slow link.
	 */
	private static final long VIEW_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

	private final ViewChangePacker packer = new ViewChangePacker();

	private final Identity identity;

	private volatile List<String> controlAddresses;

	private final PeerClient client;

	private final MonotonicClock clock;

	private final ScheduledExecutorService scheduler;

	private final DaemonLease lease;

	private final FleetViewHolder view;

	private final Supplier<List<OwnedGroupReport>> reports;

	private final AnnouncementBuffer announcements;

	private final AtomicInteger addressIndex = new AtomicInteger();

	private final AtomicLong heartbeatCount = new AtomicLong();

	private volatile boolean heartbeatInProgress;

	/** View version up to which this daemon has learned of removed daemons. */
	private volatile long removalsVersion;

	private volatile String leaderAddress = "";

	private volatile boolean draining;

	private volatile boolean leaseWasHeld;

	/** Number of consecutive heartbeats that did not renew the lease. */
	private volatile int failedHeartbeats;

	/** Scheduled retry; replaced by each new one so that at most one is pending. */
	private volatile ScheduledFuture<?> retry;

	ControlLink(Identity identity, List<String> controlAddresses, PeerClient client, MonotonicClock clock,
			ScheduledExecutorService scheduler, DaemonLease lease, FleetViewHolder view,
			Supplier<List<OwnedGroupReport>> reports, AnnouncementBuffer announcements) {
		this.identity = identity;
		this.controlAddresses = List.copyOf(controlAddresses);
		this.client = client;
		this.clock = clock;
		this.scheduler = scheduler;
		this.lease = lease;
		this.view = view;
		this.reports = reports;
		this.announcements = announcements;
	}

	void start() {
		this.scheduler.scheduleAtFixedRate(this::heartbeatUnlessRetrying, 0, HEARTBEAT_INTERVAL_MILLISECONDS,
				TimeUnit.MILLISECONDS);
	}

	void drain() {
		this.draining = true;
		this.scheduler.execute(this::heartbeatSafely);
	}

	void heartbeatSoon() {
		this.scheduler.execute(this::heartbeatSafely);
	}

	@Override
	public CompletableFuture<CommandResult> submit(ControlCommand command, long deadline) {
		CompletableFuture<CommandResult> result = new CompletableFuture<>();
		attemptSubmit(command, deadline, 0, false, result);
		return result;
	}

	@Override
	public CompletableFuture<Object> query(Object query, long deadline) {
		return this.client.request(currentAddress(), query, deadline);
	}

	// A request that times out does not count against the leader: its timeout is shorter
	// than that of a heartbeat, which decides where to look for the leader.
	@Override
	public CompletableFuture<QuotaAnswer> requestTokens(List<QuotaDemand> demands, long deadline) {
		String address = currentAddress();
		QuotaRequest request = new QuotaRequest(this.identity.daemon(), this.identity.incarnation(), demands);
		return this.client.request(address, request, deadline).thenApply((answer) -> {
			if (!(answer instanceof QuotaAnswer quota)) {
				throw new MagnolialeadException(ErrorCode.UNREACHABLE, Step.CONTROL, address,
						"the control daemon does not grant tokens");
			}
			if (!quota.leader()) {
				followLeaderHint(address, quota.leaderAddress());
			}
			return quota;
		});
	}

	// After a failure a scheduled retry replaces the regular heartbeat.
	private void heartbeatUnlessRetrying() {
		if (this.failedHeartbeats == 0) {
			heartbeatSafely();
		}
		else {
			logLeaseChange("");
		}
	}

	private void heartbeatSafely() {
		try {
			sendHeartbeat();
		}
		catch (RuntimeException | Error ex) {
			LogEvent.REQUEST_FAILED_UNEXPECTEDLY.log(LOGGER, Step.CONTROL, this.leaderAddress, ex);
			this.heartbeatInProgress = false;
			retryHeartbeat();
		}
	}

	private void sendHeartbeat() {
		logLeaseChange("");
		if (this.heartbeatInProgress) {
			return;
		}
		this.heartbeatInProgress = true;
		this.heartbeatCount.incrementAndGet();
		String address = currentAddress();
		HeartbeatRequest request = new HeartbeatRequest(this.identity.daemon(), this.identity.incarnation(),
				this.identity.peerAddress(), this.identity.availabilityZone(), this.draining, this.view.get().version(),
				this.removalsVersion, this.reports.get(), this.announcements.pendingAnnouncements(), true);
		long sentAt = this.clock.nanoseconds();
		this.client.request(address, request, sentAt + HEARTBEAT_TIMEOUT_NANOSECONDS, sentAt + VIEW_TIMEOUT_NANOSECONDS)
			.whenCompleteAsync((answer, failure) -> heartbeatAnswered(address, sentAt, answer), this.scheduler);
	}

	private void heartbeatAnswered(String address, long sentAt, Object answer) {
		this.heartbeatInProgress = false;
		HeartbeatAnswer heartbeat = (answer instanceof HeartbeatAnswer received) ? unpacked(received) : null;
		if (heartbeat == null) {
			leaderFailed(address);
			retryHeartbeat();
			return;
		}
		if (heartbeat.change() != null && heartbeat.change().partial()) {
			if (applyChange(heartbeat)) {
				this.scheduler.execute(this::heartbeatSafely);
			}
			else {
				retryHeartbeat();
			}
			return;
		}
		if (heartbeat.leaseMilliseconds() == 0) {
			// A restarted daemon gets no lease until that of its previous incarnation has
			// expired, but the view is useful before that.
			if (heartbeat.change() != null) {
				applyChange(heartbeat);
			}
			followLeaderHint(address, heartbeat.leaderAddress());
			retryHeartbeat();
			return;
		}
		this.leaderAddress = address;
		this.failedHeartbeats = 0;
		if (!heartbeat.controlAddresses().isEmpty()) {
			this.controlAddresses = heartbeat.controlAddresses();
		}
		if (heartbeat.change() != null && !applyChange(heartbeat)) {
			return;
		}
		// Apply the view before renewing the lease. Under the renewed lease this daemon
		// must not act on ownership or configuration that the leader has already changed.
		this.lease.renew(sentAt + TimeUnit.MILLISECONDS.toNanos(heartbeat.leaseMilliseconds()));
		logLeaseChange(address);
	}

	// Returns null if the change cannot be read.
	private HeartbeatAnswer unpacked(HeartbeatAnswer heartbeat) {
		if (heartbeat.packedChange() == null) {
			return heartbeat;
		}
		try {
			return heartbeat.withChange(this.packer.unpack(heartbeat.packedChange()));
		}
		catch (IllegalArgumentException ex) {
			LogEvent.VIEW_REFUSED.log(LOGGER, this.leaderAddress, ex.getMessage());
			return null;
		}
	}

	private boolean applyChange(HeartbeatAnswer heartbeat) {
		FleetView before = this.view.get();
		try {
			this.view.apply(heartbeat.change());
			this.removalsVersion = heartbeat.change().latestVersion();
		}
		catch (IllegalArgumentException ex) {
			LogEvent.VIEW_REFUSED.log(LOGGER, this.leaderAddress, ex.getMessage());
			return false;
		}
		long configurationVersion = this.view.get().configuration().version();
		if (configurationVersion != before.configuration().version()) {
			LogEvent.CONFIGURATION_IN_FORCE.log(LOGGER, configurationVersion);
		}
		return true;
	}

	private void logLeaseChange(String address) {
		boolean held = this.lease.isHeld(this.clock.nanoseconds());
		if (held && !this.leaseWasHeld) {
			LogEvent.LEASE_OBTAINED.log(LOGGER, address, this.view.get().version());
		}
		if (!held && this.leaseWasHeld) {
			LogEvent.LEASE_LOST.log(LOGGER, this.leaderAddress);
		}
		this.leaseWasHeld = held;
	}

	private void retryHeartbeat() {
		long limit = (this.view.get().version() > 0) ? RetryDelay.MAXIMUM_MILLISECONDS
				: RetryDelay.MAXIMUM_WITHOUT_VIEW_MILLISECONDS;
		long delay = RetryDelay.milliseconds(this.failedHeartbeats, limit, ThreadLocalRandom.current());
		this.failedHeartbeats++;
		if (this.retry != null) {
			this.retry.cancel(false);
		}
		this.retry = this.scheduler.schedule(this::heartbeatSafely, delay, TimeUnit.MILLISECONDS);
	}

	private void attemptSubmit(ControlCommand command, long deadline, int failures, boolean mayHaveRun,
			CompletableFuture<CommandResult> result) {
		if (deadline - this.clock.nanoseconds() <= 0) {
			ErrorCode code = mayHaveRun ? ErrorCode.COMMAND_UNKNOWN : ErrorCode.UNREACHABLE;
			result.completeExceptionally(new MagnolialeadException(code, Step.CONTROL, this.leaderAddress,
					"no control leader answered before the deadline"));
			return;
		}
		String address = currentAddress();
		long attemptDeadline = earlier(deadline, this.clock.nanoseconds() + 2 * HEARTBEAT_TIMEOUT_NANOSECONDS);
		this.client.request(address, new SubmitCommandRequest(command), attemptDeadline)
			.whenComplete((answer, failure) -> submitAnswered(command, deadline, failures, mayHaveRun, address, answer,
					failure, result));
	}

	private void submitAnswered(ControlCommand command, long deadline, int failures, boolean mayHaveRun, String address,
			Object answer, Throwable failure, CompletableFuture<CommandResult> result) {
		boolean stillUnknown = mayHaveRun;
		if (answer instanceof SubmitCommandAnswer submitted) {
			if (submitted.result() != null) {
				result.complete(submitted.result());
				return;
			}
			followLeaderHint(address, submitted.leaderAddress());
			stillUnknown |= submitted.error() == ErrorCode.COMMAND_UNKNOWN;
		}
		else {
			leaderFailed(address);
			stillUnknown |= !Failures.isKnownNotRun(failure);
		}
		boolean unknown = stillUnknown;
		long delay = RetryDelay.milliseconds(failures, RetryDelay.MAXIMUM_MILLISECONDS, ThreadLocalRandom.current());
		this.scheduler.schedule(() -> attemptSubmit(command, deadline, failures + 1, unknown, result), delay,
				TimeUnit.MILLISECONDS);
	}

	private String currentAddress() {
		String leader = this.leaderAddress;
		List<String> addresses = this.controlAddresses;
		return (!leader.isEmpty()) ? leader : addresses.get(Math.floorMod(this.addressIndex.get(), addresses.size()));
	}

	private void leaderFailed(String address) {
		if (address.equals(this.leaderAddress)) {
			this.leaderAddress = "";
		}
		this.addressIndex.incrementAndGet();
	}

	private void followLeaderHint(String address, String hint) {
		if (hint != null && !hint.isEmpty() && !hint.equals(address)) {
			this.leaderAddress = hint;
		}
		else {
			leaderFailed(address);
		}
	}

	private static long earlier(long first, long second) {
		return (first - second < 0) ? first : second;
	}

	/**
	 * Identity of an entry daemon.
	 *
	 * @param daemon name of the daemon
	 * @param incarnation random identifier of this process
	 * @param peerAddress address for the peer protocol
	 * @param availabilityZone its availability zone
	 */
	record Identity(String daemon, String incarnation, String peerAddress, String availabilityZone) {
	}

}
