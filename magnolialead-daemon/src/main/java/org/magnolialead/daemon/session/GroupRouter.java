package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.engine.session.ConnectionShare;
import org.magnolialead.engine.session.OutageRule;
import org.magnolialead.engine.session.PrimaryProgress;
import org.magnolialead.engine.session.WaitRule;

/**
 * Gives the statements of this daemon's sessions to the members of one group. It finds
 * the primary by itself: only the primary accepts the begin of a transaction that may
 * write, and that costs a member nothing.
 */
final class GroupRouter {

	private static final System.Logger LOGGER = System.getLogger(GroupRouter.class.getName());

	/** Wait between two questions to the same member whether it is the primary. */
	private static final long SEARCH_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(60);

	/** Time for which a replica that lacked a position gets no further reads. */
	private static final long BEHIND_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(250);

	private final String group;

	private final SessionServices services;

	private final Map<String, MemberPool> pools = new HashMap<>();

	private final PrimaryProgress progress = new PrimaryProgress();

	private final TreeSet<Work> waiting = new TreeSet<>();

	private final Map<String, Long> searchedAt = new HashMap<>();

	private long sequence;

	private MemberPool primary;

	private long provedAt;

	private MemberPool formerPrimary;

	private long primaryLostAt;

	private String hint = "";

	private String viewPrimary = "";

	private boolean promotionReserved;

	private boolean replaced;

	private boolean pumping;

	private boolean pumpAgain;

	GroupRouter(String group, SessionServices services) {
		this.group = group;
		this.services = services;
		this.primaryLostAt = services.now();
		this.provedAt = this.primaryLostAt;
	}

	String group() {
		return this.group;
	}

	long now() {
		return this.services.now();
	}

	PrimaryProgress progress() {
		return this.progress;
	}

	Optional<MemberPool> primary() {
		return Optional.ofNullable(this.primary);
	}

	long primaryLostAt() {
		return this.primaryLostAt;
	}

	/**
	 * Tells whether the former primary accepts no connections.
	 * @return {@code true} if it was lost because it no longer runs, was removed, or is
	 * not reached by other daemons either
	 */
	boolean isPrimaryGone() {
		return this.formerPrimary != null
				&& (!this.formerPrimary.hasConnection() || this.formerPrimary.isUnreachable());
	}

	int waitingCount() {
		return this.waiting.size();
	}

	Collection<MemberPool> pools() {
		return this.pools.values();
	}

	MemberPool pool(String member) {
		return this.pools.get(member);
	}

	/**
	 * Applies the present view of the group.
	 * @param view the view
	 * @param connectionLimit greatest number of connections to one member, of all daemons
	 * together
	 * @param daemons number of daemons that share them
	 */
	void viewChanged(GroupView view, int connectionLimit, int daemons) {
		int share = ConnectionShare.permanent(connectionLimit, daemons);
		for (MemberDescription member : view.allMembers()) {
			MemberPool pool = this.pools.get(member.member());
			if (pool != null && isOtherProcess(pool.member(), member)) {
				remove(pool);
				pool = null;
			}
			if (pool == null) {
				pool = new MemberPool(this, this.services, member);
				this.pools.put(member.member(), pool);
			}
			boolean mayLead = member.member().equals(view.primary()) || member.reportsPrimary();
			pool.update(member, share, ConnectionShare.greatest(share, mayLead));
		}
		List.copyOf(this.pools.values())
			.stream()
			.filter((pool) -> !view.members().containsKey(pool.member().member()))
			.forEach(this::remove);
		this.promotionReserved = view.reservedTerm() > view.term();
		noteHint(view);
		tick();
	}

	private static boolean isOtherProcess(MemberDescription known, MemberDescription present) {
		return !known.address().equals(present.address())
				|| known.startedAtMilliseconds() != present.startedAtMilliseconds();
	}

