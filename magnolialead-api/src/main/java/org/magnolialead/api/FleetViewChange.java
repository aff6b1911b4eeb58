package org.magnolialead.api;

import java.util.List;

/**
 * Difference between two versions of the fleet view.
 *
 * @param fromVersion version that the change starts from; ignored if complete
 * @param toVersion version after the change; all records that changed up to it are known
 * @param complete whether the change replaces the whole view
 * @param configuration new configuration, or {@code null} if it did not change
 * @param groups groups that changed
 * @param daemons daemons that changed
 * @param removedDaemons names of daemons that are gone as of the latest version
 * @param latestVersion version of the state that the change was taken from; greater than
 * {@code toVersion} if further parts follow
 */
public record FleetViewChange(long fromVersion, long toVersion, boolean complete, FleetConfiguration configuration,
		List<GroupView> groups, List<DaemonView> daemons, List<String> removedDaemons, long latestVersion) {

	public FleetViewChange {
		groups = List.copyOf(groups);
		daemons = List.copyOf(daemons);
		removedDaemons = List.copyOf(removedDaemons);
		// A change from a process that does not know parts is not split.
		latestVersion = Math.max(latestVersion, toVersion);
	}

	/**
	 * Tells whether further parts follow, which the receiver gets by asking again from
	 * {@link #toVersion()}.
	 * @return {@code true} if this is not the last part
	 */
	public boolean partial() {
		return this.toVersion < this.latestVersion;
	}

	/**
	 * Returns a change that changes nothing.
	 * @param version the version on both sides
	 * @return the empty change
	 */
	public static FleetViewChange none(long version) {
		return new FleetViewChange(version, version, false, null, List.of(), List.of(), List.of(), version);
	}

}
