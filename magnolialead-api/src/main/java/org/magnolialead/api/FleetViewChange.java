package org.magnolialead.api;

import java.util.List;

/**
 * Difference between two versions of the fleet view.
 *
 * @param fromVersion version that the change is based on; ignored if the change is
 * complete
 * @param toVersion version after the change, which then includes all records changed up
 * to it
 * @param complete whether the change replaces the entire view
 * @param configuration new configuration, or {@code null} if it is unchanged
 * @param groups changed groups
 * @param daemons changed daemons
 * @param removedDaemons names of the daemons that no longer exist as of the latest
 * version
 * @param latestVersion version of the state that the change was computed from; greater
 * than {@code toVersion} if more parts follow
 */
public record FleetViewChange(long fromVersion, long toVersion, boolean complete, FleetConfiguration configuration,
		List<GroupView> groups, List<DaemonView> daemons, List<String> removedDaemons, long latestVersion) {

	public FleetViewChange {
		groups = List.copyOf(groups);
		daemons = List.copyOf(daemons);
		removedDaemons = List.copyOf(removedDaemons);
		// Senders without support for partial changes omit the latest version and never
		// split a change.
		latestVersion = Math.max(latestVersion, toVersion);
	}

	/**
	 * Returns whether more parts follow. The receiver obtains the next part by requesting
	 * the changes since {@link #toVersion()}.
	 * @return {@code true} if this is not the last part
	 */
	public boolean partial() {
		return this.toVersion < this.latestVersion;
	}

	/**
	 * Returns this change without the document from which an operator's routes were read.
	 * Entry daemons do not need it.
	 * @return the change
	 */
	public FleetViewChange withoutDocument() {
		if (this.configuration == null || this.configuration.routes().document().isEmpty()) {
			return this;
		}
		return new FleetViewChange(this.fromVersion, this.toVersion, this.complete,
				this.configuration.withRoutes(this.configuration.routes().withoutDocument()), this.groups, this.daemons,
				this.removedDaemons, this.latestVersion);
	}

	/**
	 * Returns an empty change.
	 * @param version version before and after the change
	 * @return the empty change
	 */
	public static FleetViewChange none(long version) {
		return new FleetViewChange(version, version, false, null, List.of(), List.of(), List.of(), version);
	}

}
