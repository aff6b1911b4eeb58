package org.magnolialead.ctl.report;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.magnolialead.api.Rank;
import org.magnolialead.api.servicelevel.GroupSeries;
import org.magnolialead.api.servicelevel.ProfileSeries;
import org.magnolialead.api.servicelevel.SlotResolution;

/**
 * Service levels of all daemons, aligned to the clock of the collector.
 */
final class MergedServiceLevels {

	/** Name of the aggregate of all profiles of a rank. */
	static final String ALL_PROFILES = "(all)";

	private final Map<SlotResolution, Long> lastSlots = new EnumMap<>(SlotResolution.class);

	private final Map<Rank, Map<String, ProfileTimeline>> profiles = new EnumMap<>(Rank.class);

	private final Map<Rank, ProfileTimeline> ranks = new EnumMap<>(Rank.class);

	private final Map<String, GroupTimeline> groups = new TreeMap<>();

	MergedServiceLevels(ServiceLevelCollection collection) {
		List<CollectedSnapshot> collected = collection.collected();
		for (SlotResolution resolution : SlotResolution.values()) {
			long last = collected.stream()
				.mapToLong((snapshot) -> snapshot.lastSlot(resolution))
				.max()
				.orElseThrow(() -> new IllegalArgumentException("a report needs at least one snapshot"));
			this.lastSlots.put(resolution, last);
			collected.forEach((snapshot) -> add(snapshot, resolution));
		}
	}

	/**
	 * Returns the slot in which the report ends.
	 * @param resolution length of the slots
	 * @return number of the slot
	 */
	long lastSlot(SlotResolution resolution) {
		return this.lastSlots.get(resolution);
	}

	/**
	 * Returns the timelines of the profiles, the most urgent rank first; the profiles of
	 * a rank are followed by their aggregate if there are several.
	 * @return the timelines
	 */
	List<ProfileTimeline> profiles() {
		List<ProfileTimeline> timelines = new ArrayList<>();
		this.profiles.forEach((rank, byName) -> {
			byName.values().stream().sorted(Comparator.comparing(ProfileTimeline::profile)).forEach(timelines::add);
			if (byName.size() > 1) {
				timelines.add(this.ranks.get(rank));
			}
		});
		return timelines;
	}

	Collection<GroupTimeline> groups() {
		return this.groups.values();
	}

	private void add(CollectedSnapshot collected, SlotResolution resolution) {
		long first = lastSlot(resolution) - resolution.retainedSlots() + 1 - collected.clockOffsetSlots(resolution);
		for (ProfileSeries series : collected.snapshot().profiles()) {
			Rank rank = series.rank();
			this.profiles.computeIfAbsent(rank, (key) -> new HashMap<>())
				.computeIfAbsent(series.profile(), (name) -> new ProfileTimeline(name, rank))
				.add(resolution, series.slots(resolution), first);
			this.ranks.computeIfAbsent(rank, (key) -> new ProfileTimeline(ALL_PROFILES, rank))
				.add(resolution, series.slots(resolution), first);
		}
		for (GroupSeries series : collected.snapshot().groups()) {
			this.groups.computeIfAbsent(series.group(), GroupTimeline::new)
				.add(resolution, series.slots(resolution), first);
		}
	}

}
