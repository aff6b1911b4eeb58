package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.magnolialead.api.log.LogEvent;
import org.magnolialead.engine.session.PromotionSelection;
import org.magnolialead.engine.session.PromotionSelection.Candidate;
import org.magnolialead.engine.session.ReplicationTerm;

/**
 * One attempt to replace the primary of a group. It requests the log positions that the
 * members have received, selects one of them, reserves a term in the control log and
 * orders the promotion from the platform. A primary that can be reached is demoted before
 * the order; otherwise the replicas are paused before one of them is selected.
 */
final class PromotionAttempt {

	private static final System.Logger LOGGER = System.getLogger(PromotionAttempt.class.getName());

	/** Timeout of the status requests to members that replicate asynchronously. */
	private static final long STATUS_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(250);

	/**
	 * Timeout of the status requests to members of a group with synchronous replicas,
	 * without which nothing can be selected.
	 */
	private static final long SYNCHRONOUS_STATUS_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/**
	 * Time after which an attempt that has not succeeded is ended, so that a new one can
	 * start.
	 */
	private static final long ATTEMPT_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(2_500);

	private static final long STATUS_POLL_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(5);

	private final GroupPromotion promotion;

	private final GroupRouter router;

	private final SessionContext context;

	/** Primary to be demoted, or {@code null} if none can be reached. */
	private MemberPool formerPrimary;

	private final long deadline;

	/** Members of the group when the attempt started. */
	private final Set<String> members;

	private ReplicationTerm newestTerm = ReplicationTerm.NONE;

	private String candidate = "";

	private long term;

	private boolean ordered;

	/**
	 * Creates an attempt.
	 * @param promotion promotions of the group
	 * @param router members of the group
	 * @param context scheduling
	 * @param leavingPrimary primary that leaves, or {@code null} if there is none
	 */
	PromotionAttempt(GroupPromotion promotion, GroupRouter router, SessionContext context, MemberPool leavingPrimary) {
		this.promotion = promotion;
		this.router = router;
		this.context = context;
		this.formerPrimary = leavingPrimary;
		this.deadline = router.now() + ATTEMPT_TIMEOUT_NANOSECONDS;
		this.members = promotion.log().members();
	}

	/**
	 * Returns the member that was selected.
	 * @return name of the member, or an empty string before one was selected
	 */
	String candidate() {
		return this.candidate;
	}

	/**
	 * Returns the term that was reserved.
	 * @return the term, 0 before one was reserved
	 */
	long term() {
		return this.term;
	}

	/**
	 * Tells whether the promotion was ordered.
	 * @return {@code false} while no order was sent to the platform
	 */
	boolean isOrdered() {
		return this.ordered;
	}

	/**
	 * Tells whether the primary to be replaced can be reached and demoted.
	 * @return {@code false} if the group has no known primary
	 */
	boolean replacesReachablePrimary() {
		return this.formerPrimary != null;
	}

	boolean isTimedOut(long now) {
		return now - this.deadline >= 0;
	}

	void start() {
		StatusRequests requests = new StatusRequests(this.context, StatusCommand.STATUS, ReplicationTerm.NONE);
		this.router.pools().stream().filter((pool) -> pool != this.formerPrimary).forEach(requests::ask);
		awaitStatuses(requests, statusDeadline(), this::statusesKnown);
	}

	private boolean isCurrent() {
		return this.promotion.isCurrent(this);
	}

	private void end(String cause) {
		this.promotion.attemptEnded(this, cause);
	}

	private boolean isSynchronous() {
		return this.promotion.synchronousReplicas() > 0;
	}

	// A handover can do without missing answers, because the successor has to receive the
	// whole log of the former primary.
	private long statusDeadline() {
		boolean answersRequired = isSynchronous() && this.formerPrimary == null;
		return this.router.now()
				+ (answersRequired ? SYNCHRONOUS_STATUS_TIMEOUT_NANOSECONDS : STATUS_TIMEOUT_NANOSECONDS);
	}

	// With asynchronous replication, a member without a connection delays nothing. With
	// synchronous replicas, the attempt waits for as many members as the selection needs.
	private void awaitStatuses(StatusRequests requests, long statusDeadline,
			Consumer<Map<MemberPool, MemberStatus>> next) {
		if (isCurrent() && requests.isOutdated()) {
			requests.close();
			end("a member states a newer term");
			return;
		}
		int answered = requests.answers().size();
		boolean complete = answered >= requiredAnswers() && answered == requests.askedCount();
		if (!isCurrent() || complete || this.router.now() - statusDeadline >= 0) {
			requests.close();
			if (isCurrent()) {
				next.accept(requests.answers());
			}
			return;
		}
		this.context.schedule(STATUS_POLL_INTERVAL_NANOSECONDS, () -> awaitStatuses(requests, statusDeadline, next));
	}

	private int requiredAnswers() {
		return PromotionSelection.requiredAnswers(this.promotion.memberCount(), this.promotion.synchronousReplicas());
	}

	private void statusesKnown(Map<MemberPool, MemberStatus> statuses) {
		this.newestTerm = statuses.values()
			.stream()
			.map(MemberStatus::term)
			.reduce(ReplicationTerm.NONE, ReplicationTerm::later);
		Optional<MemberPool> currentPrimary = (this.formerPrimary != null) ? Optional.empty() : newestPrimary(statuses);
		if (currentPrimary.isPresent()) {
			primaryFound(currentPrimary.get(), statuses);
		}
		else {
			replacePrimary(statuses);
		}
	}

