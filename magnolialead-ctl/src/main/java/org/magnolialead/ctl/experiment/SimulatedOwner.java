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
 * Drives the decision classes of the engine for one group, as an owning daemon does.
 * Control is modelled by the time that its answers take.
 */
final class SimulatedOwner {

	private static final long POLL_PAUSE_NANOSECONDS = VirtualTime.MILLISECOND / 2;

	private static final long POLL_LIMIT_NANOSECONDS = 400 * VirtualTime.MILLISECOND;

	private static final long POLL_RETRY_NANOSECONDS = 50 * VirtualTime.MILLISECOND;

	private static final long TICK_NANOSECONDS = 10 * VirtualTime.MILLISECOND;

	/** Time in which control daemons sync a command to their disks. */
	private static final long SYNC_NANOSECONDS = 2 * VirtualTime.MILLISECOND;

	private static final long RESERVATION_WAIT_NANOSECONDS = 500 * VirtualTime.MILLISECOND;

	private final SimulatedGroup group;

	private final VirtualTime time;

	private final SlotShare share;

	private final PromotionGate gate;

	private final GroupScheduler<Request> scheduler;

	private final MemberPositions positions;

	private final SessionPositions sessions = new SessionPositions(SessionPositions.DEFAULT_CAPACITY);

	private final ConfirmationTracker<Request> confirmations = new ConfirmationTracker<>();

	private final Map<String, Integer> idleConnections = new HashMap<>();

	private final Map<String, Integer> openConnections = new HashMap<>();

	private final List<FailoverEvent> failoverEvents = new ArrayList<>();

	private final Map<String, MemberSelector> readChoices = new HashMap<>();

	private final MemberSelector primaryChoice;

	private FailoverDecision failover;

	private Consumer<Request> acknowledged = (request) -> {
	};

	private Tally tally = new Tally();

	private boolean active = true;

	private OptionalLong sealedAt = OptionalLong.empty();

	SimulatedOwner(SimulatedGroup group, Policies policies, SlotShare share, PromotionGate gate) {
		this.group = group;
		this.time = group.time();
		this.share = share;
		this.gate = gate;
		this.scheduler = new GroupScheduler<>(policies.scheduling(), SchedulerSettings.of(policies.configuration()));
		this.positions = new MemberPositions(policies.reads());
		this.failover = FailoverDecision.takeOver(group.view(), this.time.now());
		this.primaryChoice = (now) -> servingPrimary(now).map(List::of).orElse(List.of());
		this.confirmations.members(group.members().keySet());
		group.members().values().forEach(this::poll);
		this.time.after(TICK_NANOSECONDS, this::tick);
	}

	void acknowledged(Consumer<Request> listener) {
		this.acknowledged = listener;
	}

	/**
	 * Sets the phase to which slot time is charged from now on.
	 * @param changed counts of the phase
	 */
	void tally(Tally changed) {
		this.tally = changed;
	}

	/** Stops at once, as a process that was killed. */
	void crash() {
		this.active = false;
		this.openConnections.forEach((member, number) -> this.group.member(member).connectionsClosed(number));
	}

	void submit(Request request) {
		if (!this.active) {
			return;
		}
		long now = this.time.now();
		WorkItem<Request> item = new WorkItem<>(request, request.rank(), now, request.deadline(), choiceOf(request));
		applyCapacity(now);
		if (this.scheduler.offer(item, now) instanceof Admission.Refused) {
			request.refused(now);
		}
		pump();
	}

	private MemberSelector choiceOf(Request request) {
		if (request.requestClass().write()) {
			return this.primaryChoice;
		}
		Optional<LogPosition> required = this.sessions.required(request.session());
		LogPosition position = required.orElse(LogPosition.NONE);
		if (required.isPresent() && position.equals(LogPosition.NONE)) {
			return this.readChoices.computeIfAbsent(request.requestClass().profileName(),
					(name) -> readChoice(request, position, true));
		}
		return readChoice(request, position, required.isPresent());
	}

	private MemberSelector readChoice(Request request, LogPosition required, boolean known) {
		return (now) -> this.positions.eligibleForRead(request.requestClass().profile(), required, known,
				this.group.view(), now, this.scheduler::running);
	}

