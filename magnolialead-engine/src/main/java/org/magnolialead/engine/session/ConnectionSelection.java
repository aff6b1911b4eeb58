package org.magnolialead.engine.session;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Selects the connections for requests: which one to use, where to open another one, and
 * which idle one to close for it. A connection serves the client account for which it was
 * opened and no other one. Without accounts, all requests and connections have the empty
 * name and share the connections.
 */
public final class ConnectionSelection {

	/**
	 * Duration of an attempt to connect after which a read opens a connection to another
	 * member, in nanoseconds. It is the time after which a read itself is sent to another
	 * member.
	 */
	public static final long LATE_DIAL_NANOSECONDS = 150_000_000L;

	private ConnectionSelection() {
	}

	/**
	 * Selects the connection for a request.
	 * @param connections open connections to the member
	 * @param account client account of the request, or an empty string
	 * @param sessionVariables variables of the session by name
	 * @param <C> type of the connections
	 * @return the free connection of the account that is aligned with the session in the
	 * fewest steps, or empty if none is free
	 */
	public static <C extends SelectableConnection> Optional<C> toUse(Collection<C> connections, String account,
			Map<String, String> sessionVariables) {
		return fewestSteps(connections, (connection) -> connection.account().equals(account), sessionVariables);
	}

	/**
	 * Selects the connection for a command of the daemon itself, such as a request for
	 * the status of the member. It may use a connection of any account.
	 * @param connections open connections to the member
	 * @param <C> type of the connections
	 * @return a free connection, or empty if there is none
	 */
	public static <C extends SelectableConnection> Optional<C> forInternalCommand(Collection<C> connections) {
		return fewestSteps(connections, (connection) -> true, Map.of());
	}

	private static <C extends SelectableConnection> Optional<C> fewestSteps(Collection<C> connections,
			Predicate<C> usable, Map<String, String> sessionVariables) {
		return connections.stream()
			.filter((connection) -> connection.isFree() && usable.test(connection))
			.min(Comparator.comparingInt((connection) -> connection.alignmentCost(sessionVariables)));
	}

	/**
	 * Decides whether a connection is opened for a request that has found none. Once the
	 * maximum is reached, a request waits if a connection of its account is expected to
	 * become free for it: closing and opening one would take as long, and would occupy
	 * the member in addition.
	 * @param connections open connections to the member
	 * @param dialing client accounts for which connections are being opened, once for
	 * each attempt
	 * @param account client account of the request, or an empty string
	 * @param ahead number of requests of the account that wait for a connection before
	 * this one
	 * @param limits numbers of connections that are permitted
	 * @param <C> type of the connections
	 * @return the decision
	 */
	public static <C extends SelectableConnection> DialDecision<C> toDial(Collection<C> connections,
			Collection<String> dialing, String account, int ahead, ConnectionLimits limits) {
		int total = connections.size() + dialing.size();
		if (!limits.separates(account) && total < Math.max(1, limits.permanent())) {
			return DialDecision.dial(purpose(connections.size(), total, limits));
		}
		boolean attemptPending = limits.separates(account) ? dialing.contains(account) : !dialing.isEmpty();
		if (attemptPending) {
			return DialDecision.none();
		}
		if (total < limits.maximum()) {
			return DialDecision.dial(purpose(connections.size(), total, limits));
		}
		long ownFreeSoon = connections.stream()
			.filter((connection) -> connection.account().equals(account) && connection.isFreeSoon())
			.count();
		if (ahead < ownFreeSoon) {
			return DialDecision.none();
		}
		int excess = total - limits.maximum() + 1;
		List<C> evicted = leastRecentlyUsed(connections, (connection) -> !connection.account().equals(account)).stream()
			.limit(excess)
			.toList();
		return (evicted.size() < excess) ? DialDecision.none()
				: new DialDecision<>(purpose(connections.size() - excess, total - excess, limits), evicted);
	}

	private static ConnectionPurpose purpose(int open, int total, ConnectionLimits limits) {
		if (total >= Math.max(1, limits.permanent())) {
			return ConnectionPurpose.ADDITIONAL;
		}
		return (open == 0) ? ConnectionPurpose.FIRST : ConnectionPurpose.HELD;
	}

	/**
	 * Returns the free connections, the least recently used one first.
	 * @param connections open connections to the member
	 * @param eligible decides which of them are considered
	 * @param <C> type of the connections
	 * @return the connections in order
	 */
	public static <C extends SelectableConnection> List<C> leastRecentlyUsed(Collection<C> connections,
			Predicate<C> eligible) {
		return connections.stream()
			.filter((connection) -> connection.isFree() && eligible.test(connection))
			.sorted((left, right) -> Long.signum(left.releasedAt() - right.releasedAt()))
			.toList();
	}

	/**
	 * Selects the replica to which a connection for a read is opened.
	 * @param replicas replicas that may serve the read and have no free connection of its
	 * account
	 * @param account client account of the read, or an empty string
	 * @param ahead number of reads of the account that wait for a connection before this
	 * one
	 * @param <P> type of the replicas
	 * @return the replica at which the read is expected to complete first; empty if a
	 * connection for the account is being opened already, or if none can be opened
	 */
	public static <P extends DialCandidate> Optional<P> replicaToDial(Collection<P> replicas, String account,
			int ahead) {
		if (replicas.stream().anyMatch((replica) -> replica.dialProgress(account) == DialProgress.IN_TIME)) {
			return Optional.empty();
		}
		return replicas.stream()
			.filter((replica) -> isAvailable(replica, account) && replica.hasRoomFor(account, ahead))
			.min(Comparator.comparingLong(DialCandidate::expectedReadNanoseconds));
	}

	/**
	 * Tells whether a read should open a connection to the primary, because the replicas
	 * do not accept connections. Replicas whose connections are all in use are no reason:
	 * reads would then take the connections of writes.
	 * @param replicas replicas that may serve the read
	 * @param account client account of the read, or an empty string
	 * @return {@code true} if no replica is expected to accept one
	 */
	public static boolean needsPrimary(Collection<? extends DialCandidate> replicas, String account) {
		return replicas.stream().noneMatch((replica) -> isAvailable(replica, account));
	}

	private static boolean isAvailable(DialCandidate replica, String account) {
		return switch (replica.dialProgress(account)) {
			case IN_TIME -> true;
			case NONE -> !replica.isUnreachable() && replica.permitsDial(account);
			case LATE -> false;
		};
	}

}
