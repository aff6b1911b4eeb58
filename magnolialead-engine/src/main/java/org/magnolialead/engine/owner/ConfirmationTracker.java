package org.magnolialead.engine.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

import org.magnolialead.api.LogPosition;
import org.magnolialead.api.Step;

/**
 * Tracks writes that the primary has executed until a majority of the group's members
 * hold them. Not thread-safe.
 *
 * @param <W> type of the caller's work
 */
public final class ConfirmationTracker<W> {

	private static final Comparator<Pending<?>> BY_POSITION = Comparator
		.<Pending<?>, LogPosition>comparing(Pending::position)
		.thenComparingLong(Pending::number);

	private static final Comparator<Pending<?>> BY_DEADLINE = (first, second) -> {
		long difference = first.deadline() - second.deadline();
		return (difference != 0) ? Long.signum(difference) : Long.compare(first.number(), second.number());
	};

	private final TreeSet<Pending<W>> byPosition = new TreeSet<>(BY_POSITION);

	private final TreeSet<Pending<W>> byDeadline = new TreeSet<>(BY_DEADLINE);

	private final Map<String, LogPosition> reportedPositions = new HashMap<>();

	private Set<String> members = Set.of();

	private long sealedTerm = -1;

	private long nextNumber;

	/**
	 * Sets the members of the group.
	 * @param names names of all members, including the primary and unreachable ones
	 * @return writes that the change confirms
	 */
	public List<Pending<W>> members(Collection<String> names) {
		this.members = Set.copyOf(names);
		this.reportedPositions.keySet().retainAll(this.members);
		return removeConfirmed();
	}

	/**
	 * Adds a write that the primary has executed.
	 * @param position log position of the write; its term is the term of the primary
	 * @param deadline time at which the caller stops waiting
	 * @param primary name of the primary, which holds the write
	 * @param work the caller's work
	 * @return the write with its state: if the state is WAITING, a later call returns the
	 * outcome; otherwise the outcome is final
	 */
	public Pending<W> register(LogPosition position, long deadline, String primary, W work) {
		State state = stateOf(position, primary);
		Pending<W> pending = new Pending<>(this.nextNumber++, work, position, deadline, primary, state);
		if (state == State.WAITING) {
			this.byPosition.add(pending);
			this.byDeadline.add(pending);
		}
		return pending;
	}

	/**
	 * Records the log position of a member. Must be called in the order in which the
	 * requests to the member were sent. A member whose log was truncated no longer counts
	 * for the removed writes.
	 * @param member name of the member
	 * @param position reported position
	 * @return writes that the position confirms, by ascending position
	 */
	public List<Pending<W>> positionReported(String member, LogPosition position) {
		Objects.requireNonNull(position, "position must not be null");
		if (!this.members.contains(member)) {
			return List.of();
		}
		this.reportedPositions.put(member, position);
		return removeConfirmed();
	}

	/**
	 * Seals a term: none of its writes is confirmed from now on.
	 * @param term the term; earlier terms are sealed as well
	 * @return waiting writes of the sealed terms, whose outcome is unknown
	 */
	public List<Pending<W>> sealTerm(long term) {
		this.sealedTerm = Math.max(this.sealedTerm, term);
		List<Pending<W>> ended = new ArrayList<>();
		while (!this.byPosition.isEmpty() && isSealed(this.byPosition.first().position().term())) {
			ended.add(remove(this.byPosition.first()).withState(State.TERM_SEALED));
		}
		return List.copyOf(ended);
	}

	/**
	 * Tells whether a term is sealed.
	 * @param term the term
	 * @return {@code true} if nothing of the term may be acknowledged
	 */
	public boolean isSealed(long term) {
		return term <= this.sealedTerm;
	}

	/**
	 * Removes the writes whose deadline has passed. Their outcome is unknown to the
	 * caller.
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return the removed writes
	 */
	public List<Pending<W>> removeExpired(long now) {
		List<Pending<W>> expired = new ArrayList<>();
		while (!this.byDeadline.isEmpty() && this.byDeadline.first().deadline() - now <= 0) {
			expired.add(remove(this.byDeadline.first()).withState(State.EXPIRED));
		}
		return List.copyOf(expired);
	}

	/**
	 * Returns the lowest position of a waiting write, for which replicas are polled.
	 * @return the position, or empty if no write waits
	 */
	public Optional<LogPosition> lowestPending() {
		return this.byPosition.isEmpty() ? Optional.empty() : Optional.of(this.byPosition.first().position());
	}

	/**
	 * Returns the earliest deadline of a waiting write.
	 * @return the deadline, or empty if no write waits
	 */
	public OptionalLong nextDeadline() {
		return this.byDeadline.isEmpty() ? OptionalLong.empty() : OptionalLong.of(this.byDeadline.first().deadline());
	}

	/**
	 * Returns the number of waiting writes.
	 * @return the number
	 */
	public int waiting() {
		return this.byPosition.size();
	}

	private State stateOf(LogPosition position, String primary) {
		if (isSealed(position.term())) {
			return State.TERM_SEALED;
		}
		return isHeldByMajority(position, primary) ? State.CONFIRMED : State.WAITING;
	}

	private List<Pending<W>> removeConfirmed() {
		List<Pending<W>> confirmed = new ArrayList<>();
		while (!this.byPosition.isEmpty()) {
			Pending<W> lowest = this.byPosition.first();
			if (!isHeldByMajority(lowest.position(), lowest.primary())) {
				break;
			}
			Invariants.check(!isSealed(lowest.position().term()), Step.CONFIRM, lowest.primary(),
					"a write of a sealed term must not be confirmed");
			confirmed.add(remove(lowest).withState(State.CONFIRMED));
		}
		return List.copyOf(confirmed);
	}

	// Counts only positions of the same term. A log with a lower last term may have
	// diverged, and a higher term shows that another owner has replaced the primary.
	private boolean isHeldByMajority(LogPosition position, String primary) {
		if (this.members.isEmpty()) {
			return false;
		}
		int holders = 1;
		for (Map.Entry<String, LogPosition> entry : this.reportedPositions.entrySet()) {
			boolean sameTerm = entry.getValue().term() == position.term();
			if (!entry.getKey().equals(primary) && sameTerm && entry.getValue().includes(position)) {
				holders++;
			}
		}
		return holders >= this.members.size() / 2 + 1;
	}

	private Pending<W> remove(Pending<W> pending) {
		this.byPosition.remove(pending);
		this.byDeadline.remove(pending);
		return pending;
	}

	/** State of a write. */
	public enum State {

		/** Fewer than a majority of members are known to hold the write. */
		WAITING,
		/** A majority of members holds the write. */
		CONFIRMED,
		/** The term of the write is sealed; the outcome is unknown. */
		TERM_SEALED,
		/** The deadline has passed; the outcome is unknown to the caller. */
		EXPIRED

	}

	/**
	 * Write that the primary has executed.
	 *
	 * @param <W> type of the caller's work
	 * @param number number of the write, unique in the tracker
	 * @param work the caller's work
	 * @param position position of the write
	 * @param deadline time at which the caller stops waiting
	 * @param primary name of the primary
	 * @param state state of the write
	 */
	public record Pending<W>(long number, W work, LogPosition position, long deadline, String primary, State state) {

		Pending<W> withState(State changed) {
			return new Pending<>(this.number, this.work, this.position, this.deadline, this.primary, changed);
		}

	}

}
