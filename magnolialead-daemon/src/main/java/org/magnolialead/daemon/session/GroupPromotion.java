package org.magnolialead.daemon.session;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.engine.session.FencingToken;
import org.magnolialead.engine.session.PromotionOrders;

/**
 * Replaces the primary of one group that this daemon owns. One promotion attempt is in
 * progress at a time. Once the member leads and no order to the platform is outstanding,
 * the result is recorded in the control log.
 */
final class GroupPromotion {

	private static final System.Logger LOGGER = System.getLogger(GroupPromotion.class.getName());

	/** Time without a known primary after which a member is promoted. */
	private static final long NO_PRIMARY_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(700);

	/**
	 * The same timeout if the former primary is unavailable, so that only another member
	 * can be the primary.
	 */
	private static final long UNAVAILABLE_PRIMARY_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

	/** Interval between probes of the primary. */
	private static final long PROBE_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(250);

	/** Delay of the next order after the platform refused one. */
	private static final long REFUSED_ORDER_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_000);

	/** Delay of the next order for a present primary after one without an answer. */
	private static final long UNANSWERED_ORDER_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(250);

	/**
	 * Time in which an accepted order takes effect. The member that it promotes must not
	 * be demoted before, because the order would promote it once more.
	 */
	private static final long PROMOTION_EFFECT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_000);

	private final PromotionController controller;

	private final GroupRouter router;

	private final PromotionLog log;

	private final PromotionOrders orders;

	private final ReplicationPause replicationPause;

	private long primaryProbedAt;

	/** Attempt in progress, or {@code null}. */
	private PromotionAttempt attempt;

	private long earliestAttemptAt;

	private long earliestFencingAt;

	private long earliestHandoverAt;

	private boolean stopped;

	GroupPromotion(PromotionController controller, GroupRouter router, GroupView view) {
		this.controller = controller;
		this.router = router;
		this.log = new PromotionLog(controller.context(), controller.control(), view);
		this.orders = new PromotionOrders(this.log.unconfirmedCandidate());
		this.replicationPause = new ReplicationPause(controller.context());
		this.primaryProbedAt = router.now();
		// A new owner first has to find out from the members which one is the primary.
		this.earliestAttemptAt = router.now() + NO_PRIMARY_TIMEOUT_NANOSECONDS;
		this.earliestFencingAt = router.now();
		this.earliestHandoverAt = router.now();
	}

	long ownerEpoch() {
		return this.log.ownerEpoch();
	}

	String group() {
		return this.log.group();
	}

	int memberCount() {
		return this.log.members().size();
	}

	int synchronousReplicas() {
		return this.controller.synchronousReplicas(group());
	}

	PromotionLog log() {
		return this.log;
	}

	ReplicationPause replicationPause() {
		return this.replicationPause;
	}

	void viewChanged(GroupView group) {
		this.log.viewChanged(group);
	}

	void stop() {
		this.stopped = true;
		this.replicationPause.endResumption();
	}

	int reachableMembers() {
		return (int) this.router.pools().stream().filter(MemberPool::hasConnection).count();
	}

	private boolean mayAct() {
		return !this.stopped && this.controller.holdsLease();
	}

	/**
	 * Probes the primary and starts, checks or ends a promotion attempt. Has no effect
	 * without a lease or after {@link #stop()}.
	 */
	void tick() {
		if (!mayAct()) {
			return;
		}
		long now = this.router.now();
		if (this.attempt != null) {
			checkProgress(now);
			return;
		}
		probePrimaryIfDue(now);
		Optional<MemberPool> primary = this.router.primary();
		if (primary.isEmpty()) {
			startIfPrimaryRemainsUnknown(now);
		}
		else if (!mayRemainPrimary(primary.get())) {
			startAttempt("promotion order without an outcome", null);
		}
		else {
			primaryKnown(primary.get(), now);
		}
	}

	private void startIfPrimaryRemainsUnknown(long now) {
		long timeout = this.router.primaryTracker().isFormerPrimaryUnavailable()
				? UNAVAILABLE_PRIMARY_TIMEOUT_NANOSECONDS : NO_PRIMARY_TIMEOUT_NANOSECONDS;
		if (now - this.router.primaryTracker().lostAt() >= timeout && now - this.earliestAttemptAt >= 0) {
			startAttempt("no known primary", null);
		}
	}

	private void primaryKnown(MemberPool primary, long now) {
		recordPrimary(primary, now);
		boolean settled = !this.orders.isUnresolved() && !this.log.lacksPrimary(primary.member().member());
		if (synchronousReplicas() > 0 && settled) {
			this.replicationPause.resume(this.router.pools());
		}
		if (now - this.earliestAttemptAt < 0) {
			return;
		}
		if (primary.health().isFailed(now)) {
			this.router.primaryTracker().primaryLost(primary, "not responding");
			startAttempt("primary is not responding", null);
		}
		// A late execution of an order for the leaving primary would undo the promotion
		// of its successor.
		else if (primary.member().leaving() && !this.orders.isUnresolved() && now - this.earliestHandoverAt >= 0
				&& hasSuccessor(primary)) {
			startAttempt("primary is leaving", primary);
		}
	}

	private boolean hasSuccessor(MemberPool leavingPrimary) {
		return this.router.pools()
			.stream()
			.anyMatch((pool) -> pool != leavingPrimary && pool.isUsable() && pool.hasConnection());
	}

	private void probePrimaryIfDue(long now) {
		if (now - this.primaryProbedAt >= PROBE_INTERVAL_NANOSECONDS) {
			this.primaryProbedAt = now;
			this.router.primary().ifPresent(this.router.primaryTracker()::probe);
		}
	}

	// The control log must not confirm a primary while the platform may still execute an
	// order, because a later owner would not know of the order.
	private void recordPrimary(MemberPool primary, long now) {
		String member = primary.member().member();
		if (this.orders.isCallInProgress() || this.log.isCommandInProgress()) {
			return;
		}
		if (this.orders.isUnresolved()) {
			if (now - this.earliestFencingAt >= 0) {
				fenceOrders(member);
			}
		}
		else if (this.log.lacksPrimary(member)) {
			this.log.confirmWithNewTerm(member);
		}
	}

	// An order for the present primary changes nothing, but the platform refuses all
	// earlier orders from then on.
	private void fenceOrders(String primary) {
		this.log.reserve(primary, (term) -> {
			if (mayAct() && this.attempt == null && isPrimary(primary)) {
				order(primary, term, (result) -> ordersFenced(primary, term, result));
			}
		}, () -> {
		});
	}

	private void ordersFenced(String primary, long term, PromotionService.Result result) {
		if (result != PromotionService.Result.ACCEPTED) {
			this.earliestFencingAt = this.router.now() + ((result == PromotionService.Result.REFUSED)
					? REFUSED_ORDER_DELAY_NANOSECONDS : UNANSWERED_ORDER_DELAY_NANOSECONDS);
		}
		else if (isPrimary(primary)) {
			this.orders.promoted(primary);
			this.log.confirm(term, primary);
		}
	}

	private boolean isPrimary(String member) {
		return this.router.primary().filter((pool) -> pool.member().member().equals(member)).isPresent();
	}

	/**
	 * Tells whether a primary may remain the primary.
	 * @param primary the primary
	 * @return {@code false} if the promotion of another member may still take effect, and
	 * commits could be lost then
	 */
	boolean mayRemainPrimary(MemberPool primary) {
		return synchronousReplicas() == 0 || this.orders.mayRemainPrimary(primary.member().member());
	}

	/**
	 * Tells whether a member was ordered last and its promotion may still take effect.
	 * @param member name of the member
	 * @return {@code true} if the latest order names this member
	 */
	boolean isOrdered(String member) {
		return this.orders.isOrdered(member);
	}

	/**
	 * Returns the member that has to be ordered again, whatever position it states.
	 * @return name of the member, or empty if any member may be ordered
	 */
	Optional<String> memberToRepeat() {
		return (synchronousReplicas() > 0) ? this.orders.memberToRepeat() : Optional.empty();
	}

	/**
	 * Orders the promotion of a member.
	 * @param member the member
	 * @param term term that was reserved for this order alone
	 * @param handler receives the result, unless {@link #stop()} was called
	 */
	void order(String member, long term, Consumer<PromotionService.Result> handler) {
		FencingToken token = FencingToken.of(ownerEpoch(), term);
		this.orders.sent(token, member);
		this.controller.orderPromotion(group(), member, token, (result) -> {
			LogEvent.PROMOTION_ORDER_ENDED.log(LOGGER, group(), member, token, result);
			result.recordIn(this.orders, token);
			if (result == PromotionService.Result.ACCEPTED) {
				this.earliestHandoverAt = this.router.now() + PROMOTION_EFFECT_NANOSECONDS;
			}
			if (!this.stopped) {
				handler.accept(result);
			}
		});
	}

	/**
	 * Delays the next attempt if the platform has refused the order of the last one.
	 * @param result result of the order
	 */
	void orderFailed(PromotionService.Result result) {
		if (result == PromotionService.Result.REFUSED) {
			this.earliestAttemptAt = this.router.now() + REFUSED_ORDER_DELAY_NANOSECONDS;
		}
	}

	private void startAttempt(String cause, MemberPool leavingPrimary) {
		LogEvent.SESSION_PROMOTION_STARTED.log(LOGGER, group(), cause, ownerEpoch());
		this.attempt = new PromotionAttempt(this, this.router, this.controller.context(), leavingPrimary);
		this.attempt.start();
	}

	/**
	 * Tells whether an attempt goes on.
	 * @param asking the attempt
	 * @return {@code false} if it has ended or this daemon must not act any more
	 */
	boolean isCurrent(PromotionAttempt asking) {
		return this.attempt == asking && mayAct();
	}

	/**
	 * Ends an attempt.
	 * @param ended the attempt in progress
	 * @param cause cause for the log
	 */
	void attemptEnded(PromotionAttempt ended, String cause) {
		this.attempt = null;
		LogEvent.SESSION_PROMOTION_ENDED.log(LOGGER, group(), ended.candidate(), cause);
	}

	private void checkProgress(long now) {
		PromotionAttempt current = this.attempt;
		Optional<MemberPool> primary = this.router.primary();
		if (current.isOrdered() && primary.isEmpty()) {
			this.router.primaryTracker().probe(this.router.pool(current.candidate()));
		}
		if (current.isOrdered() && isPrimary(current.candidate())) {
			promoted(current);
			return;
		}
		boolean needless = !current.isOrdered() && !current.replacesReachablePrimary()
				&& primary.filter(this::mayRemainPrimary).isPresent();
		if (needless) {
			attemptEnded(current, "member %s is the primary".formatted(primary.get().member().member()));
			return;
		}
		if (current.isTimedOut(now)) {
			attemptEnded(current, "timed out");
		}
	}

	private void promoted(PromotionAttempt current) {
		LogEvent.PRIMARY_CONFIRMED.log(LOGGER, group(), current.candidate(), current.term());
		this.orders.promoted(current.candidate());
		if (!this.orders.isUnresolved() && !this.log.isCommandInProgress()) {
			this.log.confirm(current.term(), current.candidate());
		}
		attemptEnded(current, "promoted");
	}

}
