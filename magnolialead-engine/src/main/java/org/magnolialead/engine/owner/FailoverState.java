package org.magnolialead.engine.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.MemberRole;
import org.magnolialead.api.Step;
import org.magnolialead.engine.owner.FailoverDecision.Primary;

/**
 * Mutable state of a {@link FailoverDecision}. Modified only during the transition that
 * creates the decision.
 */
final class FailoverState {

	/** Limits the number of phase changes in one call. */
	private static final int MAXIMUM_PHASES_PER_CALL = 4;

	private final QuorumRule quorum;

	private final long ownedSince;

	private final Map<String, FailoverEvent.StatusAnswered> latestResponses;

	private final Map<String, Long> followSentAt;

	private GroupView view;

	private FailoverPhase phase;

	private Primary activePrimary;

	private Primary previousPrimary;

	private Primary target;

	private long lastAdvancedAt;

	private long membersChangedAt;

	private long primaryAnsweredAt;

	private long collectingSince;

	private long phaseSince;

	private long lastCommandAt;

	private long nextPlannedFailoverAt;

	private long sealedTerm;

	private long attemptedTerm;

	private long promotedTerm;

	private String failedCandidate = "";

	private boolean planned;

	private boolean sealPending;

	private List<FailoverAction> actions = new ArrayList<>();

	private FailoverState(QuorumRule quorum, GroupView view, long now) {
		this.quorum = quorum;
		this.view = view;
		this.ownedSince = now;
		this.latestResponses = new HashMap<>();
		this.followSentAt = new HashMap<>();
		this.lastAdvancedAt = now;
		this.membersChangedAt = now;
		this.primaryAnsweredAt = now;
		this.collectingSince = now;
		this.phaseSince = now;
		this.nextPlannedFailoverAt = now;
		this.attemptedTerm = view.reservedTerm();
	}

	private FailoverState(FailoverState other) {
		this.quorum = other.quorum;
		this.ownedSince = other.ownedSince;
		this.latestResponses = new HashMap<>(other.latestResponses);
		this.followSentAt = new HashMap<>(other.followSentAt);
		this.view = other.view;
		this.phase = other.phase;
		this.activePrimary = other.activePrimary;
		this.previousPrimary = other.previousPrimary;
		this.target = other.target;
		this.lastAdvancedAt = other.lastAdvancedAt;
		this.membersChangedAt = other.membersChangedAt;
		this.primaryAnsweredAt = other.primaryAnsweredAt;
		this.collectingSince = other.collectingSince;
		this.phaseSince = other.phaseSince;
		this.lastCommandAt = other.lastCommandAt;
		this.nextPlannedFailoverAt = other.nextPlannedFailoverAt;
		this.sealedTerm = other.sealedTerm;
		this.attemptedTerm = other.attemptedTerm;
		this.promotedTerm = other.promotedTerm;
		this.failedCandidate = other.failedCandidate;
		this.planned = other.planned;
		this.sealPending = other.sealPending;
	}

	static FailoverState takeOver(GroupView view, QuorumRule quorum, long now) {
		FailoverState state = new FailoverState(quorum, view, now);
		if (view.primary().isEmpty()) {
			state.phase = FailoverPhase.FIRST_START;
			return state;
		}
		Primary confirmed = new Primary(view.primary(), view.term());
		if (view.reservedTerm() == view.term()) {
			state.phase = FailoverPhase.STEADY;
			state.activePrimary = confirmed;
			return state;
		}
		// An earlier owner may have commanded the reserved promotion, so a member may
		// already act as primary of that term. Only a later term is certain to have a
		// single primary.
		state.phase = FailoverPhase.COLLECTING;
		state.previousPrimary = confirmed;
		state.sealedTerm = view.reservedTerm();
		state.sealPending = true;
		return state;
	}

	FailoverState copy() {
		return new FailoverState(this);
	}

	Primary activePrimary() {
		return this.activePrimary;
	}

	FailoverPhase phase() {
		return this.phase;
	}

