package org.magnolialead.api;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Immutable snapshot of the part of the control state that daemons need to serve
 * requests.
 *
 * @param version version of the view; never decreases
 * @param configuration current configuration
 * @param groups database groups by name
 * @param daemons entry daemons by name
 */
public record FleetView(long version, FleetConfiguration configuration, Map<String, GroupView> groups,
		Map<String, DaemonView> daemons) {

	/**
	 * View of a daemon that has not yet received one from a control daemon.
	 */
	public static final FleetView EMPTY = new FleetView(0, FleetConfiguration.initial(), Map.of(), Map.of());

	public FleetView {
		Objects.requireNonNull(configuration, "configuration must not be null");
		groups = Map.copyOf(groups);
		daemons = Map.copyOf(daemons);
	}

	/**
	 * Applies a change received from a control daemon.
	 * @param change the change
	 * @return the new view, or this view if the change is not newer
	 * @throws IllegalArgumentException if the change is based on a later version than
	 * that of this view, or would decrease the configuration version
	 */
	public FleetView with(FleetViewChange change) {
		if (change.toVersion() <= this.version) {
			return this;
		}
		if (!change.complete() && change.fromVersion() > this.version) {
			throw new IllegalArgumentException("change is based on version %d but the view is at version %d"
				.formatted(change.fromVersion(), this.version));
		}
		FleetConfiguration nextConfiguration = (change.configuration() != null) ? change.configuration()
				: this.configuration;
		if (nextConfiguration.version() < this.configuration.version()) {
			throw new IllegalArgumentException("configuration version must not decrease from %d to %d"
				.formatted(this.configuration.version(), nextConfiguration.version()));
		}
		Map<String, GroupView> nextGroups = new HashMap<>(change.complete() ? Map.of() : this.groups);
		change.groups().forEach((group) -> nextGroups.put(group.group(), group));
		Map<String, DaemonView> nextDaemons = new HashMap<>(change.complete() ? Map.of() : this.daemons);
		change.daemons().forEach((daemon) -> nextDaemons.put(daemon.daemon(), daemon));
		change.removedDaemons().forEach(nextDaemons::remove);
		return new FleetView(change.toVersion(), nextConfiguration, nextGroups, nextDaemons);
	}

}
