package org.magnolialead.ctl.report;

import org.magnolialead.api.servicelevel.SlotResolution;

/**
 * Windows over which burn rates are computed. A window consists of the most recent slots,
 * including the current, incomplete one.
 */
enum BurnWindow {

	/** One minute. */
	ONE_MINUTE("1 min", SlotResolution.TEN_SECONDS, 6),
	/** Five minutes. */
	FIVE_MINUTES("5 min", SlotResolution.TEN_SECONDS, 30),
	/** Half an hour. */
	THIRTY_MINUTES("30 min", SlotResolution.TEN_SECONDS, 180),
	/** One hour. */
	ONE_HOUR("1 h", SlotResolution.TEN_SECONDS, 360),
	/** Six hours. */
	SIX_HOURS("6 h", SlotResolution.FIVE_MINUTES, 72),
	/** Three days. */
	THREE_DAYS("3 d", SlotResolution.FIVE_MINUTES, 864);

	private final String label;

	private final SlotResolution resolution;

	private final int slots;

	BurnWindow(String label, SlotResolution resolution, int slots) {
		this.label = label;
		this.resolution = resolution;
		this.slots = slots;
	}

	String label() {
		return this.label;
	}

	SlotResolution resolution() {
		return this.resolution;
	}

	int slots() {
		return this.slots;
	}

	/**
	 * Returns the number of slots of a plot that correspond to this window.
	 * @param plotted resolution of the plot
	 * @return the number of slots; 0 if the window is not a whole number of slots or
	 * exceeds the retention period
	 */
	int slotsOf(SlotResolution plotted) {
		long milliseconds = this.slots * this.resolution.milliseconds();
		long count = milliseconds / plotted.milliseconds();
		boolean fits = milliseconds % plotted.milliseconds() == 0 && count <= plotted.retainedSlots();
		return fits ? (int) count : 0;
	}

}