	/**
	 * Applies events and the passing of time.
	 * @param events the events in order
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return the actions in order
	 */
	List<FailoverAction> advance(List<FailoverEvent> events, long now) {
		if (now - this.lastAdvancedAt >= FailoverTiming.STALL_THRESHOLD_NANOSECONDS) {
			// After a stall of this process, missing responses do not indicate a failure.
			// The primary gets at least half of the timeout to respond.
			long assumedAnswerAt = now - FailoverTiming.SUSPICION_TIMEOUT_NANOSECONDS / 2;
			this.primaryAnsweredAt = later(this.primaryAnsweredAt, assumedAnswerAt);
		}
		this.lastAdvancedAt = now;
		if (this.sealPending) {
			this.sealPending = false;
			this.collectingSince = now;
			this.actions.add(new FailoverAction.Seal(this.sealedTerm));
		}
		events.forEach((event) -> accept(event, now));
		for (int i = 0; i < MAXIMUM_PHASES_PER_CALL; i++) {
			FailoverPhase before = this.phase;
			advancePhase(now);
			if (this.phase == before) {
				break;
			}
		}
		sendFollowCommands(now);
		return this.actions;
	}

	private void accept(FailoverEvent event, long now) {
		if (event instanceof FailoverEvent.StatusAnswered answered) {
			acceptStatus(answered, now);
		}
		else if (event instanceof FailoverEvent.GroupChanged changed) {
			acceptView(changed.view(), now);
		}
		else if (event instanceof FailoverEvent.ReserveAnswered answered) {
			acceptReservation(answered, now);
		}
		else if (event instanceof FailoverEvent.PromoteAnswered answered) {
			acceptPromotion(answered, now);
		}
		else if (event instanceof FailoverEvent.ConfirmAnswered answered) {
			acceptConfirmation(answered);
		}
	}

	private void acceptStatus(FailoverEvent.StatusAnswered answered, long now) {
		String member = answered.status().member();
		FailoverEvent.StatusAnswered known = this.latestResponses.get(member);
		boolean outdated = known != null && answered.sentAt() - known.sentAt() < 0;
		if (outdated || !this.view.members().containsKey(member)) {
			return;
		}
		this.latestResponses.put(member, answered);
		Primary expected = (this.activePrimary != null) ? this.activePrimary : this.target;
		if (expected != null && actsAs(answered, expected)) {
			this.primaryAnsweredAt = later(this.primaryAnsweredAt, answered.answeredAt());
		}
		if (this.phase == FailoverPhase.PROMOTING && actsAs(answered, this.target)) {
			startConfirmation(now);
		}
	}

	private void acceptView(GroupView changed, long now) {
		if (changed.version() < this.view.version()) {
			return;
		}
		if (!changed.members().keySet().equals(this.view.members().keySet())) {
			this.membersChangedAt = now;
		}
		this.view = changed;
		this.latestResponses.keySet().retainAll(changed.members().keySet());
		boolean reserved = this.phase == FailoverPhase.RESERVING && changed.reservedTerm() == this.target.term();
		if (reserved && changed.candidate().equals(this.target.member())) {
			startPromotion(now);
		}
		boolean confirmed = this.phase == FailoverPhase.CONFIRMING && changed.term() == this.target.term();
		if (confirmed && changed.primary().equals(this.target.member())) {
			completeFailover();
		}
	}

	private void acceptReservation(FailoverEvent.ReserveAnswered answered, long now) {
		if (this.phase != FailoverPhase.RESERVING || answered.newTerm() != this.target.term()) {
			return;
		}
		if (answered.accepted()) {
			startPromotion(now);
		}
		else {
			// The reservation times out after the retry delay at the latest.
			long assumedElapsed = FailoverTiming.RESERVATION_TIMEOUT_NANOSECONDS
					- FailoverTiming.RESERVATION_RETRY_DELAY_NANOSECONDS;
			this.phaseSince = earlier(this.phaseSince, now - assumedElapsed);
		}
	}

	private void acceptPromotion(FailoverEvent.PromoteAnswered answered, long now) {
		boolean expected = this.phase == FailoverPhase.PROMOTING && answered.term() == this.target.term()
				&& answered.member().equals(this.target.member());
		if (!expected) {
			return;
		}
		if (answered.accepted()) {
			startConfirmation(now);
		}
		else {
			abandonPromotion(now);
		}
	}

	private void acceptConfirmation(FailoverEvent.ConfirmAnswered answered) {
		// A refusal may mean that an earlier submission was accepted; in that case the
		// view contains the confirmation.
		boolean expected = this.phase == FailoverPhase.CONFIRMING && answered.term() == this.target.term();
		if (expected && answered.accepted()) {
			completeFailover();
		}
	}

