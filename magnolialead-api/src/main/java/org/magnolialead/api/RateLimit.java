package org.magnolialead.api;

/**
 * Limit of the operations of a client account on all daemons together.
 *
 * @param operationsPerSecond number of operations that are permitted per second in the
 * long run
 * @param burst number of operations that are permitted at once after a time without any
 */
public record RateLimit(double operationsPerSecond, double burst) {

	public RateLimit {
		boolean valid = operationsPerSecond >= 0 && burst >= 0 && Double.isFinite(operationsPerSecond)
				&& Double.isFinite(burst);
		if (!valid) {
			throw new IllegalArgumentException(
					"operationsPerSecond and burst must be finite and not negative, found %s and %s"
						.formatted(operationsPerSecond, burst));
		}
	}

}
