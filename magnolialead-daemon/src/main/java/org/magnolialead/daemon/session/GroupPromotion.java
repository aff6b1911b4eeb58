package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.daemon.entry.CommandSubmitter;
import org.magnolialead.engine.session.PromotionSelection;
import org.magnolialead.engine.session.PromotionSelection.Candidate;

/**
 * Replaces the primary of one group that this daemon owns. One promotion is in progress
 * at a time: members are asked for what they have received, the term is reserved in the
 * control log, the platform is told, and the result is recorded once the member leads.
 */
final class GroupPromotion {

	private static final System.Logger LOGGER = System.getLogger(GroupPromotion.class.getName());

	/** Time without any leading member after which one is promoted. */
	private static final long NO_PRIMARY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(700);

	/**
	 * The same if the former primary no longer accepts connections, so that only its
	 * successor can lead.
	 */
	private static final long GONE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

	/** Silence of the primary's connections after which it is asked something. */
	private static final long PING_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(250);

	/** Time to wait for the answers of members. */
	private static final long STATUS_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(250);

	/** Time after which a promotion that did not succeed is begun anew. */
	private static final long ATTEMPT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(2_500);

	/** Wait after the platform refused an order. */
	private static final long REFUSED_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_000);

	/** Time for commands to the control log. */
	private static final long COMMAND_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(2_000);

	/** Time for a replica to receive what a primary had when it was demoted. */
	private static final long CATCH_UP_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(600);

	private static final long ANSWER_POLL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(5);

	private static final long POLL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(50);

	private final PromotionController controller;

	private final GroupRouter router;

	private final long ownerEpoch;

	private GroupView view;

	private long pingedAt;

	private long attempt;

	private boolean inProgress;

	private long attemptEndsAt;

	private long notBefore;

	private String candidate = "";

	private boolean confirming;

	private boolean stopped;

	GroupPromotion(PromotionController controller, GroupRouter router, GroupView view) {
		this.controller = controller;
		this.router = router;
		this.view = view;
		this.ownerEpoch = view.ownerEpoch();
		this.pingedAt = router.now();
		// A new owner first learns from the members who leads.
		this.notBefore = router.now() + NO_PRIMARY_NANOSECONDS;
	}

	long ownerEpoch() {
		return this.ownerEpoch;
	}

	String group() {
		return this.view.group();
	}

	void viewChanged(GroupView group) {
		this.view = group;
	}

	void stop() {
		this.stopped = true;
	}

	boolean isInProgress() {
		return this.inProgress;
	}

	int reachableMembers() {
		return (int) this.router.pools().stream().filter(MemberPool::hasConnection).count();
	}

	/**
	 * Looks whether something is due.
	 */
	void tick() {
		long now = this.router.now();
		if (this.stopped || !this.controller.holdsLease()) {
			return;
		}
		if (this.inProgress) {
			followPromotion(now);
			return;
		}
		pingIfSilent(now);
		Optional<MemberPool> primary = this.router.primary();
		if (primary.isEmpty()) {
			long patience = this.router.primaries().isFormerGone() ? GONE_NANOSECONDS : NO_PRIMARY_NANOSECONDS;
			if (now - this.router.primaries().lostAt() >= patience && now - this.notBefore >= 0) {
				start("no member leads", null);
			}
			return;
		}
		MemberPool pool = primary.get();
		confirmIfNew(pool);
		if (pool.health().isFailed(now) && now - this.notBefore >= 0) {
			this.router.primaries().lost(pool, "does not answer");
			start("primary does not answer", null);
		}
		else if (pool.member().leaving() && now - this.notBefore >= 0 && hasSuccessor(pool)) {
			start("primary is leaving", pool);
		}
	}

	private boolean hasSuccessor(MemberPool leaving) {
		return this.router.pools()
			.stream()
			.anyMatch((pool) -> pool != leaving && pool.isUsable() && pool.hasConnection());
	}

	private void pingIfSilent(long now) {
		if (now - this.pingedAt >= PING_NANOSECONDS) {
			this.pingedAt = now;
			this.router.primary().ifPresent(this.router.primaries()::ask);
		}
	}

	// Records a primary that the control log does not know: the first one of the group,
	// or one that an earlier owner promoted.
	private void confirmIfNew(MemberPool pool) {
		String member = pool.member().member();
		if (this.confirming || member.equals(this.view.primary()) || !this.view.members().containsKey(member)) {
			return;
		}
		this.confirming = true;
		if (this.view.term() == 0 && this.view.reservedTerm() == 0) {
			confirm(1, member);
			return;
		}
		long term = this.view.reservedTerm() + 1;
		submit(new ControlCommand.ReservePromotion(group(), this.ownerEpoch, this.view.reservedTerm(), term, member),
				(result) -> confirm(term, member), () -> this.confirming = false);
	}

	private void confirm(long term, String member) {
		submit(new ControlCommand.ConfirmPrimary(group(), this.ownerEpoch, term, member),
				(result) -> this.confirming = false, () -> this.confirming = false);
	}

	private void start(String cause, MemberPool leaving) {
		this.inProgress = true;
		this.attempt++;
		long number = this.attempt;
		this.attemptEndsAt = this.router.now() + ATTEMPT_NANOSECONDS;
		this.candidate = "";
		LogEvent.SESSION_PROMOTION_STARTED.log(LOGGER, group(), cause, this.ownerEpoch);
		askMembers(number, leaving, this.router.now() + STATUS_NANOSECONDS);
	}

	private void askMembers(long number, MemberPool leaving, long until) {
		if (!isCurrent(number)) {
			return;
		}
		Map<MemberPool, MemberStatus> answers = new LinkedHashMap<>();
		int asked = 0;
		for (MemberPool pool : this.router.pools()) {
			if (pool != leaving && askStatus(pool, answers)) {
				asked++;
			}
		}
		if (asked == 0) {
			if (this.router.now() - until >= 0) {
				end("no member could be asked");
				return;
			}
			// The connections are in use, for example to ask who leads.
			this.controller.services().after(ANSWER_POLL_NANOSECONDS, () -> askMembers(number, leaving, until));
			return;
		}
		awaitAnswers(number, answers, asked, this.router.now() + STATUS_NANOSECONDS, leaving);
	}

	private void awaitAnswers(long number, Map<MemberPool, MemberStatus> answers, int asked, long until,
			MemberPool leaving) {
		boolean complete = answers.size() == asked;
		if (complete || this.router.now() - until >= 0) {
			choose(number, answers, leaving);
			return;
		}
		this.controller.services()
			.after(ANSWER_POLL_NANOSECONDS, () -> awaitAnswers(number, answers, asked, until, leaving));
	}

	private boolean askStatus(MemberPool pool, Map<MemberPool, MemberStatus> answers) {
		Optional<PooledConnection> free = pool.free(Map.of());
		if (free.isEmpty()) {
			pool.dialForWaiting();
			return false;
		}
		PooledConnection connection = free.get();
		connection.take(this.router.now());
		this.controller.services().after(STATUS_NANOSECONDS, () -> {
			if (connection.isTaken() && !answers.containsKey(pool)) {
				connection.discard();
			}
		});
		connection.send(MemberCommand.own(MemberCommand.Kind.STATUS), (reply) -> {
			if (reply.error() == StatementError.CONNECTION_LOST) {
				connection.discard();
				return;
			}
			Optional<MemberStatus> status = status(reply);
			if (status.isEmpty()) {
				LogEvent.MEMBER_ANSWER_REFUSED.log(LOGGER, group(), pool.member().member(),
						"no status: error=%s rows=%s".formatted(reply.error(), reply.rows()));
			}
			status.ifPresent((known) -> answers.put(pool, known));
			connection.release();
		});
		return true;
	}

	private Optional<MemberStatus> status(StatementReply reply) {
		return this.controller.services().dialer().status(reply);
	}

	private boolean leading(MemberStatus status) {
		return status.primary() && status.term() >= this.router.progress().term();
	}

	private boolean isCurrent(long number) {
		return !this.stopped && this.inProgress && this.attempt == number && this.controller.holdsLease();
	}

	private void choose(long number, Map<MemberPool, MemberStatus> answers, MemberPool leaving) {
		if (!isCurrent(number)) {
			return;
		}
		Optional<MemberPool> leads = answers.keySet()
			.stream()
			.filter((pool) -> leading(answers.get(pool)) && leaving == null)
			.findFirst();
		if (leads.isPresent()) {
			String leader = leads.get().member().member();
			end("member %s leads".formatted(leader));
			this.router.primaries().expect(leader);
			return;
		}
		List<Candidate> candidates = new ArrayList<>();
		answers.forEach((pool, status) -> candidates
			.add(new Candidate(pool.member().member(), status.received(), pool.member().leaving())));
		Optional<Candidate> chosen = PromotionSelection.select(candidates);
		if (chosen.isEmpty()) {
			end("no member answers");
			return;
		}
		this.candidate = chosen.get().member();
		reserve(number, leaving);
	}

	private void reserve(long number, MemberPool leaving) {
		long term = this.view.reservedTerm() + 1;
		ControlCommand command = new ControlCommand.ReservePromotion(group(), this.ownerEpoch, this.view.reservedTerm(),
				term, this.candidate);
		submit(command, (result) -> {
			if (!isCurrent(number)) {
				return;
			}
			if (leaving != null) {
				demote(number, term, leaving);
			}
			else {
				order(number, term);
			}
		}, () -> end("the promotion could not be recorded"));
	}

	// The leaving primary stops to accept writes first, so that its successor can receive
	// all that was acknowledged.
	private void demote(long number, long term, MemberPool leaving) {
		Optional<PooledConnection> free = leaving.free(Map.of());
		if (free.isEmpty()) {
			this.controller.services().after(POLL_NANOSECONDS / 2, () -> {
				if (isCurrent(number)) {
					if (this.router.now() - this.attemptEndsAt < -ATTEMPT_NANOSECONDS / 2) {
						demote(number, term, leaving);
					}
					else {
						order(number, term);
					}
				}
			});
			return;
		}
		PooledConnection connection = free.get();
		connection.take(this.router.now());
		String memberTerm = Long.toString(this.router.progress().term() + 1);
		connection.send(MemberCommand.own(MemberCommand.Kind.DEMOTE, memberTerm), (reply) -> {
			if (reply.error() == StatementError.CONNECTION_LOST) {
				connection.discard();
			}
			else {
				connection.release();
			}
			if (isCurrent(number)) {
				LogPosition target = status(reply).map(MemberStatus::received).orElse(LogPosition.NONE);
				this.router.primaries().lost(leaving, "is leaving");
				awaitCaughtUp(number, term, target, this.router.now() + CATCH_UP_NANOSECONDS);
			}
		});
	}

	private void awaitCaughtUp(long number, long term, LogPosition target, long until) {
		if (!isCurrent(number)) {
			return;
		}
		MemberPool pool = this.router.pool(this.candidate);
		if (pool == null || this.router.now() - until >= 0) {
			order(number, term);
			return;
		}
		Map<MemberPool, MemberStatus> answers = new LinkedHashMap<>();
		askStatus(pool, answers);
		this.controller.services().after(POLL_NANOSECONDS, () -> {
			boolean caughtUp = answers.values().stream().anyMatch((status) -> status.received().includes(target));
			if (caughtUp) {
				if (isCurrent(number)) {
					order(number, term);
				}
			}
			else {
				awaitCaughtUp(number, term, target, until);
			}
		});
	}

	private void order(long number, long term) {
		LogEvent.PROMOTION_ORDERED.log(LOGGER, group(), this.candidate, term);
		String ordered = this.candidate;
		this.controller.order(group(), ordered, this.ownerEpoch, (result) -> {
			if (!isCurrent(number)) {
				return;
			}
			if (result == PromotionService.Result.ACCEPTED) {
				this.router.primaries().expect(ordered);
				return;
			}
			LogEvent.PROMOTION_FAILED.log(LOGGER, group(), ordered, term, result);
			end("the platform answered " + result);
			if (result == PromotionService.Result.REFUSED) {
				this.notBefore = this.router.now() + REFUSED_NANOSECONDS;
			}
		});
	}

	private void followPromotion(long now) {
		boolean ordered = !this.candidate.isEmpty();
		Optional<MemberPool> primary = this.router.primary();
		if (ordered && primary.isPresent() && primary.get().member().member().equals(this.candidate)) {
			LogEvent.PRIMARY_CONFIRMED.log(LOGGER, group(), this.candidate, this.view.reservedTerm());
			if (this.view.reservedTerm() > this.view.term() && this.view.candidate().equals(this.candidate)) {
				this.confirming = true;
				confirm(this.view.reservedTerm(), this.candidate);
			}
			end("promoted");
			return;
		}
		if (ordered && primary.isEmpty()) {
			this.router.primaries().ask(this.router.pool(this.candidate));
		}
		if (now - this.attemptEndsAt >= 0) {
			end("took too long");
		}
	}

	private void end(String cause) {
		this.inProgress = false;
		LogEvent.SESSION_PROMOTION_ENDED.log(LOGGER, group(), this.candidate, cause);
	}

	private void submit(ControlCommand command, Consumer<CommandResult> accepted, Runnable notAccepted) {
		CommandSubmitter control = this.controller.control();
		control.submit(command, this.router.now() + COMMAND_NANOSECONDS)
			.whenComplete((result, failure) -> this.controller.services().execute(() -> {
				if (failure == null && result.isAccepted()) {
					accepted.accept(result);
				}
				else {
					notAccepted.run();
				}
			}));
	}

}