	private void advancePhase(long now) {
		switch (this.phase) {
			case FIRST_START -> advanceFirstStart(now);
			case STEADY, WAITING_FOR_MAJORITY -> advanceSteady(now);
			case COLLECTING -> advanceCollecting(now);
			case RESERVING -> advanceReserving(now);
			case PROMOTING -> advancePromoting(now);
			case CONFIRMING -> advanceConfirming(now);
		}
	}

	private void advanceFirstStart(long now) {
		List<FailoverEvent.StatusAnswered> responses = responsesSince(this.collectingSince, now);
		boolean settled = now - this.membersChangedAt >= FailoverTiming.FIRST_START_SETTLE_NANOSECONDS;
		boolean allResponded = responses.size() == this.view.members().size();
		boolean timedOut = now - this.ownedSince >= FailoverTiming.FIRST_START_TIMEOUT_NANOSECONDS;
		boolean enoughResponded = allResponded || (timedOut && responses.size() >= this.quorum.required(this.view));
		if (responses.isEmpty() || !settled || !enoughResponded) {
			return;
		}
		Comparator<FailoverEvent.StatusAnswered> byRole = Comparator
			.comparing((response) -> response.status().role() == MemberRole.PRIMARY);
		Comparator<FailoverEvent.StatusAnswered> byTerm = Comparator.comparingLong(
				(response) -> (response.status().role() == MemberRole.PRIMARY) ? response.status().term() : 0);
		responses.stream()
			.max(byRole.thenComparing(byTerm).thenComparing(preference()))
			.ifPresent((best) -> reserve(best.status().member(), now));
	}

	private void advanceSteady(long now) {
		boolean unresponsive = now - this.primaryAnsweredAt >= FailoverTiming.SUSPICION_TIMEOUT_NANOSECONDS;
		if (unresponsive && reachable(now).size() < this.quorum.required(this.view)) {
			enter(FailoverPhase.WAITING_FOR_MAJORITY, now);
			return;
		}
		enter(FailoverPhase.STEADY, now);
		if (unresponsive) {
			startFailover(false, now);
		}
		else if (isPlannedFailoverDue(now)) {
			startFailover(true, now);
		}
	}

	private boolean isPlannedFailoverDue(long now) {
		FailoverEvent.StatusAnswered primary = this.latestResponses.get(this.activePrimary.member());
		boolean leaving = this.view.member(this.activePrimary.member()).filter(MemberDescription::leaving).isPresent();
		if (!leaving || primary == null || now - this.nextPlannedFailoverAt < 0) {
			return false;
		}
		return reachable(now).size() >= this.quorum.required(this.view)
				&& reachable(now).stream().anyMatch((response) -> mayReplace(response, primary));
	}

	private boolean mayReplace(FailoverEvent.StatusAnswered replica, FailoverEvent.StatusAnswered primary) {
		LogPosition position = replica.status().position();
		LogPosition requiredPosition = primary.status().position();
		boolean withinLag = position.term() == requiredPosition.term()
				&& requiredPosition.index() - position.index() <= FailoverTiming.PLANNED_FAILOVER_MAXIMUM_LAG_RECORDS;
		return withinLag && !isLeaving(replica);
	}

	private void startFailover(boolean isPlanned, long now) {
		this.previousPrimary = this.activePrimary;
		this.planned = isPlanned;
		this.nextPlannedFailoverAt = isPlanned ? now + FailoverTiming.PLANNED_FAILOVER_INTERVAL_NANOSECONDS
				: this.nextPlannedFailoverAt;
		this.failedCandidate = "";
		seal(this.activePrimary.term(), now);
	}

	private void seal(long term, long now) {
		this.activePrimary = null;
		this.target = null;
		this.sealedTerm = Math.max(this.sealedTerm, term);
		this.collectingSince = now;
		// A request sent at the time of the seal, but answered before it, does not count.
		this.latestResponses.values()
			.forEach((response) -> this.collectingSince = later(this.collectingSince, response.sentAt() + 1));
		this.actions.add(new FailoverAction.Seal(this.sealedTerm));
		enter(this.view.primary().isEmpty() ? FailoverPhase.FIRST_START : FailoverPhase.COLLECTING, now);
	}

