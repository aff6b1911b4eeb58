package org.magnolialead.engine.session;

import org.magnolialead.api.LogPosition;

/**
 * Term in which the members of a group follow a primary. It increases with each
 * promotion. The term of a {@link LogPosition} is a different number: that of the primary
 * which wrote the commit. A new primary leads a higher term than that of its log position
 * until its first commit.
 *
 * @param number number of the term, 0 if none is known
 */
public record ReplicationTerm(long number) implements Comparable<ReplicationTerm> {

	/** Term before any that a member can have. */
	public static final ReplicationTerm NONE = new ReplicationTerm(0);

	public ReplicationTerm {
		if (number < 0) {
			throw new IllegalArgumentException("number must not be negative, found %d".formatted(number));
		}
	}

	/**
	 * Returns the term in which a commit was written, which is a lower bound of the
	 * present term.
	 * @param position position of the commit
	 * @return the term
	 */
	public static ReplicationTerm ofCommit(LogPosition position) {
		return new ReplicationTerm(position.term());
	}

	/**
	 * Returns the later of two terms.
	 * @param first the first term
	 * @param second the second term
	 * @return the later term
	 */
	public static ReplicationTerm later(ReplicationTerm first, ReplicationTerm second) {
		return (first.compareTo(second) >= 0) ? first : second;
	}

	/**
	 * Returns the next term.
	 * @return the term after this one
	 */
	public ReplicationTerm next() {
		return new ReplicationTerm(this.number + 1);
	}

	@Override
	public int compareTo(ReplicationTerm other) {
		return Long.compare(this.number, other.number);
	}

	@Override
	public String toString() {
		return Long.toString(this.number);
	}

}
