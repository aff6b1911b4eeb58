package org.magnolialead.ctl.report;

import java.util.Objects;

import org.magnolialead.api.servicelevel.ServiceLevelSnapshot;
import org.magnolialead.api.servicelevel.SlotResolution;

/**
 * Service level snapshot of one daemon.
 *
 * @param address address of the daemon
 * @param collectedAtMilliseconds wall-clock time of the collector at which the response
 * arrived, in milliseconds since the Unix epoch
 * @param snapshot snapshot that the daemon returned
 */
public record CollectedSnapshot(String address, long collectedAtMilliseconds, ServiceLevelSnapshot snapshot) {

	public CollectedSnapshot {
		Objects.requireNonNull(address, "address must not be null");
		Objects.requireNonNull(snapshot, "snapshot must not be null");
	}

	/**
	 * Returns the offset to add to the daemon's slot numbers to align them with those of
	 * other daemons. Differences of less than half a slot are not corrected, because the
	 * transmission of the response takes time too.
	 * @param resolution length of the slots
	 * @return the number of slots by which the daemon's clock is behind
	 */
	long clockOffsetSlots(SlotResolution resolution) {
		double behind = this.collectedAtMilliseconds - this.snapshot.takenAtMilliseconds();
		return Math.round(behind / resolution.milliseconds());
	}

	/**
	 * Returns the slot in which the snapshot was taken.
	 * @param resolution length of the slots
	 * @return number of the slot on the clock of the collector
	 */
	long lastSlot(SlotResolution resolution) {
		return resolution.slotAt(this.snapshot.takenAtMilliseconds()) + clockOffsetSlots(resolution);
	}

}
