package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.engine.session.PrimaryProgress;

/**
 * Tracks the primary of one group. It finds the primary by probing the members: only the
 * primary accepts the begin of a transaction that may write, and a member answers that
 * without a slot.
 */
final class PrimaryTracker {

	private static final System.Logger LOGGER = System.getLogger(PrimaryTracker.class.getName());

	/** Minimum interval between two probes of the same member. */
	private static final long PROBE_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(60);

	private final GroupRouter router;

	private final PrimaryProgress progress = new PrimaryProgress();

	private final Map<String, Long> probedAt = new HashMap<>();

	private MemberPool primary;

	private long confirmedAt;

	private MemberPool formerPrimary;

	private long lostAt;

	private String expectedPrimary = "";

	private String viewPrimary = "";

	PrimaryTracker(GroupRouter router, long now) {
		this.router = router;
		this.lostAt = now;
		this.confirmedAt = now;
	}

	private long now() {
		return this.router.now();
	}

	PrimaryProgress progress() {
		return this.progress;
	}

	Optional<MemberPool> primary() {
		return Optional.ofNullable(this.primary);
	}

	long lostAt() {
		return this.lostAt;
	}

	/**
	 * Applies the current view of the group. A newly confirmed primary takes precedence
	 * over members that report to be the primary.
	 * @param view the view
	 */
	void viewChanged(GroupView view) {
		Optional<MemberDescription> reporting = view.allMembers()
			.stream()
			.filter(MemberDescription::reportsPrimary)
			.max(Comparator.comparingLong(MemberDescription::startedAtMilliseconds));
		String confirmed = view.primary();
		boolean changed = !confirmed.equals(this.viewPrimary);
		this.viewPrimary = confirmed;
		this.expectedPrimary = (changed || reporting.isEmpty()) ? confirmed : reporting.get().member();
		boolean differs = this.primary != null && !this.expectedPrimary.isEmpty()
				&& !this.primary.member().member().equals(this.expectedPrimary);
		if (differs) {
			probe(this.router.pool(this.expectedPrimary));
		}
	}

	/**
	 * Sets the member that is expected to become the primary, and probes it.
	 * @param member name of the member
	 */
	void expectPrimary(String member) {
		this.expectedPrimary = member;
		probe(this.router.pool(member));
	}

	/**
	 * Records that a member is no longer used as the primary, because it is leaving,
	 * cannot be reached or reported that it is not the primary. Has no effect for any
	 * other member.
	 * @param pool the member
	 * @param cause cause for the log
	 */
	void primaryLost(MemberPool pool, String cause) {
		if (this.primary != pool) {
			return;
		}
		this.primary = null;
		this.formerPrimary = pool;
		this.lostAt = now();
		LogEvent.SESSION_PRIMARY_LOST.log(LOGGER, this.router.group(), pool.member().member(), cause);
		if (this.router.needsPrimary()) {
			probeAll(this.router.waitingAccount());
		}
	}

	/**
	 * Records a log position whose answer proves that the member was the primary when the
	 * request was sent.
	 * @param pool the member
	 * @param requestedAt time in nanoseconds before the request was sent
	 * @param position log position of the member, or {@code null} if it reported none
	 */
	void primaryConfirmed(MemberPool pool, long requestedAt, LogPosition position) {
		if (position == null) {
			return;
		}
		// An answer to an older request than the last confirmation may be outdated.
		if (requestedAt - this.confirmedAt < 0) {
			return;
		}
		this.confirmedAt = requestedAt;
		if (this.primary == pool) {
			this.progress.recordPosition(requestedAt, position);
		}
		else if (this.router.pool(pool.member().member()) == pool) {
			this.primary = pool;
			this.progress.recordNewPrimary(requestedAt, position);
			LogEvent.SESSION_PRIMARY_FOUND.log(LOGGER, this.router.group(), pool.member().member(), position.term(),
					position.index());
			this.router.dispatch();
		}
	}

	/**
	 * Probes all members, the expected primary first.
	 * @param account client account on whose behalf connections are opened, or an empty
	 * string
	 */
	void probeAll(String account) {
		List<MemberPool> candidates = new ArrayList<>(this.router.pools());
		candidates
			.sort(Comparator.comparing((MemberPool pool) -> !pool.member().member().equals(this.expectedPrimary)));
		candidates.forEach((pool) -> probe(pool, account));
	}

	/**
	 * Probes whether a member is the primary, unless it was probed within the probe
	 * interval.
	 * @param pool the member, or {@code null} for none
	 */
	void probe(MemberPool pool) {
		probe(pool, this.router.waitingAccount());
	}

	private void probe(MemberPool pool, String account) {
		if (pool == null) {
			return;
		}
		long now = now();
		Long lastProbedAt = this.probedAt.get(pool.member().member());
		if (lastProbedAt != null && now - lastProbedAt < PROBE_INTERVAL_NANOSECONDS) {
			return;
		}
		Optional<PooledConnection> free = pool.freeForInternalCommand();
		if (free.isEmpty()) {
			pool.dialForProbe(account);
			return;
		}
		this.probedAt.put(pool.member().member(), now);
		PooledConnection connection = free.get();
		connection.acquire(now);
		connection.sendUnqueued(MemberCommand.internal(MemberCommand.Kind.BEGIN),
				(reply) -> probeAnswered(connection, now, reply));
	}

	private void probeAnswered(PooledConnection connection, long requestedAt, StatementReply reply) {
		MemberPool pool = connection.pool();
		this.probedAt.put(pool.member().member(), requestedAt + 1);
		if (reply.error() == StatementError.CONNECTION_LOST) {
			connection.discard();
			return;
		}
		if (reply.isDone()) {
			primaryConfirmed(pool, requestedAt, reply.position());
		}
		else if (reply.error() == StatementError.NOT_PRIMARY) {
			primaryLost(pool, "asked");
		}
		this.router.endTransaction(connection, reply.state());
	}

	/**
	 * Tells whether the former primary is unavailable.
	 * @return {@code true} if this daemon has no connection to it, because it is down or
	 * was removed, or if it cannot be reached through other daemons either
	 */
	boolean isFormerPrimaryUnavailable() {
		return this.formerPrimary != null
				&& (!this.formerPrimary.hasConnection() || this.formerPrimary.isUnreachable());
	}

}
