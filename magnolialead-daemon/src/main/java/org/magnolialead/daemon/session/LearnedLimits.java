package org.magnolialead.daemon.session;

import java.util.concurrent.TimeUnit;

import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.log.LogRateLimiter;

/**
 * Whether reads follow the learned limits of the members, and the rate-limited log lines
 * about changes of these limits.
 */
final class LearnedLimits {

	private static final System.Logger LOGGER = System.getLogger(LearnedLimits.class.getName());

	private static final int LINES_PER_SECOND = 2;

	/** Factor between two logged limits of a member. */
	private static final int LOGGED_FACTOR = 2;

	private final boolean enabled;

	private final LogRateLimiter limiter;

	/**
	 * Creates the setting.
	 * @param enabled whether reads follow the limits
	 * @param now present time in nanoseconds
	 */
	LearnedLimits(boolean enabled, long now) {
		this.enabled = enabled;
		this.limiter = new LogRateLimiter(LINES_PER_SECOND, now);
	}

	boolean isEnabled() {
		return this.enabled;
	}

	/**
	 * Logs a limit that has fallen to a half or doubled since it was last logged.
	 * @param member the member
	 * @param before limit that was last logged, or the default
	 * @param after present limit
	 * @param smoothedNanoseconds smoothed time of a statement in nanoseconds
	 * @param now present time in nanoseconds
	 * @return the limit to compare with next time
	 */
	int logChange(MemberDescription member, int before, int after, long smoothedNanoseconds, long now) {
		if (after * LOGGED_FACTOR > before && after < before * LOGGED_FACTOR) {
			return before;
		}
		if (this.enabled && this.limiter.tryAcquire(now)) {
			LogEvent.MEMBER_LIMIT_CHANGED.log(LOGGER, member.group(), member.member(), before, after,
					TimeUnit.NANOSECONDS.toMillis(smoothedNanoseconds), this.limiter.takeDroppedLines());
		}
		return after;
	}

}
