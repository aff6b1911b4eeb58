package org.magnolialead.engine.session;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.magnolialead.api.DaemonView;

/**
 * Assigns the connections to the members of each group to daemons. Answers the load of a
 * fleet with more daemons than connections per member: there, nearly every statement
 * would open a connection, which costs a member more than the statement.
 * <p>
 * While the connection limit permits it, each daemon keeps a connection. Otherwise one or
 * more daemons of each availability zone hold connections, and the others forward their
 * statements to them, so that a statement crosses zones at most once. The holders are the
 * daemons with the highest hash of group and daemon (rendezvous hashing). Daemons with
 * equal views choose equal holders without messages, and a daemon that joins or leaves
 * moves only its own groups. Not thread-safe.
 */
public final class ConnectionHolders {

	/**
	 * Share of the connection limit that is assigned. The rest is for standbys, owners
	 * and connections that a member has not closed yet.
	 */
	private static final int ASSIGNED_PERCENT = 80;

	private static final int PERCENT = 100;

	/**
	 * Least number of connections of a holder if a zone has several. With fewer, open
	 * transactions would soon occupy all of them.
	 */
	private static final int CONNECTIONS_PER_HOLDER = 4;

	/** Number of daemons of a zone that are tried before this daemon serves itself. */
	private static final int CANDIDATES = 3;

	private final Map<String, List<DaemonView>> daemonsByZone = new TreeMap<>();

	private final Map<String, Map<String, List<DaemonView>>> candidatesByGroup = new HashMap<>();

	private final int daemonCount;

	/**
	 * Creates the assignment for a fleet.
	 * @param daemons the entry daemons; those that are shutting down are left out
	 */
	public ConnectionHolders(Collection<DaemonView> daemons) {
		daemons.stream()
			.filter((daemon) -> !daemon.draining())
			.sorted(Comparator.comparing(DaemonView::daemon))
			.forEach((daemon) -> this.daemonsByZone
				.computeIfAbsent(daemon.availabilityZone(), (zone) -> new ArrayList<>())
				.add(daemon));
		this.daemonCount = this.daemonsByZone.values().stream().mapToInt(List::size).sum();
	}

	/**
	 * Returns whether there are too many daemons for each to keep a connection.
	 * @param limit maximum number of connections to a member from all daemons together
	 * @return {@code true} if daemons forward statements to holders
	 */
	public boolean areNeeded(int limit) {
		return this.daemonCount > assigned(limit);
	}

	/**
	 * Returns the share of a daemon in the connections to a group.
	 * @param group name of the group
	 * @param limit maximum number of connections to a member from all daemons together
	 * @param daemon name of the daemon
	 * @param zone availability zone of the daemon
	 * @param owner whether the daemon owns the group
	 * @return the share
	 */
	public ConnectionShare share(String group, int limit, String daemon, String zone, boolean owner) {
		if (!areNeeded(limit)) {
			return new ConnectionShare(ConnectionRole.EQUAL, 1, owner);
		}
		int holders = holdersPerZone(limit);
		int held = Math.max(1, assigned(limit) / (holders * this.daemonsByZone.size()));
		int position = positionOf(daemon, candidates(group, zone));
		if (position < 0) {
			return new ConnectionShare(ConnectionRole.FORWARDING, held, owner);
		}
		return new ConnectionShare((position < holders) ? ConnectionRole.HOLDER : ConnectionRole.STANDBY, held, owner);
	}

	/**
	 * Returns the daemons of a zone that serve statements of a group, the preferred one
	 * first. If a zone has several holders, each caller prefers one of them.
	 * @param group name of the group
	 * @param limit maximum number of connections to a member from all daemons together
	 * @param zone availability zone of the caller
	 * @param caller name of the calling daemon
	 * @return the daemons, or an empty list if each daemon keeps a connection
	 */
	public List<DaemonView> candidates(String group, int limit, String zone, String caller) {
		if (!areNeeded(limit)) {
			return List.of();
		}
		List<DaemonView> candidates = candidates(group, zone);
		int holders = Math.min(holdersPerZone(limit), candidates.size());
		int position = positionOf(caller, candidates);
		boolean callerHolds = position >= 0 && position < holders;
		return preferring(callerHolds ? position : Math.floorMod(caller.hashCode(), Math.max(1, holders)), candidates);
	}

