package org.magnolialead.api.message;

import org.magnolialead.api.FleetViewChange;

/**
 * Answer of a control daemon to a heartbeat.
 *
 * @param leaseMilliseconds length of the granted lease, counted by the daemon from the
 * time it sent the heartbeat; 0 if none is granted
 * @param leaderAddress peer address of the leader if known, otherwise an empty string
 * @param change what changed since the view version of the heartbeat, or {@code null}
 */
public record HeartbeatAnswer(long leaseMilliseconds, String leaderAddress, FleetViewChange change) {
}
