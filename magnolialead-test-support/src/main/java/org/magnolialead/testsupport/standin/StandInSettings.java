package org.magnolialead.testsupport.standin;

import java.util.List;
import java.util.Objects;

import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.MemberRole;

/**
 * Settings of a database stand-in.
 *
 * @param group name of the database group
 * @param member name of the member
 * @param host host to listen on
 * @param port port to listen on; 0 selects a free port
 * @param availabilityZone availability zone of the member
 * @param announceAddresses HTTP addresses, in the form {@code host:port}, of the daemons
 * to which the member announces itself
 * @param slots number of statements executed concurrently
 * @param connectionLimit maximum number of connections
 * @param connectionCostMilliseconds time in milliseconds from the opening of a connection
 * until its first request is handled
 * @param readMilliseconds time in milliseconds for which a read occupies a slot
 * @param writeMilliseconds time in milliseconds for which a write occupies a slot
 * @param lagMilliseconds replication lag between receiving and applying a record in
 * milliseconds
 * @param role initial role
 * @param term initial term
 * @param primary address of the primary from which a replica copies records initially, or
 * an empty string
 * @param announcedAddress address that the member announces, such as the address of a
 * proxy, or an empty string to announce the listening address
 */
public record StandInSettings(String group, String member, String host, int port, String availabilityZone,
		List<String> announceAddresses, int slots, int connectionLimit, long connectionCostMilliseconds,
		long readMilliseconds, long writeMilliseconds, long lagMilliseconds, MemberRole role, long term, String primary,
		String announcedAddress) {

	public StandInSettings {
		Objects.requireNonNull(group, "group must not be null");
		Objects.requireNonNull(member, "member must not be null");
		Objects.requireNonNull(role, "role must not be null");
		Objects.requireNonNull(primary, "primary must not be null");
		Objects.requireNonNull(announcedAddress, "announcedAddress must not be null");
		announceAddresses = List.copyOf(announceAddresses);
		if (slots < 1 || connectionLimit < 1) {
			throw new IllegalArgumentException("slots and connectionLimit must be positive");
		}
		if (connectionCostMilliseconds < 0 || readMilliseconds < 0 || writeMilliseconds < 0 || lagMilliseconds < 0
				|| term < 0) {
			throw new IllegalArgumentException("times and term must not be negative");
		}
	}

	/**
	 * Returns the default settings: a replica in term 0 on a free loopback port.
	 * @param group name of the group
	 * @param member name of the member
	 * @return the settings
	 */
	public static StandInSettings of(String group, String member) {
		return new StandInSettings(group, member, "127.0.0.1", 0, "zone-1", List.of(), 2, 20, 10, 2, 3, 0,
				MemberRole.REPLICA, 0, "", "");
	}

	/**
	 * Returns these settings with another initial role.
	 * @param role initial role
	 * @param term initial term
	 * @param primary address of the primary from which a replica copies records, or an
	 * empty string
	 * @return the new settings
	 */
	public StandInSettings withRole(MemberRole role, long term, String primary) {
		return new StandInSettings(this.group, this.member, this.host, this.port, this.availabilityZone,
				this.announceAddresses, this.slots, this.connectionLimit, this.connectionCostMilliseconds,
				this.readMilliseconds, this.writeMilliseconds, this.lagMilliseconds, role, term, primary,
				this.announcedAddress);
	}

	/**
	 * Returns these settings with another port.
	 * @param port the port; 0 selects a free port
	 * @return the new settings
	 */
	public StandInSettings withPort(int port) {
		return new StandInSettings(this.group, this.member, this.host, port, this.availabilityZone,
				this.announceAddresses, this.slots, this.connectionLimit, this.connectionCostMilliseconds,
				this.readMilliseconds, this.writeMilliseconds, this.lagMilliseconds, this.role, this.term, this.primary,
				this.announcedAddress);
	}

	/**
	 * Returns these settings with another capacity.
	 * @param slots number of statements executed concurrently
	 * @param connectionLimit maximum number of connections
	 * @return the new settings
	 */
	public StandInSettings withCapacity(int slots, int connectionLimit) {
		return new StandInSettings(this.group, this.member, this.host, this.port, this.availabilityZone,
				this.announceAddresses, slots, connectionLimit, this.connectionCostMilliseconds, this.readMilliseconds,
				this.writeMilliseconds, this.lagMilliseconds, this.role, this.term, this.primary,
				this.announcedAddress);
	}

	/**
	 * Returns these settings with other delays.
	 * @param connectionCost time from the opening of a connection until its first request
	 * is handled, in milliseconds
	 * @param read service time of a read in milliseconds
	 * @param write service time of a write in milliseconds
	 * @param lag replication lag between receiving and applying a record in milliseconds
	 * @return the new settings
	 */
	public StandInSettings withDelays(long connectionCost, long read, long write, long lag) {
		return new StandInSettings(this.group, this.member, this.host, this.port, this.availabilityZone,
				this.announceAddresses, this.slots, this.connectionLimit, connectionCost, read, write, lag, this.role,
				this.term, this.primary, this.announcedAddress);
	}

	/**
	 * Returns these settings with other daemons to which the member announces itself.
	 * @param addresses addresses of the HTTP servers of the daemons in the form
	 * {@code host:port}
	 * @return the new settings
	 */
	public StandInSettings withAnnounceAddresses(List<String> addresses) {
		return new StandInSettings(this.group, this.member, this.host, this.port, this.availabilityZone, addresses,
				this.slots, this.connectionLimit, this.connectionCostMilliseconds, this.readMilliseconds,
				this.writeMilliseconds, this.lagMilliseconds, this.role, this.term, this.primary,
				this.announcedAddress);
	}

	/**
	 * Returns these settings with another announced address.
	 * @param announced address in the form {@code host:port}
	 * @return the new settings
	 */
	public StandInSettings withAnnouncedAddress(String announced) {
		return new StandInSettings(this.group, this.member, this.host, this.port, this.availabilityZone,
				this.announceAddresses, this.slots, this.connectionLimit, this.connectionCostMilliseconds,
				this.readMilliseconds, this.writeMilliseconds, this.lagMilliseconds, this.role, this.term, this.primary,
				announced);
	}

	MemberDescription description(String address, boolean leaving) {
		return new MemberDescription(this.group, this.member, address, this.availabilityZone, this.slots,
				this.connectionLimit, leaving);
	}

}