	/**
	 * Returns the daemons of a zone that serve statements of a client account, the
	 * preferred one first. If a zone has several holders, all callers prefer the same one
	 * for an account, so that each holder opens connections for few accounts.
	 * @param group name of the group
	 * @param limit maximum number of connections to a member from all daemons together
	 * @param zone availability zone of the caller
	 * @param caller name of the calling daemon
	 * @param account name of the account, or an empty string if there is none
	 * @return the daemons, or an empty list if each daemon keeps a connection
	 */
	public List<DaemonView> candidates(String group, int limit, String zone, String caller, String account) {
		if (account.isEmpty() || !areNeeded(limit)) {
			return candidates(group, limit, zone, caller);
		}
		List<DaemonView> candidates = candidates(group, zone);
		// Rendezvous hashing again: an account whose holder stays moves only to a new
		// one.
		String key = group + " " + account;
		int preferred = IntStream.range(0, Math.min(holdersPerZone(limit), candidates.size()))
			.boxed()
			.max(Comparator.comparingLong((position) -> hash(key, candidates.get(position).daemon())))
			.orElse(0);
		return preferring(preferred, candidates);
	}

	/**
	 * Returns the holders of a group in all zones.
	 * @param group name of the group
	 * @param limit maximum number of connections to a member from all daemons together
	 * @return the holders, or all daemons if each keeps a connection
	 */
	public List<DaemonView> holders(String group, int limit) {
		if (!areNeeded(limit)) {
			return this.daemonsByZone.values().stream().flatMap(List::stream).toList();
		}
		int holders = holdersPerZone(limit);
		return this.daemonsByZone.keySet()
			.stream()
			.flatMap((zone) -> candidates(group, zone).stream().limit(holders))
			.toList();
	}

	private static int assigned(int limit) {
		return limit * ASSIGNED_PERCENT / PERCENT;
	}

	private int holdersPerZone(int limit) {
		int holders = assigned(limit) / (this.daemonsByZone.size() * CONNECTIONS_PER_HOLDER);
		return Math.max(1, Math.min(CANDIDATES - 1, holders));
	}

	private List<DaemonView> candidates(String group, String zone) {
		return this.candidatesByGroup.computeIfAbsent(group, (absent) -> new HashMap<>())
			.computeIfAbsent(zone, (absent) -> selectCandidates(group, zone));
	}

	private List<DaemonView> selectCandidates(String group, String zone) {
		return this.daemonsByZone.getOrDefault(zone, List.of())
			.stream()
			.sorted(Comparator.comparingLong((DaemonView daemon) -> hash(group, daemon.daemon())).reversed())
			.limit(CANDIDATES)
			.toList();
	}

	private static int positionOf(String daemon, List<DaemonView> candidates) {
		for (int position = 0; position < candidates.size(); position++) {
			if (candidates.get(position).daemon().equals(daemon)) {
				return position;
			}
		}
		return -1;
	}

	private static List<DaemonView> preferring(int position, List<DaemonView> candidates) {
		if (position == 0) {
			return candidates;
		}
		List<DaemonView> ordered = new ArrayList<>(candidates);
		ordered.add(0, ordered.remove(position));
		return List.copyOf(ordered);
	}

	// Mixes the bits, because the names of daemons differ in few characters.
	private static long hash(String group, String daemon) {
		long mixed = Objects.hash(group, daemon) * 0x9E3779B97F4A7C15L + group.hashCode();
		mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return mixed ^ (mixed >>> 31);
	}

}
