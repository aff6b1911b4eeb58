package org.magnolialead.ctl.report;

import java.util.Objects;

import org.magnolialead.api.servicelevel.ServiceLevelSnapshot;
import org.magnolialead.api.servicelevel.SlotResolution;

/**
 * Snapshot of one daemon.
 *
 * @param address address of the daemon
 * @param collectedAtMilliseconds wall clock of the collecting program when the answer
 * arrived, in milliseconds since 1970
 * @param snapshot what the daemon answered
 */
public record CollectedSnapshot(String address, long collectedAtMilliseconds, ServiceLevelSnapshot snapshot) {

	public CollectedSnapshot {
		Objects.requireNonNull(address, "address must not be null");
		Objects.requireNonNull(snapshot, "snapshot must not be null");
	}

	/**
	 * Returns what is added to the daemon's slot numbers to compare them with those of
	 * other daemons. Differences below half a slot are not corrected, as the way of the
	 * answer takes time too.
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
	 * @return number of the slot by the clock of the collecting program
	 */
	long lastSlot(SlotResolution resolution) {
		return resolution.slotAt(this.snapshot.takenAtMilliseconds()) + clockOffsetSlots(resolution);
	}

}
