package org.magnolialead.engine.control;

import java.util.ArrayList;
import java.util.List;

/**
 * Latest removals of daemons, for changes that start at an earlier view version.
 *
 * @param retainedSince a change from a view version before this one must be complete
 * @param removals removals in the order of their versions
 */
public record RemovedDaemons(long retainedSince, List<Removal> removals) {

	/**
	 * Number of removals that are kept: more than two days at 353 lost or restarted VMs a
	 * day.
	 */
	public static final int LIMIT = 1_000;

	static final RemovedDaemons NONE = new RemovedDaemons(0, List.of());

	public RemovedDaemons {
		removals = List.copyOf(removals);
	}

	RemovedDaemons with(String daemon, long version) {
		List<Removal> next = new ArrayList<>(this.removals);
		next.add(new Removal(daemon, version));
		if (next.size() <= LIMIT) {
			return new RemovedDaemons(this.retainedSince, next);
		}
		Removal oldest = next.remove(0);
		return new RemovedDaemons(oldest.version(), next);
	}

	/**
	 * Removal of a daemon.
	 *
	 * @param daemon name of the daemon
	 * @param version view version of the removal
	 */
	public record Removal(String daemon, long version) {
	}
}
