package org.magnolialead.api.message;

import java.util.List;

import org.magnolialead.api.FleetViewChange;

/**
 * Answer of a control daemon to a heartbeat.
 *
 * @param leaseMilliseconds duration of the granted lease in milliseconds, which the
 * daemon counts from the time at which it sent the heartbeat; 0 if no lease is granted
 * @param leaderAddress peer address of the leader if known, otherwise an empty string
 * @param change change of the fleet view since the view version of the heartbeat, or
 * {@code null}
 * @param controlAddresses peer addresses of the current voting control daemons, which
 * replace those from the settings; empty if not specified
 * @param packedChange the change in packed form, or {@code null}; only if the heartbeat
 * accepts it, and then in place of {@code change}
 */
public record HeartbeatAnswer(long leaseMilliseconds, String leaderAddress, FleetViewChange change,
		List<String> controlAddresses, byte[] packedChange) {

	public HeartbeatAnswer {
		controlAddresses = (controlAddresses != null) ? List.copyOf(controlAddresses) : List.of();
	}

	/**
	 * Creates an answer whose change is not packed.
	 * @param leaseMilliseconds duration of the granted lease in milliseconds; 0 if no
	 * lease is granted
	 * @param leaderAddress peer address of the leader if known, otherwise an empty string
	 * @param change change of the fleet view, or {@code null}
	 * @param controlAddresses peer addresses of the current voting control daemons
	 */
	public HeartbeatAnswer(long leaseMilliseconds, String leaderAddress, FleetViewChange change,
			List<String> controlAddresses) {
		this(leaseMilliseconds, leaderAddress, change, controlAddresses, null);
	}

	/**
	 * Creates an answer that does not specify the control daemons.
	 * @param leaseMilliseconds duration of the granted lease in milliseconds; 0 if no
	 * lease is granted
	 * @param leaderAddress peer address of the leader if known, otherwise an empty string
	 * @param change change of the fleet view, or {@code null}
	 */
	public HeartbeatAnswer(long leaseMilliseconds, String leaderAddress, FleetViewChange change) {
		this(leaseMilliseconds, leaderAddress, change, List.of(), null);
	}

	/**
	 * Returns this answer with its change in packed form.
	 * @param packed the packed change
	 * @return the answer
	 */
	public HeartbeatAnswer withPackedChange(byte[] packed) {
		return new HeartbeatAnswer(this.leaseMilliseconds, this.leaderAddress, null, this.controlAddresses, packed);
	}

	/**
	 * Returns this answer with its change unpacked.
	 * @param unpacked the change
	 * @return the answer
	 */
	public HeartbeatAnswer withChange(FleetViewChange unpacked) {
		return new HeartbeatAnswer(this.leaseMilliseconds, this.leaderAddress, unpacked, this.controlAddresses, null);
	}

}
