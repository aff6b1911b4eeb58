package org.magnolialead.engine.session;

import java.util.Objects;
import java.util.Optional;

import org.magnolialead.api.FreshnessRule;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.Route;

/**
 * Routing decision for a read. If no required position is known, the read runs in a
 * transaction on the primary, which refuses it if the member is no longer the primary.
 *
 * @param onReplica whether a replica may serve the read
 * @param required log position that the serving member must have applied; {@code NONE}
 * for the primary
 */
public record ReadPlan(boolean onReplica, LogPosition required) {

	/**
	 * Plan for a read that only the primary may serve.
	 */
	public static final ReadPlan PRIMARY = new ReadPlan(false, LogPosition.NONE);

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

	/**
	 * Divisor for the part of the permitted age that is reserved for clocks that run at
	 * different rates.
	 */
	private static final long CLOCK_RATE_MARGIN_DIVISOR = 10;

	public ReadPlan {
		Objects.requireNonNull(required, "required must not be null");
	}

	/**
	 * Plans a read.
	 * @param route route of the session
	 * @param sessionPosition position of the last commit of the session
	 * @param progress positions of the primary
	 * @param receivedAt time in nanoseconds before the first byte of the read, or of its
	 * transaction, arrived
	 * @return the plan
	 */
	public static ReadPlan of(Route route, LogPosition sessionPosition, PrimaryProgress progress, long receivedAt) {
		if (!route.permitsReplica()) {
			return PRIMARY;
		}
		long maximumAge = route.maximumAgeMilliseconds() * NANOSECONDS_PER_MILLISECOND;
		Optional<LogPosition> ageBound = progress
			.positionAsOf(receivedAt - maximumAge + maximumAge / CLOCK_RATE_MARGIN_DIVISOR);
		if (ageBound.isEmpty()) {
			return PRIMARY;
		}
		LogPosition requiredPosition = ageBound.get();
		long termOfLatest = progress.latest().term();
		if (route.freshness() == FreshnessRule.SESSION) {
			// A position of an earlier term may have been rolled back, so that no member
			// reaches it.
			boolean earlierTerm = !sessionPosition.equals(LogPosition.NONE) && sessionPosition.term() < termOfLatest;
			if (earlierTerm) {
				return PRIMARY;
			}
			requiredPosition = LogPosition.later(requiredPosition, sessionPosition);
		}
		boolean rolledBack = requiredPosition.term() < termOfLatest;
		return rolledBack ? PRIMARY : new ReadPlan(true, requiredPosition);
	}

}
