package org.magnolialead.ctl.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MemberRole;
import org.magnolialead.api.MemberStatus;
import org.magnolialead.api.Rank;
import org.magnolialead.engine.owner.Admission;
import org.magnolialead.engine.owner.ConfirmationTracker;
import org.magnolialead.engine.owner.Dispatch;
import org.magnolialead.engine.owner.FailoverAction;
import org.magnolialead.engine.owner.FailoverDecision;
import org.magnolialead.engine.owner.FailoverEvent;
import org.magnolialead.engine.owner.GroupScheduler;
import org.magnolialead.engine.owner.MemberPositions;
import org.magnolialead.engine.owner.MemberSelector;
import org.magnolialead.engine.owner.SchedulerSettings;
import org.magnolialead.engine.owner.SessionPositions;
import org.magnolialead.engine.owner.WorkItem;

/**
 * Drives the decision classes of the engine for one group, as the owner of the group
 * does. The control plane is modelled by its response time.
 */
final class SimulatedOwner {

	private static final long STATUS_POLL_DELAY_NANOSECONDS = VirtualClock.NANOSECONDS_PER_MILLISECOND / 2;

	private static final long STATUS_POLL_TIMEOUT_NANOSECONDS = 400 * VirtualClock.NANOSECONDS_PER_MILLISECOND;

	private static final long STATUS_POLL_RETRY_DELAY_NANOSECONDS = 50 * VirtualClock.NANOSECONDS_PER_MILLISECOND;

	private static final long TICK_INTERVAL_NANOSECONDS = 10 * VirtualClock.NANOSECONDS_PER_MILLISECOND;

	/** Time that control daemons take to sync a command to disk. */
	private static final long COMMAND_SYNC_NANOSECONDS = 2 * VirtualClock.NANOSECONDS_PER_MILLISECOND;

	private static final long RESERVATION_TIMEOUT_NANOSECONDS = 500 * VirtualClock.NANOSECONDS_PER_MILLISECOND;

	private final SimulatedGroup group;

	private final VirtualClock clock;

	private final SlotShare share;

	private final PromotionTiming promotionTiming;

	private final GroupScheduler<Request> scheduler;

	private final MemberPositions positions;

	private final SessionPositions sessions = new SessionPositions(SessionPositions.DEFAULT_CAPACITY);

	private final ConfirmationTracker<Request> confirmations = new ConfirmationTracker<>();

	private final Map<String, Integer> idleConnections = new HashMap<>();

	private final Map<String, Integer> openConnections = new HashMap<>();

	private final List<FailoverEvent> failoverEvents = new ArrayList<>();

	private final Map<String, MemberSelector> unconstrainedReadSelectors = new HashMap<>();

	private final MemberSelector primarySelector;

	private FailoverDecision failover;

	private Consumer<Request> acknowledgementListener = (request) -> {
	};

	private PhaseStatistics statistics = new PhaseStatistics();

	private boolean active = true;

	private OptionalLong sealedAt = OptionalLong.empty();

	SimulatedOwner(SimulatedGroup group, OwnerPolicies policies, SlotShare share, PromotionTiming promotionTiming) {
		this.group = group;
		this.clock = group.clock();
		this.share = share;
		this.promotionTiming = promotionTiming;
		this.scheduler = new GroupScheduler<>(policies.scheduling(), SchedulerSettings.of(policies.configuration()));
		this.positions = new MemberPositions(policies.reads());
		this.failover = FailoverDecision.takeOver(group.view(), this.clock.now());
		this.primarySelector = (now) -> servingPrimary(now).map(List::of).orElse(List.of());
		this.confirmations.members(group.members().keySet());
		group.members().values().forEach(this::pollStatus);
		this.clock.schedule(TICK_INTERVAL_NANOSECONDS, this::tick);
	}

	void onAcknowledged(Consumer<Request> listener) {
		this.acknowledgementListener = listener;
	}

	/**
	 * Sets the statistics that record slot time from now on.
	 * @param changed statistics of the current phase
	 */
	void recordInto(PhaseStatistics changed) {
		this.statistics = changed;
	}

