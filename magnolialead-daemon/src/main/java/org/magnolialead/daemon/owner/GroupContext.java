package org.magnolialead.daemon.owner;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.daemon.entry.SerialExecutor;
import org.magnolialead.engine.owner.ConfirmationTracker;
import org.magnolialead.engine.owner.ConfirmationTracker.Pending;
import org.magnolialead.engine.owner.FailoverDecision;
import org.magnolialead.engine.owner.GroupScheduler;
import org.magnolialead.engine.owner.MemberPositions;
import org.magnolialead.engine.owner.SchedulerSettings;
import org.magnolialead.engine.owner.SessionPositions;

/**
 * State of one owned group, shared by the components that run it. Confined to the serial
 * executor of the group except for volatile fields.
 */
final class GroupContext {

	private final OwnerServices services;

	private final SerialExecutor serial;

	private final String group;

	private final long ownerEpoch;

	private final MemberPositions positions;

	private final SessionPositions sessions = new SessionPositions(SessionPositions.DEFAULT_CAPACITY);

	private final ConfirmationTracker<PendingRequest> confirmations = new ConfirmationTracker<>();

	private final GroupScheduler<PendingRequest> scheduler;

	private final TransactionTable transactions;

	private GroupView view;

	private FleetConfiguration configuration;

	private FailoverDecision failover;

	private volatile boolean stopped;

	GroupContext(OwnerServices services, FleetView fleetView, GroupView view) {
		this.services = services;
		this.serial = new SerialExecutor(services.executor());
		this.group = view.group();
		this.ownerEpoch = view.ownerEpoch();
		this.view = view;
		this.configuration = fleetView.configuration();
		this.positions = new MemberPositions(services.readPolicy());
		this.scheduler = new GroupScheduler<>(services.schedulingPolicy(), SchedulerSettings.of(this.configuration));
		this.transactions = new TransactionTable(this.ownerEpoch);
		this.failover = FailoverDecision.takeOver(view, services.now());
		applyMembers();
	}

	OwnerServices services() {
		return this.services;
	}

	SerialExecutor serial() {
		return this.serial;
	}

	String group() {
		return this.group;
	}

	long ownerEpoch() {
		return this.ownerEpoch;
	}

	MemberPositions positions() {
		return this.positions;
	}

	SessionPositions sessions() {
		return this.sessions;
	}

	ConfirmationTracker<PendingRequest> confirmations() {
		return this.confirmations;
	}

	GroupScheduler<PendingRequest> scheduler() {
		return this.scheduler;
	}

	TransactionTable transactions() {
		return this.transactions;
	}

	GroupView view() {
		return this.view;
	}

	FleetConfiguration configuration() {
		return this.configuration;
	}

	FailoverDecision failover() {
		return this.failover;
	}

	void failover(FailoverDecision next) {
		this.failover = next;
	}

	long now() {
		return this.services.now();
	}

	void stop() {
		this.stopped = true;
	}

	boolean isStopped() {
		return this.stopped;
	}

	/**
	 * Tells whether this daemon may currently act as owner.
	 * @return {@code true} while the ownership has not ended and the lease is held
	 */
	boolean isActiveOwner() {
		return !this.stopped && this.services.holdsLease();
	}

	/**
	 * Returns the primary that may receive statements and whose writes may be
	 * acknowledged.
	 * @param now current time of the monotonic clock in nanoseconds
	 * @return the primary, or empty if there is none
	 */
	Optional<FailoverDecision.Primary> servingPrimary(long now) {
		if (!isActiveOwner()) {
			return Optional.empty();
		}
		return this.failover.primary()
			.filter((primary) -> this.positions.primary(this.view, now).filter(primary.member()::equals).isPresent());
	}

	/**
	 * Tells whether a write of a term may currently be acknowledged.
	 * @param term the term of the write
	 * @return {@code true} if the term is the unsealed term of the primary
	 */
	boolean mayAcknowledge(long term) {
		return isActiveOwner() && !this.confirmations.isSealed(term)
				&& this.failover.primary().filter((primary) -> primary.term() == term).isPresent();
	}

	/**
	 * Applies a newer view. A term that this owner has confirmed is kept, because it may
	 * be ahead of the view in the last heartbeat answer.
	 * @param fleetView the fleet view
	 * @param incoming the view of the group
	 * @return writes that are confirmed by the change of members
	 */
	List<Pending<PendingRequest>> viewChanged(FleetView fleetView, GroupView incoming) {
		this.view = (incoming.term() < this.view.term()) ? withPrimary(incoming, this.view.term(), this.view.primary())
				: incoming;
		this.configuration = fleetView.configuration();
		this.scheduler.settings(SchedulerSettings.of(this.configuration));
		return applyMembers();
	}

	void primaryConfirmed(long term, String primary) {
		if (term > this.view.term()) {
			this.view = withPrimary(this.view, term, primary);
		}
	}

	private List<Pending<PendingRequest>> applyMembers() {
		Map<String, Integer> slots = new HashMap<>();
		for (MemberDescription member : this.view.allMembers()) {
			if (!member.leaving()) {
				slots.put(member.member(), member.slots());
			}
		}
		this.scheduler.capacity(slots);
		return this.confirmations.members(this.view.members().keySet());
	}

	private static GroupView withPrimary(GroupView view, long term, String primary) {
		return new GroupView(view.group(), view.version(), term, primary, Math.max(view.reservedTerm(), term),
				view.candidate(), view.owner(), view.ownerEpoch(), view.releaseRequested(), view.members());
	}

}
