package org.magnolialead.api.message;

import java.util.List;

import org.magnolialead.api.MemberDescription;

/**
 * Heartbeat of an entry daemon to the control leader; asks for a lease.
 *
 * @param daemon name of the daemon
 * @param incarnation identifier of its process
 * @param peerAddress address for the peer protocol
 * @param availabilityZone its availability zone
 * @param draining whether it is shutting down
 * @param viewVersion version of its fleet view
 * @param ownedGroups reports about the groups it owns
 * @param announcements announcements of database members that differ from its view
 */
public record HeartbeatRequest(String daemon, String incarnation, String peerAddress, String availabilityZone,
		boolean draining, long viewVersion, List<OwnedGroupReport> ownedGroups, List<MemberDescription> announcements) {

	public HeartbeatRequest {
		ownedGroups = List.copyOf(ownedGroups);
		announcements = List.copyOf(announcements);
	}
}
