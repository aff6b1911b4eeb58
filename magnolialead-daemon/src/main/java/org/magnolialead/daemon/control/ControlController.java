package org.magnolialead.daemon.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.DaemonView;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.FleetViewChange;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.command.ControlCommand.AnnounceMember;
import org.magnolialead.api.command.ControlCommand.BeginRequest;
import org.magnolialead.api.command.ControlCommand.ChangeConfiguration;
import org.magnolialead.api.command.ControlCommand.ConfirmPrimary;
import org.magnolialead.api.command.ControlCommand.FinishRequest;
import org.magnolialead.api.command.ControlCommand.ForgetDaemon;
import org.magnolialead.api.command.ControlCommand.ForgetMember;
import org.magnolialead.api.command.ControlCommand.ForgetRequests;
import org.magnolialead.api.command.ControlCommand.RegisterDaemon;
import org.magnolialead.api.command.ControlCommand.ReleaseOwner;
import org.magnolialead.api.command.ControlCommand.ReplaceRoutes;
import org.magnolialead.api.command.ControlCommand.ReservePromotion;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.message.HeartbeatAnswer;
import org.magnolialead.api.message.HeartbeatRequest;
import org.magnolialead.api.message.OwnedGroupReport;
import org.magnolialead.api.message.QuotaAnswer;
import org.magnolialead.api.message.QuotaGrant;
import org.magnolialead.api.message.QuotaRequest;
import org.magnolialead.api.message.SubmitCommandAnswer;
import org.magnolialead.api.message.SubmitCommandRequest;
import org.magnolialead.api.message.ViewAnswer;
import org.magnolialead.engine.control.ControlState;

/**
 * Handles requests of entry daemons and operators, and submits the decisions of the
 * control leader. Safe for concurrent use.
 */
public final class ControlController implements AutoCloseable {

	/** Delay of the answer to a daemon without a view while no leader is known. */
	private static final long NO_LEADER_ANSWER_DELAY_MILLISECONDS = 60;

	private static final System.Logger LOGGER = System.getLogger(ControlController.class.getName());

	private static final long FORGET_REQUESTS_INTERVAL_NANOSECONDS = TimeUnit.MINUTES.toNanos(1);

	/**
	 * Commands that entry daemons and operators may submit. All others are decisions that
	 * only the leader makes.
	 */
	private static final Set<Class<? extends ControlCommand>> PERMITTED_COMMANDS = Set.of(ChangeConfiguration.class,
			ForgetMember.class, AnnounceMember.class, ReplaceRoutes.class, ReservePromotion.class, ConfirmPrimary.class,
			BeginRequest.class, FinishRequest.class);

	/**
	 * Command without effect. Committing it applies all commands that precede it in the
	 * log.
	 */
	private static final ControlCommand NO_OP_COMMAND = new ForgetRequests(0);

	private final ControlSettings settings;

	private final CommandLog log;

	private final ControlStateMachine machine;

	private final MonotonicClock clock;

	private final WallClock wallClock;

	private final PackedChanges packedChanges = new PackedChanges();

	private volatile CompleteView completeView;

	private final ScheduledExecutorService executor;

	private volatile boolean started;

	private Leadership leadership;