	/** Stops immediately, like a process that is killed. */
	void crash() {
		this.active = false;
		this.openConnections.forEach((member, number) -> this.group.member(member).connectionsClosed(number));
	}

	void submit(Request request) {
		if (!this.active) {
			return;
		}
		long now = this.clock.now();
		WorkItem<Request> item = new WorkItem<>(request, request.rank(), now, request.deadline(),
				memberSelector(request));
		applyCapacity(now);
		if (this.scheduler.offer(item, now) instanceof Admission.Refused) {
			request.refused(now);
		}
		dispatchWaiting();
	}

	private MemberSelector memberSelector(Request request) {
		if (request.requestClass().write()) {
			return this.primarySelector;
		}
		Optional<LogPosition> required = this.sessions.required(request.session());
		LogPosition position = required.orElse(LogPosition.NONE);
		if (required.isPresent() && position.equals(LogPosition.NONE)) {
			return this.unconstrainedReadSelectors.computeIfAbsent(request.requestClass().profileName(),
					(name) -> readSelector(request, position, true));
		}
		return readSelector(request, position, required.isPresent());
	}

	private MemberSelector readSelector(Request request, LogPosition required, boolean floorKnown) {
		return (now) -> this.positions.eligibleForRead(request.requestClass().profile(), required, floorKnown,
				this.group.view(), now, this.scheduler::running);
	}

	private Optional<String> servingPrimary(long now) {
		return this.failover.primary()
			.map(FailoverDecision.Primary::member)
			.filter((name) -> this.positions.primary(this.group.view(), now).filter(name::equals).isPresent());
	}

	/** Closes surplus connections after the share has shrunk. */
	void shareChanged() {
		applyCapacity(this.clock.now());
	}

	private void applyCapacity(long now) {
		Map<String, Integer> slots = new HashMap<>();
		this.group.members().keySet().forEach((name) -> slots.put(name, this.share.availableSlots(name, now)));
		this.scheduler.capacity(slots);
		this.group.members().keySet().forEach(this::closeSurplus);
	}

	// A daemon whose share has shrunk closes only idle connections.
	private void closeSurplus(String member) {
		int surplus = this.openConnections.getOrDefault(member, 0) - this.share.connections();
		int closed = Math.min(surplus, this.idleConnections.getOrDefault(member, 0));
		if (closed > 0) {
			this.openConnections.merge(member, -closed, Integer::sum);
			this.idleConnections.merge(member, -closed, Integer::sum);
			this.group.member(member).connectionsClosed(closed);
		}
	}

	/** Dispatches as much waiting work as the share of the daemon permits. */
	void dispatchWaiting() {
		boolean waiting = false;
		for (Rank rank : Rank.values()) {
			waiting |= this.scheduler.waiting(rank) > 0;
		}
		if (!this.active || !waiting) {
			return;
		}
		long now = this.clock.now();
		applyCapacity(now);
		this.scheduler.removeExpired(now).forEach(Request::expired);
		this.scheduler.dispatch(now).forEach(this::start);
	}

	private void start(Dispatch<Request> dispatch) {
		String name = dispatch.member();
		int idle = this.idleConnections.getOrDefault(name, 0);
		long delay = 0;
		if (idle > 0) {
			this.idleConnections.put(name, idle - 1);
		}
		else {
			int open = this.openConnections.merge(name, 1, Integer::sum);
			if (open > this.share.connections()) {
				throw new IllegalStateException("more connections than the share permits: " + open);
			}
			this.group.member(name).connectionOpened();
			delay = Deployment.CONNECT_NANOSECONDS;
		}
		this.clock.schedule(delay + oneWayDelay(), () -> execute(dispatch));
	}

