package org.magnolialead.ctl.report;

import java.util.Map;

/**
 * Burn rate above which operators should act. The long window shows that a considerable
 * part of the error budget has been used, the short window that the cause persists.
 */
enum BurnThreshold {

	/** Uses 2% of a 30-day error budget in one hour. */
	FAST(14.4, BurnWindow.ONE_HOUR, BurnWindow.FIVE_MINUTES),
	/** Uses 5% of a 30-day error budget in six hours. */
	SLOW(6, BurnWindow.SIX_HOURS, BurnWindow.THIRTY_MINUTES);

	private final double burnRate;

	private final BurnWindow longWindow;

	private final BurnWindow shortWindow;

	BurnThreshold(double burnRate, BurnWindow longWindow, BurnWindow shortWindow) {
		this.burnRate = burnRate;
		this.longWindow = longWindow;
		this.shortWindow = shortWindow;
	}

	double burnRate() {
		return this.burnRate;
	}

	/**
	 * Returns whether the threshold is exceeded in both windows.
	 * @param levels service level of each window
	 * @return {@code true} if so; {@code false} if a window has no requests
	 */
	boolean isExceeded(Map<BurnWindow, ServiceLevel> levels) {
		return levels.get(this.longWindow).burnRate() > this.burnRate
				&& levels.get(this.shortWindow).burnRate() > this.burnRate;
	}

	/**
	 * Returns whether an objective leaves such a large error budget that the threshold
	 * cannot be exceeded.
	 * @param objective target share of requests that are served within their deadline
	 * @return {@code true} if the burn rate does not exceed the threshold even if all
	 * requests fail
	 */
	boolean isUnreachable(double objective) {
		return ServiceLevel.burnRate(1, objective) <= this.burnRate;
	}

	String description() {
		return "over %s in %s and %s".formatted(this.burnRate, this.longWindow.label(), this.shortWindow.label());
	}

}
