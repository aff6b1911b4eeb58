package org.magnolialead.engine.control;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.magnolialead.api.DaemonView;

/**
 * Leases that a leader has granted to daemons during one leadership. Not thread-safe.
 * <p>
 * The table is not replicated. Because earlier leaders may have granted leases until
 * their authority ended, every daemon is assumed to hold a lease until a full lease
 * period after this leadership began.
 */
public final class LeaseTable {

	/**
	 * Time after a heartbeat during which a daemon may be assigned groups, in
	 * nanoseconds. When an availability zone fails, its daemons stop together but their
	 * leases expire one by one. Without this limit, groups of an expired daemon would be
	 * assigned to other failed daemons.
	 */
	static final long HEARTBEAT_FRESHNESS_NANOSECONDS = 1_000_000_000L;

	private final LeaseTiming timing;

	private final long earlierLeasesExpiry;

	private final Map<LeaseHolder, Lease> leases = new HashMap<>();

	private final Map<LeaseHolder, Integer> suspensions = new HashMap<>();

	/**
	 * Creates the table of a new leader.
	 * @param timing timing of leases
	 * @param leaderSince when the leadership began, in nanoseconds
	 */
	public LeaseTable(LeaseTiming timing, long leaderSince) {
		this.timing = timing;
		this.earlierLeasesExpiry = timing.expiryOfLeaseGrantedAt(leaderSince);
	}

	/**
	 * Grants a lease.
	 * @param daemon name of the daemon
	 * @param incarnation incarnation of the daemon
	 * @param viewVersion view version that the daemon has confirmed
	 * @param now present time in nanoseconds
	 * @return {@code true} if the lease is granted, {@code false} while granting is
	 * suspended
	 */
	public boolean grant(String daemon, String incarnation, long viewVersion, long now) {
		LeaseHolder holder = new LeaseHolder(daemon, incarnation);
		if (this.suspensions.containsKey(holder)) {
			return false;
		}
		this.leases.put(holder,
				new Lease(this.timing.expiryOfLeaseGrantedAt(now), now + HEARTBEAT_FRESHNESS_NANOSECONDS, viewVersion));
		return true;
	}

	/**
	 * Suspends granting leases to an incarnation until {@link #resume} is called. Used
	 * while the command that removes the incarnation is in progress: a lease granted
	 * between the decision and its commit would let two daemons act as owner.
	 * @param daemon name of the daemon
	 * @param incarnation incarnation of the daemon
	 */
	public void suspend(String daemon, String incarnation) {
		this.suspensions.merge(new LeaseHolder(daemon, incarnation), 1, Integer::sum);
	}

	/**
	 * Ends a suspension.
	 * @param daemon name of the daemon
	 * @param incarnation incarnation of the daemon
	 */
	public void resume(String daemon, String incarnation) {
		this.suspensions.computeIfPresent(new LeaseHolder(daemon, incarnation),
				(holder, count) -> (count > 1) ? count - 1 : null);
	}

	/**
	 * Tells whether no lease of an incarnation can be valid any more, including those
	 * granted by earlier leaders.
	 * @param daemon name of the daemon
	 * @param incarnation incarnation of the daemon
	 * @param now present time in nanoseconds
	 * @return {@code true} if every lease that it may hold has expired
	 */
	public boolean hasProvablyExpired(String daemon, String incarnation, long now) {
		Lease lease = this.leases.get(new LeaseHolder(daemon, incarnation));
		return now - this.earlierLeasesExpiry > 0 && (lease == null || now - lease.expiry() > 0);
	}

	/**
	 * Tells whether a daemon sent this leader a heartbeat recently and may be granted
	 * leases.
	 * @param daemon the registered daemon
	 * @param now present time in nanoseconds
	 * @return {@code true} if it may be assigned groups
	 */
	public boolean isLive(DaemonView daemon, long now) {
		LeaseHolder holder = new LeaseHolder(daemon.daemon(), daemon.incarnation());
		Lease lease = this.leases.get(holder);
		return lease != null && now - lease.freshnessDeadline() <= 0 && !this.suspensions.containsKey(holder);
	}

	/**
	 * Returns the view version that each daemon with a lease has confirmed.
	 * @param now present time in nanoseconds
	 * @return versions by name of the daemon; the lowest if two incarnations hold a lease
	 */
	public Map<String, Long> confirmedVersions(long now) {
		Map<String, Long> versions = new TreeMap<>();
		this.leases.forEach((holder, lease) -> {
			if (now - lease.expiry() <= 0) {
				versions.merge(holder.daemon(), lease.viewVersion(), Math::min);
			}
		});
		return versions;
	}

	/**
	 * Removes expired leases.
	 * @param now present time in nanoseconds
	 */
	public void removeExpired(long now) {
		this.leases.values().removeIf((lease) -> now - lease.expiry() > 0);
	}

	private record LeaseHolder(String daemon, String incarnation) {
	}

	private record Lease(long expiry, long freshnessDeadline, long viewVersion) {
	}

}
