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
 */
public record HeartbeatAnswer(long leaseMilliseconds, String leaderAddress, FleetViewChange change,
		List<String> controlAddresses) {

	public HeartbeatAnswer {
		controlAddresses = (controlAddresses != null) ? List.copyOf(controlAddresses) : List.of();
	}

	/**
	 * Creates an answer that does not specify the control daemons.
	 * @param leaseMilliseconds duration of the granted lease in milliseconds; 0 if no
	 * lease is granted
	 * @param leaderAddress peer address of the leader if known, otherwise an empty string
	 * @param change change of the fleet view, or {@code null}
	 */
	public HeartbeatAnswer(long leaseMilliseconds, String leaderAddress, FleetViewChange change) {
		this(leaseMilliseconds, leaderAddress, change, List.of());
	}

}