	private void advanceCollecting(long now) {
		List<FailoverEvent.StatusAnswered> responses = responsesSince(this.collectingSince, now);
		if (responses.size() < this.quorum.required(this.view)) {
			return;
		}
		boolean previousPrimaryReachable = reachable(now).stream()
			.anyMatch((response) -> response.status().member().equals(this.previousPrimary.member()));
		boolean inTime = now - this.collectingSince < FailoverTiming.CATCH_UP_TIMEOUT_NANOSECONDS;
		if (this.planned && previousPrimaryReachable && inTime) {
			successor(responses).ifPresent((member) -> reserve(member, now));
			return;
		}
		candidate(responses).ifPresent((member) -> reserve(member, now));
	}

	// A leaving primary is replaced by a member that holds its entire log.
	private Optional<String> successor(List<FailoverEvent.StatusAnswered> responses) {
		Optional<LogPosition> requiredPosition = responses.stream()
			.filter((response) -> response.status().member().equals(this.previousPrimary.member()))
			.map((response) -> response.status().position())
			.findFirst();
		return requiredPosition.flatMap((position) -> responses.stream()
			.filter((response) -> !isLeaving(response) && response.status().position().includes(position))
			.max(preference())
			.map((response) -> response.status().member()));
	}

	// A log with a later term than any reserved one has diverged. A member whose
	// promotion failed is excluded if the remaining members form a majority, because
	// their most advanced member is an equally safe candidate.
	private Optional<String> candidate(List<FailoverEvent.StatusAnswered> responses) {
		List<FailoverEvent.StatusAnswered> others = responses.stream()
			.filter((response) -> !response.status().member().equals(this.failedCandidate))
			.toList();
		boolean enough = others.size() >= this.quorum.required(this.view);
		long highestTerm = Math.max(this.view.reservedTerm(), this.attemptedTerm);
		return (enough ? others : responses).stream()
			.filter((response) -> response.status().position().term() <= highestTerm)
			.max(preference())
			.map((response) -> response.status().member());
	}

	private Comparator<FailoverEvent.StatusAnswered> preference() {
		return Comparator.<FailoverEvent.StatusAnswered, LogPosition>comparing(
				(response) -> response.status().position())
			.thenComparing((response) -> !isLeaving(response))
			.thenComparing((response) -> !response.status().member().equals(this.failedCandidate))
			.thenComparing((response) -> this.previousPrimary == null
					|| !response.status().member().equals(this.previousPrimary.member()))
			.thenComparing((response) -> response.status().member());
	}

	// Each attempt uses a new term, so that the response to an earlier attempt cannot be
	// mistaken for the response to this one.
	private void reserve(String member, long now) {
		long highest = Math.max(this.view.reservedTerm(), this.attemptedTerm);
		for (FailoverEvent.StatusAnswered response : this.latestResponses.values()) {
			highest = Math.max(highest, response.status().term());
		}
		this.attemptedTerm = highest + 1;
		this.target = new Primary(member, this.attemptedTerm);
		this.actions.add(new FailoverAction.Reserve(this.view.reservedTerm(), this.attemptedTerm, member));
		enter(FailoverPhase.RESERVING, now);
	}

	private void advanceReserving(long now) {
		if (now - this.phaseSince >= FailoverTiming.RESERVATION_TIMEOUT_NANOSECONDS) {
			seal(this.target.term(), now);
		}
	}

	private void startPromotion(long now) {
		Invariants.check(this.target.term() > this.promotedTerm && this.target.term() > this.sealedTerm, Step.PROMOTE,
				this.target.member(), "a term must be used for one promotion only");
		this.promotedTerm = this.target.term();
		enter(FailoverPhase.PROMOTING, now);
		sendPromotion(now);
	}

	private void sendPromotion(long now) {
		this.lastCommandAt = now;
		this.view.member(this.target.member())
			.ifPresent((member) -> this.actions
				.add(new FailoverAction.Promote(member.member(), member.address(), this.target.term())));
	}

	private void advancePromoting(long now) {
		if (now - this.phaseSince >= FailoverTiming.PROMOTION_TIMEOUT_NANOSECONDS) {
			abandonPromotion(now);
		}
		else if (now - this.lastCommandAt >= FailoverTiming.COMMAND_RETRY_INTERVAL_NANOSECONDS) {
			sendPromotion(now);
		}
	}

