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
import org.magnolialead.engine.session.PrimaryProgress;

/**
 * What this daemon knows of who leads one group. It finds the primary by itself: only the
 * primary accepts the begin of a transaction that may write, and that costs a member
 * nothing.
 */
final class PrimaryTracker {

	private static final System.Logger LOGGER = System.getLogger(PrimaryTracker.class.getName());

	/** Wait between two questions to the same member whether it is the primary. */
	private static final long SEARCH_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(60);

	private final GroupRouter router;

	private final PrimaryProgress progress = new PrimaryProgress();

	private final Map<String, Long> searchedAt = new HashMap<>();

	private MemberPool primary;

	private long provedAt;

	private MemberPool former;

	private long lostAt;

	private String hint = "";

	private String viewPrimary = "";

	PrimaryTracker(GroupRouter router, long now) {
		this.router = router;
		this.lostAt = now;
		this.provedAt = now;
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
	 * Applies the present view of the group.
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
		this.hint = (changed || reporting.isEmpty()) ? confirmed : reporting.get().member();
		boolean other = this.primary != null && !this.hint.isEmpty()
				&& !this.primary.member().member().equals(this.hint);
		if (other) {
			ask(this.router.pool(this.hint));
		}
	}

	/**
	 * Names the member that is expected to lead next.
	 * @param member name of the member
	 */
	void expect(String member) {
		this.hint = member;
		ask(this.router.pool(member));
	}

	/**
	 * Notes that the primary is leaving, can no longer be reached, or refused work
	 * because another member leads.
	 * @param pool the member
	 * @param cause why, for the log
	 */
	void lost(MemberPool pool, String cause) {
		if (this.primary != pool) {
			return;
		}
		this.primary = null;
		this.former = pool;
		this.lostAt = now();
		LogEvent.SESSION_PRIMARY_LOST.log(LOGGER, this.router.group(), pool.member().member(), cause);
		search();
	}

	/**
	 * Notes a position that proves that the member led when it was asked.
	 * @param pool the member
	 * @param askedAt time in nanoseconds before the request left
	 * @param position position of its log
	 */
	void proved(MemberPool pool, long askedAt, LogPosition position) {
		if (position == null) {
			return;
		}
		// An answer that was overtaken says nothing about who leads now.
		if (askedAt - this.provedAt < 0) {
			return;
		}
		this.provedAt = askedAt;
		if (this.primary == pool) {
			this.progress.recordPosition(askedAt, position);
		}
		else if (this.router.pool(pool.member().member()) == pool) {
			this.primary = pool;
			this.progress.recordNewPrimary(askedAt, position);
			LogEvent.SESSION_PRIMARY_FOUND.log(LOGGER, this.router.group(), pool.member().member(), position.term(),
					position.index());
			this.router.pump();
		}
	}

	/**
	 * Asks all members whether they lead, the expected one first.
	 */
	void search() {
		List<MemberPool> candidates = new ArrayList<>(this.router.pools());
		candidates.sort(Comparator.comparing((MemberPool pool) -> !pool.member().member().equals(this.hint)));
		candidates.forEach(this::ask);
	}

	/**
	 * Asks a member whether it is the primary, unless a question is in progress.
	 * @param pool the member, or {@code null} to ask none
	 */
	void ask(MemberPool pool) {
		if (pool == null) {
			return;
		}
		long now = now();
		Long asked = this.searchedAt.get(pool.member().member());
		if (asked != null && now - asked < SEARCH_NANOSECONDS) {
			return;
		}
		Optional<PooledConnection> free = pool.free(Map.of());
		if (free.isEmpty()) {
			pool.dialToAsk();
			return;
		}
		this.searchedAt.put(pool.member().member(), now);
		PooledConnection connection = free.get();
		connection.take(now);
		connection.begin(MemberCommand.own(MemberCommand.Kind.BEGIN), (reply) -> answered(connection, now, reply));
	}

	private void answered(PooledConnection connection, long askedAt, StatementReply reply) {
		MemberPool pool = connection.pool();
		this.searchedAt.put(pool.member().member(), askedAt + 1);
		if (reply.error() == StatementError.CONNECTION_LOST) {
			connection.discard();
			return;
		}
		if (reply.isDone()) {
			proved(pool, askedAt, reply.position());
		}
		else if (reply.error() == StatementError.NOT_PRIMARY) {
			lost(pool, "asked");
		}
		this.router.endTransaction(connection, reply.state());
	}

	/**
	 * Tells whether the former primary accepts no connections.
	 * @return {@code true} if it was lost because it no longer runs, was removed, or is
	 * not reached by other daemons either
	 */
	boolean isFormerGone() {
		return this.former != null && (!this.former.hasConnection() || this.former.isUnreachable());
	}

}
