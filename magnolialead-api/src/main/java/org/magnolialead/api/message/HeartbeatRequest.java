package org.magnolialead.api.message;

import java.util.List;

import org.magnolialead.api.MemberDescription;

/**
 * Heartbeat with which an entry daemon requests a lease from the control leader.
 *
 * @param daemon name of the daemon
 * @param incarnation identifier of its process
 * @param peerAddress address for the peer protocol
 * @param availabilityZone its availability zone
 * @param draining whether it is shutting down
 * @param viewVersion version of its fleet view
 * @param removalsVersion version up to which it knows the removed daemons; at least
 * {@code viewVersion}, and greater while it receives a view in parts
 * @param ownedGroups reports about the groups it owns
 * @param announcements announcements of database members that differ from its view
 * @param acceptsPackedChange whether it understands a packed change of the view
 */
public record HeartbeatRequest(String daemon, String incarnation, String peerAddress, String availabilityZone,
		boolean draining, long viewVersion, long removalsVersion, List<OwnedGroupReport> ownedGroups,
		List<MemberDescription> announcements, boolean acceptsPackedChange) {

	public HeartbeatRequest {
		removalsVersion = Math.max(removalsVersion, viewVersion);
		ownedGroups = List.copyOf(ownedGroups);
		announcements = List.copyOf(announcements);
	}

	/**
	 * Creates a heartbeat of a daemon that does not understand packed changes.
	 * @param daemon name of the daemon
	 * @param incarnation identifier of its process
	 * @param peerAddress address for the peer protocol
	 * @param availabilityZone its availability zone
	 * @param draining whether it is shutting down
	 * @param viewVersion version of its fleet view
	 * @param removalsVersion version up to which it knows the removed daemons
	 * @param ownedGroups reports about the groups it owns
	 * @param announcements announcements of database members that differ from its view
	 */
	public HeartbeatRequest(String daemon, String incarnation, String peerAddress, String availabilityZone,
			boolean draining, long viewVersion, long removalsVersion, List<OwnedGroupReport> ownedGroups,
			List<MemberDescription> announcements) {
		this(daemon, incarnation, peerAddress, availabilityZone, draining, viewVersion, removalsVersion, ownedGroups,
				announcements, false);
	}

}