	private void abandonPromotion(long now) {
		this.failedCandidate = this.target.member();
		seal(this.target.term(), now);
	}

	private void startConfirmation(long now) {
		this.primaryAnsweredAt = now;
		enter(FailoverPhase.CONFIRMING, now);
		submitConfirmation(now);
	}

	private void submitConfirmation(long now) {
		Invariants.check(this.target.term() == this.promotedTerm, Step.PROMOTE, this.target.member(),
				"only a member that was promoted for a term may be confirmed for it");
		this.lastCommandAt = now;
		this.actions.add(new FailoverAction.Confirm(this.target.term(), this.target.member()));
	}

	private void advanceConfirming(long now) {
		if (now - this.phaseSince >= FailoverTiming.CONFIRMATION_TIMEOUT_NANOSECONDS) {
			abandonPromotion(now);
		}
		else if (now - this.lastCommandAt >= FailoverTiming.CONFIRMATION_RETRY_INTERVAL_NANOSECONDS) {
			submitConfirmation(now);
		}
	}

	private void completeFailover() {
		Invariants.check(this.target.term() > this.sealedTerm, Step.PROMOTE, this.target.member(),
				"a sealed term must not become active");
		this.activePrimary = this.target;
		this.target = null;
		this.previousPrimary = null;
		this.planned = false;
		this.failedCandidate = "";
		this.phase = FailoverPhase.STEADY;
	}

	private void sendFollowCommands(long now) {
		boolean confirming = this.phase == FailoverPhase.CONFIRMING;
		Primary primary = confirming ? this.target : this.activePrimary;
		Optional<MemberDescription> primaryMember = Optional.ofNullable(primary)
			.flatMap((present) -> this.view.member(present.member()));
		if (primaryMember.isEmpty()) {
			return;
		}
		for (FailoverEvent.StatusAnswered response : reachable(now)) {
			String member = response.status().member();
			if (mustFollow(response, primary) && mayRepeatCommand(response, now)) {
				this.followSentAt.put(member, now);
				this.view.member(member)
					.ifPresent((description) -> this.actions.add(new FailoverAction.Follow(member,
							description.address(), primary.term(), primaryMember.get().address())));
			}
		}
	}

	private static boolean mustFollow(FailoverEvent.StatusAnswered response, Primary primary) {
		boolean other = !response.status().member().equals(primary.member());
		boolean behind = response.status().term() < primary.term();
		return other && (behind || response.status().role() == MemberRole.PRIMARY);
	}

	private boolean mayRepeatCommand(FailoverEvent.StatusAnswered response, long now) {
		Long last = this.followSentAt.get(response.status().member());
		return last == null || now - last >= FailoverTiming.COMMAND_RETRY_INTERVAL_NANOSECONDS;
	}

	private List<FailoverEvent.StatusAnswered> reachable(long now) {
		return this.latestResponses.values()
			.stream()
			.filter((response) -> now - response.answeredAt() < FailoverTiming.REACHABILITY_TIMEOUT_NANOSECONDS)
			.sorted(Comparator.comparing((response) -> response.status().member()))
			.toList();
	}

	private List<FailoverEvent.StatusAnswered> responsesSince(long since, long now) {
		return reachable(now).stream()
			.filter((response) -> response.sentAt() - since >= 0)
			.filter((response) -> this.view.members().containsKey(response.status().member()))
			.toList();
	}

	private boolean isLeaving(FailoverEvent.StatusAnswered response) {
		return this.view.member(response.status().member()).filter(MemberDescription::leaving).isPresent();
	}

	private static boolean actsAs(FailoverEvent.StatusAnswered answered, Primary primary) {
		return answered.status().role() == MemberRole.PRIMARY && answered.status().term() == primary.term()
				&& Objects.equals(answered.status().member(), primary.member());
	}

	private void enter(FailoverPhase next, long now) {
		if (this.phase != next) {
			this.phase = next;
			this.phaseSince = now;
		}
	}

	private static long later(long first, long second) {
		return (first - second >= 0) ? first : second;
	}

	private static long earlier(long first, long second) {
		return (first - second <= 0) ? first : second;
	}

}