	// A replaced primary may still take itself for the primary.
	private Optional<MemberPool> newestPrimary(Map<MemberPool, MemberStatus> statuses) {
		ReplicationTerm termOfCommits = ReplicationTerm.ofCommit(this.router.progress().latest());
		ReplicationTerm newest = ReplicationTerm.later(this.newestTerm, termOfCommits);
		return statuses.keySet()
			.stream()
			.filter((pool) -> statuses.get(pool).primary() && statuses.get(pool).term().compareTo(newest) >= 0)
			.findFirst();
	}

	private void primaryFound(MemberPool primary, Map<MemberPool, MemberStatus> statuses) {
		if (this.promotion.mayRemainPrimary(primary)) {
			end("member %s is the primary".formatted(primary.member().member()));
			this.router.primaryTracker().expectPrimary(primary.member().member());
			return;
		}
		Optional<MemberPool> ordered = statuses.keySet()
			.stream()
			.filter((pool) -> this.promotion.isOrdered(pool.member().member()))
			.findFirst();
		if (ordered.isEmpty()) {
			replacePrimary(statuses);
			return;
		}
		// The order may be executed at any time, so the primary must not acknowledge
		// anything from now on that the ordered member lacks.
		this.formerPrimary = primary;
		this.candidate = ordered.get().member().member();
		handOver(this::reserveAndOrder);
	}

	private void replacePrimary(Map<MemberPool, MemberStatus> statuses) {
		if (isSynchronous() && this.formerPrimary == null && statuses.size() >= requiredAnswers()) {
			StatusRequests requests = this.promotion.replicationPause().pause(statuses, this.newestTerm);
			awaitStatuses(requests, statusDeadline(), this::selectCandidate);
			return;
		}
		selectCandidate(statuses);
	}

	private void selectCandidate(Map<MemberPool, MemberStatus> statuses) {
		List<Candidate> candidates = new ArrayList<>();
		statuses.forEach((pool, status) -> candidates
			.add(new Candidate(pool.member().member(), status.received(), pool.member().leaving())));
		String confirmedPrimary = this.promotion.log().confirmedPrimary();
		Optional<String> repeated = this.promotion.memberToRepeat()
			.filter((member) -> PromotionSelection.mayRepeat(member, candidates, confirmedPrimary));
		if (repeated.isPresent()) {
			this.candidate = repeated.get();
			reserveAndOrder();
			return;
		}
		int required = (this.formerPrimary != null) ? 1 : requiredAnswers();
		Optional<Candidate> selected = PromotionSelection.select(candidates, required,
				this.promotion.synchronousReplicas(), this.promotion::isOrdered);
		if (selected.isEmpty()) {
			end("%d of %d required members stated their position".formatted(statuses.size(), required));
			return;
		}
		this.candidate = selected.get().member();
		if (this.formerPrimary == null) {
			reserveAndOrder();
		}
		else if (isSynchronous()) {
			handOver(this::reserveAndOrder);
		}
		else {
			reserve(() -> handOver(this::order));
		}
	}

	// With synchronous replicas, a term is reserved only once its candidate holds all
	// acknowledged commits, so that a later owner may repeat the order. A member that has
	// joined since the others were asked is not paused, so a primary that nobody reaches
	// may acknowledge commits with its help.
	private void reserveAndOrder() {
		reserve(() -> {
			if (isSynchronous() && !this.members.equals(this.promotion.log().members())) {
				end("the members of the group changed");
			}
			else {
				order();
			}
		});
	}

	private void reserve(Runnable next) {
		this.promotion.log().reserve(this.candidate, (reservedTerm) -> {
			if (isCurrent()) {
				this.term = reservedTerm;
				next.run();
			}
		}, () -> {
			if (isCurrent()) {
				end("promotion could not be recorded in the control log");
			}
		});
	}

	private void handOver(Runnable next) {
		MemberPool successor = this.router.pool(this.candidate);
		if (successor == null) {
			end("the candidate was removed from the group");
			return;
		}
		new PrimaryHandover(this.context, this.router, this.formerPrimary, successor, this::isCurrent,
				(outcome) -> handedOver(outcome, next))
			.start(this.newestTerm);
	}

	// With synchronous replicas, the next attempt asks enough members, which may include
	// the former primary.
	private void handedOver(PrimaryHandover.Outcome outcome, Runnable next) {
		if (outcome.isComplete() || !isSynchronous()) {
			next.run();
		}
		else {
			end(outcome.toString());
		}
	}

	private void order() {
		this.ordered = true;
		LogEvent.PROMOTION_ORDERED.log(LOGGER, this.promotion.group(), this.candidate, this.term);
		this.promotion.order(this.candidate, this.term, (result) -> {
			if (!isCurrent()) {
				return;
			}
			if (result == PromotionService.Result.ACCEPTED) {
				this.router.primaryTracker().expectPrimary(this.candidate);
				return;
			}
			LogEvent.PROMOTION_FAILED.log(LOGGER, this.promotion.group(), this.candidate, this.term, result);
			end("platform answered " + result);
			this.promotion.orderFailed(result);
		});
	}

}
