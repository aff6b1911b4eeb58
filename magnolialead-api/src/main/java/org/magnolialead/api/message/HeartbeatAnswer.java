package org.magnolialead.api.message;

import java.util.List;

import org.magnolialead.api.FleetViewChange;

/**
 * Answer of a control daemon to a heartbeat.
 *
 * @param leaseMilliseconds length of the granted lease, counted by the daemon from the
 * time it sent the heartbeat; 0 if none is granted
 * @param leaderAddress peer address of the leader if known, otherwise an empty string
 * @param change what changed since the view version of the heartbeat, or {@code null}
 * @param controlAddresses peer addresses of the control daemons that vote at present,
 * which replace those of the settings; empty if not stated
 */
public record HeartbeatAnswer(long leaseMilliseconds, String leaderAddress, FleetViewChange change,
		List<String> controlAddresses) {

	public HeartbeatAnswer {
		controlAddresses = (controlAddresses != null) ? List.copyOf(controlAddresses) : List.of();
	}

	/**
	 * Creates an answer that does not state the control daemons.
	 * @param leaseMilliseconds length of the granted lease
	 * @param leaderAddress peer address of the leader
	 * @param change what changed
	 */
	public HeartbeatAnswer(long leaseMilliseconds, String leaderAddress, FleetViewChange change) {
		this(leaseMilliseconds, leaderAddress, change, List.of());
	}

}
