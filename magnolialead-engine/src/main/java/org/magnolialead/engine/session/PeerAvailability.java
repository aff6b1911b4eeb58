package org.magnolialead.engine.session;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.magnolialead.api.DaemonView;

/**
 * Selects the daemon to which a statement is forwarded. A daemon that did not answer is
 * avoided for a while, because the fleet view shows its death only after its lease has
 * ended and a partition between two daemons not at all. A new process of the daemon is
 * tried immediately. Not thread-safe.
 */
public final class PeerAvailability {

	/** Time for which a daemon is avoided after its first failure, in nanoseconds. */
	static final long FIRST_PAUSE_NANOSECONDS = 500_000_000L;

	/**
	 * Time for which a daemon is avoided that answered that it cannot serve statements
	 * yet, in nanoseconds.
	 */
	static final long NOT_READY_PAUSE_NANOSECONDS = 50_000_000L;

	private static final int MAXIMUM_DOUBLINGS = 4;

	private final Map<String, Failure> failures = new HashMap<>();

	/**
	 * Selects a daemon.
	 * @param candidates daemons that can serve the statement, the preferred one first
	 * @param now present time in nanoseconds
	 * @return the first candidate that is not avoided, or empty if all are
	 */
	public Optional<DaemonView> select(List<DaemonView> candidates, long now) {
		return candidates.stream().filter((candidate) -> !isAvoided(candidate, now)).findFirst();
	}

	private boolean isAvoided(DaemonView daemon, long now) {
		Failure failure = this.failures.get(daemon.daemon());
		return failure != null && failure.incarnation().equals(daemon.incarnation())
				&& now - failure.avoidedUntil() < 0;
	}

	/**
	 * Records that a daemon did not answer or could not be reached.
	 * @param daemon the daemon
	 * @param now present time in nanoseconds
	 * @return {@code true} if the daemon had answered before
	 */
	public boolean failed(DaemonView daemon, long now) {
		Failure previous = this.failures.get(daemon.daemon());
		boolean repeated = previous != null && previous.lost() && previous.incarnation().equals(daemon.incarnation());
		if (repeated && now - previous.avoidedUntil() < 0) {
			return false;
		}
		int doublings = repeated ? Math.min(previous.doublings() + 1, MAXIMUM_DOUBLINGS) : 0;
		this.failures.put(daemon.daemon(),
				new Failure(daemon.incarnation(), true, now + (FIRST_PAUSE_NANOSECONDS << doublings), doublings));
		return !repeated;
	}

	/**
	 * Records that a daemon answered that it cannot serve statements yet.
	 * @param daemon the daemon
	 * @param now present time in nanoseconds
	 */
	public void notReady(DaemonView daemon, long now) {
		this.failures.put(daemon.daemon(),
				new Failure(daemon.incarnation(), false, now + NOT_READY_PAUSE_NANOSECONDS, 0));
	}

	/**
	 * Records that a daemon has answered.
	 * @param daemon the daemon
	 * @return {@code true} if it had been lost
	 */
	public boolean answered(DaemonView daemon) {
		Failure previous = this.failures.isEmpty() ? null : this.failures.remove(daemon.daemon());
		return previous != null && previous.lost();
	}

	private record Failure(String incarnation, boolean lost, long avoidedUntil, int doublings) {
	}

}