	private void execute(Dispatch<Request> dispatch) {
		SimulatedMember member = this.group.member(dispatch.member());
		Request request = dispatch.work();
		long serviceNanoseconds = this.group.sampleServiceNanoseconds();
		boolean[] answered = new boolean[1];
		// A crashed member does not answer; the owner frees the slot at the deadline.
		this.clock.schedule(Math.max(0, request.deadline() - this.clock.now()), () -> {
			if (!answered[0] && !member.isAlive()) {
				timedOut(dispatch);
			}
		});
		member.execute(serviceNanoseconds, () -> {
			boolean write = request.requestClass().write();
			LogPosition position = write ? this.group.write(member) : member.applied();
			answered[0] = true;
			this.clock.schedule(oneWayDelay(), () -> answered(dispatch, position, serviceNanoseconds));
		});
	}

	private void timedOut(Dispatch<Request> dispatch) {
		if (this.active) {
			this.scheduler.finished(dispatch, this.clock.now());
			dispatch.work().expired();
			this.idleConnections.merge(dispatch.member(), 1, Integer::sum);
			dispatchWaiting();
		}
	}

	private void answered(Dispatch<Request> dispatch, LogPosition position, long serviceNanoseconds) {
		if (!this.active) {
			return;
		}
		long now = this.clock.now();
		Request request = dispatch.work();
		this.scheduler.finished(dispatch, now);
		this.share.recordUsage(dispatch, serviceNanoseconds);
		this.idleConnections.merge(dispatch.member(), 1, Integer::sum);
		this.statistics.recordSlotTime(request.rank(), serviceNanoseconds, request.deadline() - now < 0);
		if (!request.requestClass().write()) {
			done(request, !dispatch.member().equals(this.group.view().primary()));
		}
		else if (this.failover.mayAcknowledge(position.term())) {
			this.sessions.recordWrite(request.session(), position);
			ConfirmationTracker.Pending<Request> pending = this.confirmations.register(position, request.deadline(),
					dispatch.member(), request);
			if (pending.state() == ConfirmationTracker.State.CONFIRMED) {
				acknowledge(pending);
			}
		}
		dispatchWaiting();
	}

	private void acknowledge(ConfirmationTracker.Pending<Request> pending) {
		if (this.failover.mayAcknowledge(pending.position().term())) {
			done(pending.work(), false);
			this.acknowledgementListener.accept(pending.work());
		}
	}

	private void done(Request request, boolean byReplica) {
		this.clock.schedule(oneWayDelay(), () -> request.done(byReplica, this.clock.now()));
	}

	private void pollStatus(SimulatedMember member) {
		pollStatus(member, LogPosition.NONE);
	}

	private void pollStatus(SimulatedMember member, LogPosition known) {
		if (!this.active) {
			return;
		}
		long sentAt = this.clock.now();
		boolean[] answered = new boolean[1];
		this.clock.schedule(oneWayDelay(),
				() -> member.status(known, (status) -> this.clock.schedule(oneWayDelay(), () -> {
					answered[0] = true;
					statusAnswered(status, sentAt);
					this.clock.schedule(STATUS_POLL_DELAY_NANOSECONDS,
							() -> pollStatus(member, status.status().position()));
				})));
		this.clock.schedule(STATUS_POLL_TIMEOUT_NANOSECONDS, () -> {
			if (!answered[0]) {
				this.clock.schedule(STATUS_POLL_RETRY_DELAY_NANOSECONDS, () -> pollStatus(member, LogPosition.NONE));
			}
		});
	}

	private void statusAnswered(SimulatedMember.Status answer, long sentAt) {
		if (!this.active) {
			return;
		}
		long now = this.clock.now();
		MemberStatus status = answer.status();
		this.positions.statusAnswered(answer.withAppliedPosition(), sentAt, now, this.group.view());
		this.failoverEvents.add(new FailoverEvent.StatusAnswered(status, sentAt, now));
		if (status.role() == MemberRole.PRIMARY && !this.sessions.floorKnown()) {
			this.sessions.raiseFloor(status.position());
		}
		this.confirmations.positionReported(status.member(), status.position()).forEach(this::acknowledge);
		dispatchWaiting();
	}

