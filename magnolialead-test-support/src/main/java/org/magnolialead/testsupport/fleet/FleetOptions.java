package org.magnolialead.testsupport.fleet;

import java.util.List;

/**
 * Size of a fleet and behaviour of its stand-ins.
 *
 * @param controlDaemons number of control daemons
 * @param entryDaemons number of entry daemons
 * @param groups number of database groups
 * @param membersPerGroup number of members of each group
 * @param slots number of statements that each member executes concurrently
 * @param connectionLimit maximum number of connections of each member
 * @param readMilliseconds service time of a read in milliseconds
 * @param writeMilliseconds service time of a write in milliseconds
 * @param lagMilliseconds replication lag in milliseconds
 * @param javaOptions JVM options of each process
 */
public record FleetOptions(int controlDaemons, int entryDaemons, int groups, int membersPerGroup, int slots,
		int connectionLimit, int readMilliseconds, int writeMilliseconds, int lagMilliseconds,
		List<String> javaOptions) {

	/**
	 * JVM options that reduce the memory and the start time of each process.
	 */
	public static final List<String> SMALL_JVM_OPTIONS = List.of("-Xmx128m", "-XX:+UseSerialGC",
			"-XX:TieredStopAtLevel=1", "-Xshare:auto");

	public FleetOptions {
		javaOptions = List.copyOf(javaOptions);
		if (controlDaemons < 1 || entryDaemons < 1 || groups < 1 || membersPerGroup < 1) {
			throw new IllegalArgumentException("a fleet needs at least one process of each kind");
		}
	}

	/**
	 * Returns the smallest fleet that survives the loss of any one process: 3 control
	 * daemons, 2 entry daemons and 1 group of 3 members with 2 slots and 20 connections.
	 * @return the options
	 */
	public static FleetOptions small() {
		return new FleetOptions(3, 2, 1, 3, 2, 20, 2, 3, 5, SMALL_JVM_OPTIONS);
	}

	/**
	 * Returns these options with other service times.
	 * @param read service time of a read in milliseconds
	 * @param write service time of a write in milliseconds
	 * @return the changed options
	 */
	public FleetOptions withServiceTimes(int read, int write) {
		return new FleetOptions(this.controlDaemons, this.entryDaemons, this.groups, this.membersPerGroup, this.slots,
				this.connectionLimit, read, write, this.lagMilliseconds, this.javaOptions);
	}

	/**
	 * Returns these options with another number of entry daemons.
	 * @param count number of entry daemons
	 * @return the changed options
	 */
	public FleetOptions withEntryDaemons(int count) {
		return new FleetOptions(this.controlDaemons, count, this.groups, this.membersPerGroup, this.slots,
				this.connectionLimit, this.readMilliseconds, this.writeMilliseconds, this.lagMilliseconds,
				this.javaOptions);
	}

}