	private Optional<String> servingPrimary(long now) {
		return this.failover.primary()
			.map(FailoverDecision.Primary::member)
			.filter((name) -> this.positions.primary(this.group.view(), now).filter(name::equals).isPresent());
	}

	/** Closes connections beyond a share that became smaller. */
	void shareChanged() {
		applyCapacity(this.time.now());
	}

	private void applyCapacity(long now) {
		Map<String, Integer> slots = new HashMap<>();
		this.group.members().keySet().forEach((name) -> slots.put(name, this.share.slots(name, now)));
		this.scheduler.capacity(slots);
		this.group.members().keySet().forEach(this::closeSurplus);
	}

	// A daemon whose share became smaller closes the connections that are idle.
	private void closeSurplus(String member) {
		int surplus = this.openConnections.getOrDefault(member, 0) - this.share.connections();
		int closed = Math.min(surplus, this.idleConnections.getOrDefault(member, 0));
		if (closed > 0) {
			this.openConnections.merge(member, -closed, Integer::sum);
			this.idleConnections.merge(member, -closed, Integer::sum);
			this.group.member(member).connectionsClosed(closed);
		}
	}

	/** Starts as much work as the daemon may. */
	void pump() {
		boolean waiting = false;
		for (Rank rank : Rank.values()) {
			waiting |= this.scheduler.waiting(rank) > 0;
		}
		if (!this.active || !waiting) {
			return;
		}
		long now = this.time.now();
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
		this.time.after(delay + hop(), () -> execute(dispatch));
	}

	private void execute(Dispatch<Request> dispatch) {
		SimulatedMember member = this.group.member(dispatch.member());
		Request request = dispatch.work();
		long service = this.group.serviceNanoseconds();
		boolean[] answered = new boolean[1];
		// A member that is down gives no answer; the owner frees the slot at the
		// deadline.
		this.time.after(Math.max(0, request.deadline() - this.time.now()), () -> {
			if (!answered[0] && !member.isAlive()) {
				lost(dispatch);
			}
		});
		member.execute(service, () -> {
			boolean write = request.requestClass().write();
			LogPosition position = write ? this.group.write(member) : member.applied();
			answered[0] = true;
			this.time.after(hop(), () -> answered(dispatch, position, service));
		});
	}

	private void lost(Dispatch<Request> dispatch) {
		if (this.active) {
			this.scheduler.finished(dispatch, this.time.now());
			dispatch.work().expired();
			this.idleConnections.merge(dispatch.member(), 1, Integer::sum);
			pump();
		}
	}

	private void answered(Dispatch<Request> dispatch, LogPosition position, long service) {
		if (!this.active) {
			return;
		}
		long now = this.time.now();
		Request request = dispatch.work();
		this.scheduler.finished(dispatch, now);
		this.share.used(dispatch, service);
		this.idleConnections.merge(dispatch.member(), 1, Integer::sum);
		this.tally.slotTime(request.rank(), service, request.deadline() - now < 0);
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
		pump();
	}

	private void acknowledge(ConfirmationTracker.Pending<Request> pending) {
		if (this.failover.mayAcknowledge(pending.position().term())) {
			done(pending.work(), false);
			this.acknowledged.accept(pending.work());
		}
	}

	private void done(Request request, boolean byReplica) {
		this.time.after(hop(), () -> request.done(byReplica, this.time.now()));
	}

	private void poll(SimulatedMember member) {
		poll(member, LogPosition.NONE);
	}

	private void poll(SimulatedMember member, LogPosition known) {
		if (!this.active) {
			return;
		}
		long sentAt = this.time.now();
		boolean[] answered = new boolean[1];
		this.time.after(hop(), () -> member.status(known, (status) -> this.time.after(hop(), () -> {
			answered[0] = true;
			statusAnswered(status, sentAt);
			this.time.after(POLL_PAUSE_NANOSECONDS, () -> poll(member, status.status().position()));
		})));
		this.time.after(POLL_LIMIT_NANOSECONDS, () -> {
			if (!answered[0]) {
				this.time.after(POLL_RETRY_NANOSECONDS, () -> poll(member, LogPosition.NONE));
			}
		});
	}

