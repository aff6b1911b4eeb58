package org.magnolialead.daemon.owner;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.MemberStatus;
import org.magnolialead.api.Profile;
import org.magnolialead.api.Step;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.api.message.ExecuteRequest;
import org.magnolialead.api.message.OwnedGroupReport;
import org.magnolialead.daemon.entry.Failures;
import org.magnolialead.engine.owner.FailoverAction;
import org.magnolialead.engine.owner.FailoverDecision;
import org.magnolialead.engine.owner.FailoverEvent;
import org.magnolialead.transport.member.MemberResponse;

/**
 * Owner of one database group for one owner epoch. Feeds events to the failover decision,
 * performs its actions and runs the statements of the group.
 */
final class GroupOwnerController implements MemberPoller.Listener {

	private static final System.Logger LOGGER = System.getLogger(GroupOwnerController.class.getName());

	private static final long TICK_INTERVAL_MILLISECONDS = 20;

	private static final long MEMBER_COMMAND_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long CONTROL_COMMAND_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_000);

	private final GroupContext context;

	private final GroupMembers members;

	private final StatementRunner runner;

	private final long startedAt;

	private ScheduledFuture<?> ticks;

	private Optional<FailoverDecision.Primary> lastPrimary = Optional.empty();

	private volatile boolean draining;

	private volatile boolean released;

	private volatile int reachableMembers;

	GroupOwnerController(OwnerServices services, FleetView fleetView, GroupView view) {
		this.context = new GroupContext(services, fleetView, view);
		this.members = new GroupMembers(services, this.context.serial(), this);
		this.runner = new StatementRunner(this.context, this.members);
		this.startedAt = services.now();
		this.reachableMembers = view.members().size();
	}

	long ownerEpoch() {
		return this.context.ownerEpoch();
	}

	void start() {
		LogEvent.OWNERSHIP_STARTED.log(LOGGER, this.context.group(), this.context.ownerEpoch());
		this.context.serial().execute(() -> {
			this.members.update(this.context.view());
			this.runner.start();
		});
		this.ticks = this.context.services()
			.timer()
			.scheduleAtFixedRate(() -> this.context.serial().execute(this::tick), TICK_INTERVAL_MILLISECONDS,
					TICK_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Executes a request of a caller.
	 * @param request the request
	 * @param deadline time of the monotonic clock in nanoseconds at which the caller
	 * stops waiting
	 * @return the answer; never fails, errors are part of the answer
	 */
	CompletableFuture<ExecuteAnswer> execute(ExecuteRequest request, long deadline) {
		CompletableFuture<ExecuteAnswer> answer = new CompletableFuture<>();
		this.context.serial().execute(() -> accept(request, deadline, answer));
		return answer;
	}

	void viewChanged(FleetView fleetView, GroupView view) {
		this.context.serial().execute(() -> {
			if (view.version() < this.context.view().version()) {
				return;
			}
			this.context.viewChanged(fleetView, view).forEach(this.runner.outcomes()::confirmationEnded);
			this.members.update(this.context.view());
			decide(List.of(new FailoverEvent.GroupChanged(this.context.view())));
		});
	}

	/**
	 * Finishes the work in progress and rejects new requests, so that the group can move
	 * to another owner.
	 */
	void drain() {
		if (!this.draining) {
			this.draining = true;
			this.context.serial().execute(this.runner::rejectQueued);
		}
	}

	/**
	 * Ends the ownership immediately. Nothing is acknowledged after this method returns.
	 * @param reason why the ownership ends, for the log
	 */
	void stop(String reason) {
		if (this.context.isStopped()) {
			return;
		}
		this.context.stop();
		LogEvent.OWNERSHIP_ENDED.log(LOGGER, this.context.group(), this.context.ownerEpoch(), reason);
		this.ticks.cancel(false);
		this.context.serial().execute(() -> {
			this.runner.stop();
			this.members.close();
		});
	}

	OwnedGroupReport report() {
		return new OwnedGroupReport(this.context.group(), this.context.ownerEpoch(), this.released,
				this.reachableMembers);
	}

	@Override
	public void statusAnswered(MemberDescription member, MemberStatus status, LogPosition applied, long sentAt,
			boolean becameReachable) {
		if (becameReachable) {
			LogEvent.MEMBER_REACHABLE.log(LOGGER, this.context.group(), member.member(), status.role(), status.term());
		}
		long now = this.context.now();
		// Reads depend on the applied position; confirmations and promotions depend on
		// the received position.
		MemberStatus readStatus = new MemberStatus(status.group(), status.member(), status.role(), status.term(),
				applied);
		this.context.positions().statusAnswered(readStatus, sentAt, now, this.context.view());
		this.context.confirmations()
			.positionReported(member.member(), status.position())
			.forEach(this.runner.outcomes()::confirmationEnded);
		decide(List.of(new FailoverEvent.StatusAnswered(status, sentAt, now)));
		setSessionFloor(status, sentAt);
		this.reachableMembers = this.members.reachableCount();
		this.runner.expireAndDispatch();
	}

	@Override
	public void statusFailed(MemberDescription member, Throwable failure) {
		LogEvent.MEMBER_UNREACHABLE.log(LOGGER, this.context.group(), member.member(),
				Failures.unwrap(failure).getMessage());
		this.reachableMembers = this.members.reachableCount();
	}

	private void accept(ExecuteRequest request, long deadline, CompletableFuture<ExecuteAnswer> answer) {
		boolean continuesTransaction = !request.transaction().isEmpty();
		if (this.context.isStopped() || this.released || (this.draining && !continuesTransaction)) {
			answer.complete(ExecuteAnswer.failed(new MagnolialeadException(ErrorCode.NOT_OWNER, Step.FORWARD, "",
					"the group is moving to another owner")));
			return;
		}
		Profile profile = this.context.configuration().profiles().get(request.profile());
		if (profile == null) {
			answer.complete(ExecuteAnswer.failed(new MagnolialeadException(ErrorCode.UNKNOWN_PROFILE, Step.PROFILE, "",
					"profile \"%s\" does not exist".formatted(request.profile()))));
			return;
		}
		PendingRequest pending = new PendingRequest(request, profile, deadline);
		pending.answer().thenAccept(answer::complete);
		this.runner.submit(pending);
	}

	private void tick() {
		if (this.context.isStopped()) {
			return;
		}
		decide(List.of());
		this.runner.expireAndDispatch();
		if (this.draining && this.runner.inProgress() == 0) {
			this.released = true;
		}
	}

	/**
	 * Sets the session floor, which is the least position that reads require for sessions
	 * unknown to this owner. Only a status of the primary that was requested after the
	 * ownership began includes all writes acknowledged by earlier owners.
	 * @param status status of a member
	 * @param sentAt time of the monotonic clock in nanoseconds at which the status was
	 * requested
	 */
	private void setSessionFloor(MemberStatus status, long sentAt) {
		boolean fromPrimary = this.context.servingPrimary(this.context.now())
			.filter((primary) -> primary.member().equals(status.member()) && primary.term() == status.term())
			.isPresent();
		if (fromPrimary && !this.context.sessions().floorKnown() && sentAt - this.startedAt > 0) {
			this.context.sessions().raiseFloor(status.position());
		}
	}

	private void decide(List<FailoverEvent> events) {
		FailoverDecision.Transition transition = this.context.failover().next(events, this.context.now());
		this.context.failover(transition.decision());
		for (FailoverAction action : transition.actions()) {
			perform(action);
		}
		recordPrimaryChange();
	}

	private void recordPrimaryChange() {
		Optional<FailoverDecision.Primary> primary = this.context.failover().primary();
		if (primary.equals(this.lastPrimary)) {
			return;
		}
		this.lastPrimary = primary;
		primary.ifPresent((current) -> {
			this.context.primaryConfirmed(current.term(), current.member());
			LogEvent.PRIMARY_CONFIRMED.log(LOGGER, this.context.group(), current.member(), current.term());
		});
	}

	private void perform(FailoverAction action) {
		if (action instanceof FailoverAction.Seal seal) {
			LogEvent.TERM_SEALED.log(LOGGER, this.context.group(), seal.term());
			this.runner.sealed(seal.term());
			return;
		}
		if (!this.context.isActiveOwner()) {
			return;
		}
		if (action instanceof FailoverAction.Reserve reserve) {
			reserve(reserve);
		}
		else if (action instanceof FailoverAction.Promote promote) {
			promote(promote);
		}
		else if (action instanceof FailoverAction.Follow follow) {
			sendCommand(follow.member(), "/follow", MemberCalls.followBody(follow.term(), follow.primaryAddress()));
		}
		else if (action instanceof FailoverAction.Confirm confirm) {
			confirm(confirm);
		}
	}

	private void reserve(FailoverAction.Reserve reserve) {
		ControlCommand command = new ControlCommand.ReservePromotion(this.context.group(), this.context.ownerEpoch(),
				reserve.expectedReservedTerm(), reserve.newTerm(), reserve.candidate());
		submit(command, (accepted) -> new FailoverEvent.ReserveAnswered(reserve.newTerm(), accepted));
	}

	private void confirm(FailoverAction.Confirm confirm) {
		ControlCommand command = new ControlCommand.ConfirmPrimary(this.context.group(), this.context.ownerEpoch(),
				confirm.term(), confirm.primary());
		submit(command, (accepted) -> new FailoverEvent.ConfirmAnswered(confirm.term(), accepted));
	}

	private void submit(ControlCommand command, CommandResultEvent event) {
		long deadline = this.context.now() + CONTROL_COMMAND_TIMEOUT_NANOSECONDS;
		this.context.services().control().submit(command, deadline).whenCompleteAsync((result, failure) -> {
			boolean accepted = failure == null && result.isAccepted();
			decide(List.of(event.of(accepted)));
			this.runner.expireAndDispatch();
		}, this.context.serial());
	}

	private void promote(FailoverAction.Promote promote) {
		LogEvent.PROMOTION_ORDERED.log(LOGGER, this.context.group(), promote.member(), promote.term());
		sendCommand(promote.member(), "/promote", MemberCalls.termBody(promote.term()))
			.whenCompleteAsync((reply, failure) -> promotionAnswered(promote, reply, failure), this.context.serial());
	}

	private void promotionAnswered(FailoverAction.Promote promote, MemberResponse reply, Throwable failure) {
		boolean accepted = failure == null && MemberCalls.isSuccess(reply);
		if (!accepted) {
			String cause = (failure != null) ? Failures.unwrap(failure).getMessage() : MemberCalls.message(reply);
			LogEvent.PROMOTION_FAILED.log(LOGGER, this.context.group(), promote.member(), promote.term(), cause);
		}
		decide(List.of(new FailoverEvent.PromoteAnswered(promote.member(), promote.term(), accepted)));
	}

	private CompletableFuture<MemberResponse> sendCommand(String member, String path, byte[] body) {
		MemberPoller poller = this.members.poller(member);
		if (poller == null) {
			return CompletableFuture.failedFuture(new MagnolialeadException(ErrorCode.UNREACHABLE, Step.PROMOTE, member,
					"the member was removed from the group"));
		}
		return poller.sendCommand(path, body, this.context.now() + MEMBER_COMMAND_TIMEOUT_NANOSECONDS);
	}

	/**
	 * Converts the result of a control command into a failover event.
	 */
	private interface CommandResultEvent {

		FailoverEvent of(boolean accepted);

	}

}
