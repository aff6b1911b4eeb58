package org.magnolialead.daemon.session;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.engine.session.ConnectionShare;
import org.magnolialead.engine.session.PrimaryProgress;
import org.magnolialead.engine.session.QueueAdmission;

/**
 * Gives the statements of this daemon's sessions to the members of one group, the most
 * urgent first.
 */
final class GroupRouter {

	/** Time for which a replica that lacked a position gets no further reads. */
	private static final long BEHIND_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(250);

	private final String group;

	private final SessionServices services;

	private final Map<String, MemberPool> pools = new HashMap<>();

	private final PrimaryTracker primaries;

	private final TreeSet<Work> waiting = new TreeSet<>();

	private long sequence;

	private boolean pumping;

	private boolean pumpAgain;

	GroupRouter(String group, SessionServices services) {
		this.group = group;
		this.services = services;
		this.primaries = new PrimaryTracker(this, services.now());
	}

	String group() {
		return this.group;
	}

	long now() {
		return this.services.now();
	}

	/**
	 * Returns who leads the group, as far as this daemon knows.
	 * @return the tracker
	 */
	PrimaryTracker primaries() {
		return this.primaries;
	}

	PrimaryProgress progress() {
		return this.primaries.progress();
	}

	Optional<MemberPool> primary() {
		return this.primaries.primary();
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
			pool.update(member, share, ConnectionShare.maximum(share, mayLead));
		}
		List.copyOf(this.pools.values())
			.stream()
			.filter((pool) -> !view.members().containsKey(pool.member().member()))
			.forEach(this::remove);
		this.primaries.viewChanged(view);
		tick();
	}

	private static boolean isOtherProcess(MemberDescription known, MemberDescription present) {
		return !known.address().equals(present.address())
				|| known.startedAtMilliseconds() != present.startedAtMilliseconds();
	}

	private void remove(MemberPool pool) {
		this.pools.remove(pool.member().member());
		this.primaries.lost(pool, "removed");
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
		if (QueueAdmission.rejects(ahead(work), connections(work), service(work), work.deadline() - now())) {
			work.refuse(StatementError.OVERLOADED);
			return;
		}
		this.waiting.add(work);
		pump();
	}

	private boolean lacksMember(Work work) {
		if (work.plan().onReplica()) {
			return this.pools.values().stream().noneMatch(MemberPool::hasConnection);
		}
		return primary().map((pool) -> !pool.hasConnection()).orElse(true);
	}

	private int ahead(Work work) {
		return this.waiting.headSet(work).size();
	}

	private int connections(Work work) {
		if (!work.plan().onReplica()) {
			return primary().map(MemberPool::connectionCount).orElse(1);
		}
		return this.pools.values().stream().mapToInt(MemberPool::connectionCount).sum();
	}

	private long service(Work work) {
		if (!work.plan().onReplica() && primary().isPresent()) {
			return primary().get().serviceNanoseconds();
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
		try {
			do {
				this.pumpAgain = false;
				grantWaiting();
			}
			while (this.pumpAgain);
		}
		finally {
			this.pumping = false;
		}
	}

	private void grantWaiting() {
		for (Work work : List.copyOf(this.waiting)) {
			if (work.isCancelled()) {
				this.waiting.remove(work);
			}
			else if (grantIfPossible(work)) {
				this.pumpAgain = true;
			}
		}
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
			return freeOrDial(primary().orElse(null), work);
		}
		long now = now();
		MemberPool primary = primary().orElse(null);
		Optional<PooledConnection> free = this.pools.values()
			.stream()
			.filter((pool) -> pool.isUsable() && pool != primary && pool != work.avoided() && !pool.isBehind(now)
					&& pool.permits(work))
			.sorted(Comparator.comparingLong(MemberPool::serviceNanoseconds))
			.map((pool) -> pool.free(work.values()))
			.flatMap(Optional::stream)
			.findFirst();
		if (free.isPresent()) {
			return free;
		}
		this.pools.values()
			.stream()
			.filter((pool) -> pool.isUsable() && pool.free(work.values()).isEmpty())
			.forEach(MemberPool::dialForWaiting);
		boolean primaryServes = primary != null && primary.isUsable() && primary.permits(work);
		return primaryServes ? primary.free(work.values()) : Optional.empty();
	}

	private Optional<PooledConnection> freeOrDial(MemberPool pool, Work work) {
		if (pool == null) {
			this.primaries.search();
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
			if (work.isCancelled() || work.isOverdue(now) || work.shouldGoElsewhere(now) && lacksMember(work)) {
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
		if (primary().isEmpty()) {
			this.primaries.search();
		}
		pump();
	}

	private void refuse(Work work, StatementError error) {
		this.waiting.remove(work);
		if (!work.isCancelled()) {
			work.refuse(error);
		}
	}

	void dialFailed(MemberPool pool, DialError error) {
		if (error == DialError.WRONG_MEMBER || pool.health().isFailed(now())) {
			this.primaries.lost(pool, "connect: " + error);
		}
		pump();
	}

	/**
	 * Notes that a replica lacked a position, so that reads go elsewhere for a while.
	 * @param pool the member
	 */
	void noteBehind(MemberPool pool) {
		pool.behindUntil(now() + BEHIND_NANOSECONDS);
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