	private void statusAnswered(SimulatedMember.Status answer, long sentAt) {
		if (!this.active) {
			return;
		}
		long now = this.time.now();
		MemberStatus status = answer.status();
		this.positions.statusAnswered(answer.forReads(), sentAt, now, this.group.view());
		this.failoverEvents.add(new FailoverEvent.StatusAnswered(status, sentAt, now));
		if (status.role() == MemberRole.PRIMARY && !this.sessions.floorKnown()) {
			this.sessions.raiseFloor(status.position());
		}
		this.confirmations.positionReported(status.member(), status.position()).forEach(this::acknowledge);
		pump();
	}

	private void tick() {
		if (this.active) {
			this.confirmations.removeExpired(this.time.now()).forEach((pending) -> pending.work().expired());
			decideFailover();
			pump();
			this.time.after(TICK_NANOSECONDS, this::tick);
		}
	}

	private void decideFailover() {
		FailoverDecision.Transition transition = this.failover.next(this.failoverEvents, this.time.now());
		this.failoverEvents.clear();
		this.failover = transition.decision();
		transition.actions().forEach(this::perform);
	}

	private void perform(FailoverAction action) {
		if (action instanceof FailoverAction.Seal seal) {
			long now = this.time.now();
			this.sealedAt = OptionalLong.of(this.sealedAt.orElse(now));
			this.confirmations.sealTerm(seal.term()).forEach((pending) -> pending.work().expired());
			this.group.members().values().forEach((member) -> askPosition(member, now));
		}
		else if (action instanceof FailoverAction.Reserve order) {
			reserve(order);
		}
		else if (action instanceof FailoverAction.Promote order) {
			promote(order);
		}
		else if (action instanceof FailoverAction.Follow order) {
			SimulatedMember member = this.group.member(order.member());
			this.time.after(hop(), () -> {
				if (member.term() < order.term()) {
					member.become(MemberRole.REPLICA, order.term());
				}
			});
		}
		else if (action instanceof FailoverAction.Confirm order) {
			this.sealedAt = OptionalLong.empty();
			control(0, () -> {
				this.group.confirm(order.term(), order.primary());
				return new FailoverEvent.ConfirmAnswered(order.term(), true);
			});
		}
	}

	// A reservation is answered when the gate opens, or refused before the owner gives it
	// up.
	private void reserve(FailoverAction.Reserve order) {
		long opensAt = this.gate.opensAt(this.sealedAt.orElse(this.time.now()));
		long wait = Math.max(0, opensAt - this.time.now());
		boolean opensSoon = wait < RESERVATION_WAIT_NANOSECONDS;
		control(opensSoon ? wait : 0, () -> {
			if (opensSoon) {
				this.group.reserve(order.newTerm(), order.candidate());
			}
			return new FailoverEvent.ReserveAnswered(order.newTerm(), opensSoon);
		});
	}

	private void askPosition(SimulatedMember member, long sentAt) {
		this.time.after(hop(), () -> member.status(LogPosition.NONE,
				(status) -> this.time.after(hop(), () -> statusAnswered(status, sentAt + 1))));
	}

	private void promote(FailoverAction.Promote order) {
		SimulatedMember member = this.group.member(order.member());
		this.time.after(Deployment.CONNECT_NANOSECONDS + hop(), () -> {
			if (member.isAlive()) {
				member.become(MemberRole.PRIMARY, order.term());
				this.time.after(hop(),
						() -> event(new FailoverEvent.PromoteAnswered(order.member(), order.term(), true)));
			}
		});
	}

	// A command travels to the leader, is synced by a majority and is answered.
	private void control(long wait, Supplier<FailoverEvent> command) {
		this.time.after(wait + 3 * hop() + SYNC_NANOSECONDS, () -> {
			FailoverEvent answer = command.get();
			this.time.after(hop(), () -> {
				this.failoverEvents.add(new FailoverEvent.GroupChanged(this.group.view()));
				event(answer);
			});
		});
	}

	private void event(FailoverEvent event) {
		if (this.active) {
			this.failoverEvents.add(event);
			decideFailover();
		}
	}

	private long hop() {
		return this.group.deployment().hopNanoseconds();
	}

}