	private void noteHint(GroupView view) {
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
			ask(this.pools.get(this.hint));
		}
	}

	/**
	 * Names the member that is expected to lead next.
	 * @param member name of the member
	 */
	void expectPrimary(String member) {
		this.hint = member;
		ask(this.pools.get(member));
	}

	private void remove(MemberPool pool) {
		this.pools.remove(pool.member().member());
		if (this.primary == pool) {
			primaryLost(pool, "removed");
		}
		pool.close();
	}

	void close() {
		List.copyOf(this.pools.values()).forEach(this::remove);
		List.copyOf(this.waiting).forEach((work) -> refuse(work, StatementError.OVERLOADED));
	}

	/**
	 * Runs work as soon as a connection is free, or refuses it.
	 * @param work the work
	 */
	void submit(Work work) {
		this.sequence++;
		work.sequence(this.sequence);
		if (this.waiting.isEmpty() && grantIfPossible(work)) {
			return;
		}
		if (!mayWait(work)) {
			work.refuse(StatementError.OVERLOADED);
			return;
		}
		if (WaitRule.refuses(ahead(work), connections(work), service(work), work.deadline() - now())) {
			work.refuse(StatementError.OVERLOADED);
			return;
		}
		this.waiting.add(work);
		pump();
	}

	private boolean mayWait(Work work) {
		return work.plan().onReplica() || this.primary != null
				|| OutageRule.waits(this.primaryLostAt, this.replaced, this.promotionReserved, now());
	}

	private int ahead(Work work) {
		return this.waiting.headSet(work).size();
	}

	private int connections(Work work) {
		if (!work.plan().onReplica()) {
			return (this.primary != null) ? this.primary.connectionCount() : 1;
		}
		return this.pools.values().stream().mapToInt(MemberPool::connectionCount).sum();
	}

	private long service(Work work) {
		if (!work.plan().onReplica() && this.primary != null) {
			return this.primary.serviceNanoseconds();
		}
		return (long) this.pools.values().stream().mapToLong(MemberPool::serviceNanoseconds).average().orElse(0);
	}

	/**
	 * Gives free connections to the most urgent work. Work that waits for the primary
	 * does not hold up reads that a replica can serve.
	 */
	void pump() {
		if (this.pumping) {
			this.pumpAgain = true;
			return;
		}
		this.pumping = true;
		do {
			this.pumpAgain = false;
			for (Work work : List.copyOf(this.waiting)) {
				if (work.isCancelled()) {
					this.waiting.remove(work);
				}
				else if (grantIfPossible(work)) {
					this.pumpAgain = true;
				}
			}
		}
		while (this.pumpAgain);
		this.pumping = false;
	}

	private boolean grantIfPossible(Work work) {
		Optional<PooledConnection> connection = connectionFor(work);
		if (connection.isEmpty()) {
			return false;
		}
		this.waiting.remove(work);
		connection.get().take(now());
		connection.get().pool().sent(work);
		work.grant(connection.get());
		return true;
	}

	private Optional<PooledConnection> connectionFor(Work work) {
		if (!work.plan().onReplica()) {
			return freeOrDial(this.primary, work);
		}
		long now = now();
		Optional<PooledConnection> free = this.pools.values()
			.stream()
			.filter((pool) -> pool.isUsable() && pool != this.primary && pool != work.avoided() && !pool.isBehind(now)
					&& pool.permits(work))
			.sorted(Comparator.comparingLong(MemberPool::serviceNanoseconds))
			.map((pool) -> pool.free(work.values()))
			.flatMap(Optional::stream)
			.findFirst();
		if (free.isPresent()) {
			return free;
		}
		this.pools.values().stream().filter(MemberPool::isUsable).forEach(MemberPool::dialForWaiting);
		boolean primaryServes = this.primary != null && this.primary.isUsable() && this.primary.permits(work);
		return primaryServes ? this.primary.free(work.values()) : Optional.empty();
	}

	private Optional<PooledConnection> freeOrDial(MemberPool pool, Work work) {
		if (pool == null) {
			search();
			return Optional.empty();
		}
		if (!pool.permits(work)) {
			return Optional.empty();
		}
		Optional<PooledConnection> free = pool.free(work.values());
		if (free.isEmpty()) {
			pool.dialForWaiting();
		}
		return free;
	}

	/**
	 * Refuses overdue work, keeps connections open and looks for the primary. To be
	 * called every few tens of milliseconds.
	 */
	void tick() {
		long now = now();
		for (Work work : List.copyOf(this.waiting)) {
			if (work.isCancelled() || work.isOverdue(now) || !mayWait(work)) {
				refuse(work, StatementError.OVERLOADED);
			}
		}
		for (MemberPool pool : List.copyOf(this.pools.values())) {
			if (pool.isUsable()) {
				pool.dialShare();
			}
			pool.tryDirectPath();
			pool.closeUnused();
		}
		if (this.primary == null) {
			search();
		}
		pump();
	}

	private void refuse(Work work, StatementError error) {
		this.waiting.remove(work);
		if (!work.isCancelled()) {
			work.refuse(error);
		}
	}

	/**
	 * Notes that a member refused work because it is not the primary, so that another one
	 * leads.
	 * @param pool the member
	 * @param cause why, for the log
	 */
	void primaryReplaced(MemberPool pool, String cause) {
		if (this.primary == pool) {
			primaryLost(pool, cause);
			this.replaced = true;
		}
	}

	/**
	 * Notes that the primary is leaving or can no longer be reached.
	 * @param pool the member
	 * @param cause why, for the log
	 */
	void primaryLost(MemberPool pool, String cause) {
		if (this.primary != pool) {
			return;
		}
		this.replaced = false;
		this.primary = null;
		this.formerPrimary = pool;
		this.primaryLostAt = now();
		LogEvent.SESSION_PRIMARY_LOST.log(LOGGER, this.group, pool.member().member(), cause);
		search();
	}

	void dialFailed(MemberPool pool, DialError error) {
		if (this.primary == pool && (error == DialError.WRONG_MEMBER || pool.health().isFailed(now()))) {
			primaryLost(pool, "connect: " + error);
		}
		pump();
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
			this.progress.note(askedAt, position);
		}
		else if (this.pools.get(pool.member().member()) == pool) {
			this.primary = pool;
			this.progress.restart(askedAt, position);
			LogEvent.SESSION_PRIMARY_FOUND.log(LOGGER, this.group, pool.member().member(), position.term(),
					position.index());
			pump();
		}
	}

	/**
	 * Notes that a replica lacked a position, so that reads go elsewhere for a while.
	 * @param pool the member
	 */
	void noteBehind(MemberPool pool) {
		pool.behindUntil(now() + BEHIND_NANOSECONDS);
	}

	private void search() {
		List<MemberPool> candidates = new ArrayList<>(this.pools.values());
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
			pool.dialShare();
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
			primaryReplaced(pool, "asked");
		}
		endTransaction(connection, reply.state());
	}

	/**
	 * Rolls back what a connection has open and returns it.
	 * @param connection the connection
	 * @param state its state after the last answer
	 */
	void endTransaction(PooledConnection connection, SessionState state) {
		if (state == SessionState.IDLE) {
			connection.release();
			return;
		}
		connection.send(MemberCommand.own(MemberCommand.Kind.ROLLBACK), (reply) -> {
			if (reply.state() == SessionState.IDLE && reply.error() != StatementError.CONNECTION_LOST) {
				connection.release();
			}
			else {
				connection.discard();
			}
		});
	}

}
