package org.magnolialead.engine.session;

/**
 * Token of one promotion order. The platform refuses an order if it has seen a higher
 * token for the same group, also when an order without an answer is executed late.
 *
 * @param number number that the platform compares
 */
public record FencingToken(long number) implements Comparable<FencingToken> {

	/**
	 * Returns the token of the order for a reserved term. The control log accepts each
	 * reservation with a higher term and in the present epoch of ownership only, and
	 * neither number ever decreases. Their sum therefore increases with each order of any
	 * owner. It also exceeds each token of versions that used the epoch alone.
	 * @param ownerEpoch epoch of the ownership in which the term was reserved
	 * @param reservedTerm term that was reserved for the order, at least 1
	 * @return the token
	 */
	public static FencingToken of(long ownerEpoch, long reservedTerm) {
		if (reservedTerm < 1) {
			throw new IllegalArgumentException("reservedTerm must be positive, found %d".formatted(reservedTerm));
		}
		return new FencingToken(ownerEpoch + reservedTerm);
	}

	@Override
	public int compareTo(FencingToken other) {
		return Long.compare(this.number, other.number);
	}

	@Override
	public String toString() {
		return Long.toString(this.number);
	}

}