	/**
	 * Creates a controller.
	 * @param settings settings of the control role
	 * @param log replicated log that applies its commands to the state machine
	 * @param machine holder of the state
	 * @param clock monotonic clock
	 * @param wallClock wall clock, read only to initialize the ledger time of a new
	 * cluster
	 */
	public ControlController(ControlSettings settings, CommandLog log, ControlStateMachine machine,
			MonotonicClock clock, WallClock wallClock) {
		this.settings = Objects.requireNonNull(settings, "settings must not be null");
		this.log = Objects.requireNonNull(log, "log must not be null");
		this.machine = Objects.requireNonNull(machine, "machine must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.wallClock = Objects.requireNonNull(wallClock, "wallClock must not be null");
		this.executor = Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread thread = new Thread(task, "control-controller");
			thread.setDaemon(true);
			return thread;
		});
	}

	/**
	 * Starts submitting due commands at regular intervals.
	 */
	public void start() {
		this.started = true;
		this.executor.scheduleWithFixedDelay(this::tickSafely, 0, this.settings.tickMilliseconds(),
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops submitting due commands.
	 */
	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	/**
	 * Handles a heartbeat of an entry daemon. Registers the daemon first if necessary.
	 * @param request the heartbeat
	 * @return the answer; contains a lease only if this member still has authority after
	 * the answer was computed; never fails
	 */
	public CompletableFuture<HeartbeatAnswer> heartbeat(HeartbeatRequest request) {
		return answerWithUnpackedChange(request).thenApply((answer) -> this.packedChanges.pack(request, answer));
	}

	private CompletableFuture<HeartbeatAnswer> answerWithUnpackedChange(HeartbeatRequest request) {
		Leadership current = currentLeadership();
		if (current == null) {
			return withoutLeadership(request);
		}
		if (current.isReady()) {
			return answer(current, request).exceptionally((failure) -> withoutLease(null));
		}
		return current.ready()
			.thenCompose((ledgerClock) -> answer(current, request))
			.exceptionally((failure) -> withoutLease(null));
	}

	// A daemon without a view asks again as soon as it is answered. While no leader is
	// known, the answers are delayed, so that the requests of a restarted fleet leave
	// time for the election.
	private CompletableFuture<HeartbeatAnswer> withoutLeadership(HeartbeatRequest request) {
		if (request.viewVersion() > 0 || !leaderAddress().isEmpty()) {
			return CompletableFuture.completedFuture(withoutLease(null));
		}
		CompletableFuture<HeartbeatAnswer> answer = new CompletableFuture<>();
		try {
			this.executor.schedule(() -> answer.complete(withoutLease(null)), NO_LEADER_ANSWER_DELAY_MILLISECONDS,
					TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			// The controller is closed.
			answer.complete(withoutLease(null));
		}
		return answer;
	}

	private CompletableFuture<HeartbeatAnswer> answer(Leadership current, HeartbeatRequest request) {
		DaemonView registered = this.machine.state().daemons().get(request.daemon());
		if (registered != null && !registered.incarnation().equals(request.incarnation())) {
			return CompletableFuture.completedFuture(withoutLease(viewChangeFor(this.machine.state(), request)));
		}
		if (registered != null && matchesRegistration(registered, request)) {
			return CompletableFuture.completedFuture(grantLease(current, request));
		}
		ControlCommand register = new RegisterDaemon(request.daemon(), request.incarnation(), request.peerAddress(),
				request.availabilityZone(), request.draining());
		if (!current.markInProgress(register)) {
			return CompletableFuture.completedFuture(withoutLease(null));
		}
		return submit(current, register).thenApply((result) -> grantLease(current, request));
	}

	private static boolean matchesRegistration(DaemonView registered, HeartbeatRequest request) {
		return registered.peerAddress().equals(request.peerAddress())
				&& registered.availabilityZone().equals(request.availabilityZone())
				&& (registered.draining() || !request.draining());
	}

	private HeartbeatAnswer grantLease(Leadership current, HeartbeatRequest request) {
		// Check before granting: a recorded lease that the daemon does not receive would
		// delay the reassignment of its groups. A daemon with a later view has received
		// it from a later leader.
		if (request.viewVersion() > this.machine.state().viewVersion()) {
			return withoutLease(null);
		}
		long now = this.clock.nanoseconds();
		if (!current.grant(request, now)) {
			return withoutLease(null);
		}
		// Read the state after granting: a daemon that is forgotten later was suspended
		// before it, and a daemon that was forgotten earlier is no longer registered in
		// this state.
		ControlState state = this.machine.state();
		DaemonView registered = state.daemons().get(request.daemon());
		if (registered == null || !registered.incarnation().equals(request.incarnation())) {
			return withoutLease(null);
		}
		current.report(state, request, now);
		submitReleases(current, state, request);
		submitAnnouncements(current, state, request);
		FleetViewChange change = viewChangeFor(state, request);
		if (!hasAuthority(current)) {
			return withoutLease(null);
		}
		// Under a lease the daemon must not act on records that the following parts of
		// the change replace.
		if (change != null && change.partial()) {
			return withoutLease(change);
		}
		return new HeartbeatAnswer(this.settings.leaseTiming().leaseMilliseconds(), leaderAddress(), change,
				this.log.voterAddresses());
	}

	private FleetViewChange viewChangeFor(ControlState state, HeartbeatRequest request) {
		if (request.viewVersion() >= state.viewVersion()) {
			return null;
		}
		if (request.viewVersion() > 0) {
			return state.changeSince(request.viewVersion(), request.removalsVersion());
		}
		CompleteView known = this.completeView;
		if (known == null || known.state() != state) {
			known = new CompleteView(state, state.changeSince(0, request.removalsVersion()));
			this.completeView = known;
		}
		return known.change();
	}

	private HeartbeatAnswer withoutLease(FleetViewChange change) {
		return new HeartbeatAnswer(0, leaderAddress(), change);
	}

	private void submitReleases(Leadership current, ControlState state, HeartbeatRequest request) {
		for (OwnedGroupReport report : request.ownedGroups()) {
			boolean owned = state.group(report.group())
				.filter((group) -> group.owner().equals(request.daemon()) && group.ownerEpoch() == report.ownerEpoch())
				.isPresent();
			if (report.released() && owned) {
				submitUnlessInProgress(current, new ReleaseOwner(report.group(), report.ownerEpoch()));
			}
		}
	}

	private void submitAnnouncements(Leadership current, ControlState state, HeartbeatRequest request) {
		for (MemberDescription member : request.announcements()) {
			boolean known = state.group(member.group())
				.flatMap((group) -> group.member(member.member()))
				.filter(member::equals)
				.isPresent();
			if (!known) {
				submitUnlessInProgress(current, new AnnounceMember(member));
			}
		}
	}

	private void submitUnlessInProgress(Leadership current, ControlCommand command) {
		if (current.markInProgress(command)) {
			submit(current, command).thenRun(this::tickSoon);
		}
	}

	/**
	 * Grants tokens of client accounts to an entry daemon.
	 * @param request the request
	 * @return the answer; contains grants only if this member still has authority after
	 * they were computed
	 */
	public QuotaAnswer grantTokens(QuotaRequest request) {
		Leadership current = currentLeadership();
		if (current == null || !current.isReady()) {
			return QuotaAnswer.notLeader(leaderAddress());
		}
		List<QuotaGrant> grants = current.grantTokens(request, this.machine.state(), this.clock.nanoseconds());
		return hasAuthority(current) ? new QuotaAnswer(leaderAddress(), true, grants)
				: QuotaAnswer.notLeader(leaderAddress());
	}

	/**
	 * Submits a command of an entry daemon or an operator.
	 * @param request the command
	 * @return the answer; never fails
	 */
	public CompletableFuture<SubmitCommandAnswer> submit(SubmitCommandRequest request) {
		ControlCommand command = request.command();
		if (command == null || !PERMITTED_COMMANDS.contains(command.getClass())) {
			CommandResult refused = CommandResult.refused(ErrorCode.BAD_REQUEST,
					"only the control leader may submit this command", this.machine.state().viewVersion());
			return CompletableFuture.completedFuture(new SubmitCommandAnswer(refused, null, leaderAddress()));
		}
		Leadership current = currentLeadership();
		if (current == null) {
			return CompletableFuture
				.completedFuture(new SubmitCommandAnswer(null, ErrorCode.NOT_LEADER, leaderAddress()));
		}
		return current.ready().handle((ledgerClock, failure) -> {
			if (failure != null) {
				throw notLeader();
			}
			return withForgetDeadline(command, ledgerClock);
		})
			.thenCompose(this::submitToLog)
			.handle((result, failure) -> new SubmitCommandAnswer(result, (failure != null) ? codeOf(failure) : null,
					leaderAddress()));
	}

	private ControlCommand withForgetDeadline(ControlCommand command, LedgerClock ledgerClock) {
		if (command instanceof BeginRequest begin) {
			long deadline = ledgerClock.milliseconds() + this.settings.requestRetentionMilliseconds();
			return new BeginRequest(begin.group(), begin.ownerEpoch(), begin.attempt(), begin.key(), begin.digest(),
					deadline);
		}
		return command;
	}

	/**
	 * Returns the state of this control daemon.
	 * @return the state; the view versions confirmed by daemons are empty unless this
	 * member is the leader
	 */
	public ViewAnswer view() {
		Leadership current = currentLeadership();
		boolean leader = current != null && current.isReady();
		Map<String, Long> versions = leader ? current.confirmedVersions(this.clock.nanoseconds()) : Map.of();
		return new ViewAnswer(this.settings.name(), leader && hasAuthority(current), leaderAddress(), this.log.term(),
				this.log.commitIndex(), this.log.appliedIndex(), this.log.voters(), this.machine.state().view(),
				versions);
	}

	/**
	 * Returns a state that includes every change acknowledged before this call. Commits a
	 * command without effect first, because a process that was suspended may not have
	 * noticed that its authority has expired.
	 * @return the fleet view; fails with {@code NOT_LEADER} if this member is not the
	 * leader
	 */
	public CompletableFuture<FleetView> confirmedView() {
		Leadership current = currentLeadership();
		if (current == null) {
			return CompletableFuture.failedFuture(notLeader());
		}
		return current.ready()
			.thenCompose((ledgerClock) -> submitToLog(NO_OP_COMMAND))
			.thenApply((result) -> this.machine.state().view());
	}

	/**
	 * Submits the commands that are due if this member is the leader.
	 */
	public void tick() {
		Leadership current = currentLeadership();
		if (current == null || !current.isReady()) {
			return;
		}
		long now = this.clock.nanoseconds();
		List<ControlCommand> due = current.due(this.machine::state, now);
		List<CompletableFuture<CommandResult>> results = new ArrayList<>();
		for (ControlCommand command : due) {
			LogEvent.CONTROL_DECISION.log(LOGGER, command);
			results.add(submit(current, command));
		}
		if (due.stream().anyMatch(ForgetDaemon.class::isInstance)) {
			// Assign the groups of forgotten daemons without waiting for the next tick.
			CompletableFuture.allOf(results.toArray(CompletableFuture<?>[]::new)).thenRun(this::tickSoon);
		}
		if (current.isForgetRequestsDue(now, FORGET_REQUESTS_INTERVAL_NANOSECONDS)) {
			submit(current, new ForgetRequests(current.ready().join().milliseconds()));
		}
	}

	private void tickSafely() {
		try {
			tick();
		}
		catch (RuntimeException | Error ex) {
			LogEvent.CONTROL_TICK_FAILED.log(LOGGER, ex);
		}
	}

	private void tickSoon() {
		if (!this.started) {
			return;
		}
		try {
			this.executor.execute(this::tickSafely);
		}
		catch (RejectedExecutionException ex) {
			// The controller is closed.
			return;
		}
	}

	/**
	 * Returns the current leadership, and creates a new one if this member has become
	 * leader since the last call or the previous one failed to become ready.
	 * @return the leadership, or {@code null} if this member has no authority
	 */
	private synchronized Leadership currentLeadership() {
		if (!this.log.hasAuthority()) {
			return null;
		}
		long term = this.log.term();
		long since = this.log.leaderSince();
		boolean reusable = this.leadership != null && this.leadership.matches(term, since)
				&& !this.leadership.ready().isCompletedExceptionally();
		if (!reusable) {
			CompletableFuture<LedgerClock> ready = submitToLog(NO_OP_COMMAND).thenApply(
					(result) -> new LedgerClock(this.machine.state().ledger().time(), this.wallClock, this.clock));
			this.leadership = new Leadership(term, since, this.settings, ready);
		}
		return this.leadership;
	}

	private boolean hasAuthority(Leadership current) {
		return current.matches(this.log.term(), this.log.leaderSince()) && this.log.hasAuthority();
	}

	private CompletableFuture<CommandResult> submit(Leadership current, ControlCommand command) {
		CompletableFuture<CommandResult> submitted = hasAuthority(current) ? submitToLog(command)
				: CompletableFuture.failedFuture(notLeader());
		return submitted.whenComplete((result, failure) -> {
			if (failure == null || codeOf(failure) == ErrorCode.NOT_LEADER) {
				current.markFinished(command);
			}
			if (failure == null && !result.isAccepted()) {
				LogEvent.CONTROL_COMMAND_REFUSED.log(LOGGER, command, result.message());
			}
		});
	}

	private CompletableFuture<CommandResult> submitToLog(ControlCommand command) {
		try {
			return this.log.submit(command);
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private String leaderAddress() {
		return this.log.leaderAddress().orElse("");
	}

	private static MagnolialeadException notLeader() {
		return new MagnolialeadException(ErrorCode.NOT_LEADER, Step.CONTROL, "",
				"this control daemon is not the leader");
	}

	private static ErrorCode codeOf(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause()
				: failure;
		boolean notAppended = cause instanceof MagnolialeadException known && known.code() == ErrorCode.NOT_LEADER;
		return notAppended ? ErrorCode.NOT_LEADER : ErrorCode.COMMAND_UNKNOWN;
	}

	/**
	 * First part of the complete view of a state, which all daemons of a restarted fleet
	 * request.
	 *
	 * @param state the state
	 * @param change the change from an empty view
	 */
	private record CompleteView(ControlState state, FleetViewChange change) {
	}

}