	private void tick() {
		if (this.active) {
			this.confirmations.removeExpired(this.clock.now()).forEach((pending) -> pending.work().expired());
			decideFailover();
			dispatchWaiting();
			this.clock.schedule(TICK_INTERVAL_NANOSECONDS, this::tick);
		}
	}

	private void decideFailover() {
		FailoverDecision.Transition transition = this.failover.next(this.failoverEvents, this.clock.now());
		this.failoverEvents.clear();
		this.failover = transition.decision();
		transition.actions().forEach(this::perform);
	}

	private void perform(FailoverAction action) {
		if (action instanceof FailoverAction.Seal seal) {
			long now = this.clock.now();
			this.sealedAt = OptionalLong.of(this.sealedAt.orElse(now));
			this.confirmations.sealTerm(seal.term()).forEach((pending) -> pending.work().expired());
			this.group.members().values().forEach((member) -> queryPosition(member, now));
		}
		else if (action instanceof FailoverAction.Reserve reservation) {
			reserve(reservation);
		}
		else if (action instanceof FailoverAction.Promote promotion) {
			promote(promotion);
		}
		else if (action instanceof FailoverAction.Follow follow) {
			SimulatedMember member = this.group.member(follow.member());
			this.clock.schedule(oneWayDelay(), () -> {
				if (member.term() < follow.term()) {
					member.changeRole(MemberRole.REPLICA, follow.term());
				}
			});
		}
		else if (action instanceof FailoverAction.Confirm confirmation) {
			this.sealedAt = OptionalLong.empty();
			submitToControl(0, () -> {
				this.group.confirmPrimary(confirmation.term(), confirmation.primary());
				return new FailoverEvent.ConfirmAnswered(confirmation.term(), true);
			});
		}
	}

	// A reservation is accepted at the earliest permitted time, or refused at once if the
	// owner would abandon it earlier.
	private void reserve(FailoverAction.Reserve reservation) {
		long earliestReservation = this.promotionTiming.earliestReservation(this.sealedAt.orElse(this.clock.now()));
		long delay = Math.max(0, earliestReservation - this.clock.now());
		boolean withinTimeout = delay < RESERVATION_TIMEOUT_NANOSECONDS;
		submitToControl(withinTimeout ? delay : 0, () -> {
			if (withinTimeout) {
				this.group.reservePromotion(reservation.newTerm(), reservation.candidate());
			}
			return new FailoverEvent.ReserveAnswered(reservation.newTerm(), withinTimeout);
		});
	}

	private void queryPosition(SimulatedMember member, long sentAt) {
		this.clock.schedule(oneWayDelay(), () -> member.status(LogPosition.NONE,
				(status) -> this.clock.schedule(oneWayDelay(), () -> statusAnswered(status, sentAt + 1))));
	}

	private void promote(FailoverAction.Promote promotion) {
		SimulatedMember member = this.group.member(promotion.member());
		this.clock.schedule(Deployment.CONNECT_NANOSECONDS + oneWayDelay(), () -> {
			if (member.isAlive()) {
				member.changeRole(MemberRole.PRIMARY, promotion.term());
				this.clock.schedule(oneWayDelay(), () -> handleEvent(
						new FailoverEvent.PromoteAnswered(promotion.member(), promotion.term(), true)));
			}
		});
	}

	// A command is sent to the leader, synced to disk by a majority, and answered.
	private void submitToControl(long delay, Supplier<FailoverEvent> command) {
		this.clock.schedule(delay + 3 * oneWayDelay() + COMMAND_SYNC_NANOSECONDS, () -> {
			FailoverEvent answer = command.get();
			this.clock.schedule(oneWayDelay(), () -> {
				this.failoverEvents.add(new FailoverEvent.GroupChanged(this.group.view()));
				handleEvent(answer);
			});
		});
	}

	private void handleEvent(FailoverEvent event) {
		if (this.active) {
			this.failoverEvents.add(event);
			decideFailover();
		}
	}

	private long oneWayDelay() {
		return this.group.deployment().oneWayDelayNanoseconds();
	}

}
