package org.magnolialead.api.servicelevel;

import java.util.List;
import java.util.Objects;

/**
 * Write slots of one database group that a daemon owns or uses. Slots without data are
 * omitted.
 *
 * @param group name of the group
 * @param tenSeconds slots of ten seconds, oldest first
 * @param fiveMinutes slots of five minutes, oldest first
 */
public record GroupSeries(String group, List<WriteSlot> tenSeconds, List<WriteSlot> fiveMinutes) {

	public GroupSeries {
		Objects.requireNonNull(group, "group must not be null");
		tenSeconds = List.copyOf(tenSeconds);
		fiveMinutes = List.copyOf(fiveMinutes);
	}

	/**
	 * Returns the slots of a resolution.
	 * @param resolution length of the slots
	 * @return the slots, oldest first
	 */
	public List<WriteSlot> slots(SlotResolution resolution) {
		return (resolution == SlotResolution.TEN_SECONDS) ? this.tenSeconds : this.fiveMinutes;
	}

}
