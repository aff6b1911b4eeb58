package org.magnolialead.engine.control;

import java.util.ArrayList;
import java.util.List;

/**
 * Latest removals of daemons, from which incremental changes of the view are computed.
 *
 * @param retainedSince earliest view version from which an incremental change is
 * possible; a change from an earlier version must be complete
 * @param removals removals in the order of their versions
 */
public record RemovedDaemons(long retainedSince, List<Removal> removals) {

	/**
	 * Number of retained removals, which covers more than two days with 353 lost or
	 * restarted VMs a day.
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
