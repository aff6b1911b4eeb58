package org.magnolialead.engine.session;

import java.util.Objects;
import java.util.Optional;

import org.magnolialead.api.FreshnessRule;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.Route;

/**
 * Where a read may run. A read that no position is known for runs in a transaction of the
 * primary, which refuses it if it has lost its role.
 *
 * @param onReplica whether a replica may serve the read
 * @param required position that the serving member must have applied; {@code NONE} for
 * the primary
 */
public record ReadPlan(boolean onReplica, LogPosition required) {

	/**
	 * Plan for a read that only the primary may serve.
	 */
	public static final ReadPlan PRIMARY = new ReadPlan(false, LogPosition.NONE);

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

	/** Share of the permitted age that is given up for clocks of different speeds. */
	private static final long CLOCK_RATE_MARGIN_DIVISOR = 10;

	public ReadPlan {
		Objects.requireNonNull(required, "required must not be null");
	}

	/**
	 * Plans a read.
	 * @param route route of the session
	 * @param sessionPosition position of the last commit of the session
	 * @param progress positions of the primary
	 * @param receivedAt time in nanoseconds at which the first byte of the read, or of
	 * its transaction, had not arrived yet
	 * @return the plan
	 */
	public static ReadPlan of(Route route, LogPosition sessionPosition, PrimaryProgress progress, long receivedAt) {
		if (!route.permitsReplica()) {
			return PRIMARY;
		}
		long age = route.maximumAgeMilliseconds() * NANOSECONDS_PER_MILLISECOND;
		Optional<LogPosition> shared = progress.positionAsOf(receivedAt - age + age / CLOCK_RATE_MARGIN_DIVISOR);
		if (shared.isEmpty()) {
			return PRIMARY;
		}
		LogPosition needed = shared.get();
		if (route.freshness() == FreshnessRule.SESSION) {
			// A position of an earlier term may have been rolled back, so that no member
			// ever reaches it.
			boolean earlierTerm = !sessionPosition.equals(LogPosition.NONE) && sessionPosition.term() < progress.term();
			if (earlierTerm) {
				return PRIMARY;
			}
			needed = LogPosition.later(needed, sessionPosition);
		}
		boolean rolledBack = needed.term() < progress.term();
		return rolledBack ? PRIMARY : new ReadPlan(true, needed);
	}

}
