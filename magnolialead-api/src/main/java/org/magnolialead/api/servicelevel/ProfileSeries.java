package org.magnolialead.api.servicelevel;

import java.util.List;
import java.util.Objects;

import org.magnolialead.api.Rank;

/**
 * Request slots of one profile and rank. Slots without requests are omitted.
 *
 * @param profile name of the profile
 * @param rank rank of the profile when the requests were answered
 * @param tenSeconds slots of ten seconds, oldest first
 * @param fiveMinutes slots of five minutes, oldest first
 */
public record ProfileSeries(String profile, Rank rank, List<RequestSlot> tenSeconds, List<RequestSlot> fiveMinutes) {

	public ProfileSeries {
		Objects.requireNonNull(profile, "profile must not be null");
		Objects.requireNonNull(rank, "rank must not be null");
		tenSeconds = List.copyOf(tenSeconds);
		fiveMinutes = List.copyOf(fiveMinutes);
	}

	/**
	 * Returns the slots of a resolution.
	 * @param resolution length of the slots
	 * @return the slots, oldest first
	 */
	public List<RequestSlot> slots(SlotResolution resolution) {
		return (resolution == SlotResolution.TEN_SECONDS) ? this.tenSeconds : this.fiveMinutes;
	}

}
