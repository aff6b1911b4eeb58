package org.magnolialead.api.servicelevel;

import java.util.List;
import java.util.Objects;

/**
 * Service levels that one entry daemon recorded; the body of
 * {@code GET /metrics/service-levels}.
 *
 * @param daemon name of the daemon
 * @param incarnation identifier of the process
 * @param takenAtMilliseconds wall-clock time of the daemon when it took the snapshot, in
 * milliseconds since the Unix epoch
 * @param profiles request series by profile and rank
 * @param groups write series by database group
 * @param unrecordedWrites number of writes of groups beyond the maximum number of groups
 * that a daemon records
 */
public record ServiceLevelSnapshot(String daemon, String incarnation, long takenAtMilliseconds,
		List<ProfileSeries> profiles, List<GroupSeries> groups, long unrecordedWrites) {

	public ServiceLevelSnapshot {
		Objects.requireNonNull(daemon, "daemon must not be null");
		Objects.requireNonNull(incarnation, "incarnation must not be null");
		profiles = List.copyOf(profiles);
		groups = List.copyOf(groups);
	}
}
