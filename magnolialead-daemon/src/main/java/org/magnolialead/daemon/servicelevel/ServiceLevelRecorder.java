package org.magnolialead.daemon.servicelevel;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Rank;
import org.magnolialead.api.servicelevel.GroupSeries;
import org.magnolialead.api.servicelevel.ProfileSeries;
import org.magnolialead.api.servicelevel.ServiceLevelSnapshot;
import org.magnolialead.api.servicelevel.SlotResolution;
import org.magnolialead.daemon.control.WallClock;

/**
 * Records the service levels of an entry daemon in bounded memory. Safe for concurrent
 * use; recording takes no lock once a profile or group has an entry. The wall clock only
 * selects the slot, so a clock step moves later records to other slots but does not
 * change any duration.
 */
public final class ServiceLevelRecorder {

	/**
	 * Maximum number of pairs of profile and rank that are recorded separately. A pair
	 * with all slots filled takes about 34 KB.
	 */
	public static final int MAXIMUM_PROFILES = 8;

	/**
	 * Name under which profiles beyond {@link #MAXIMUM_PROFILES} are counted together, by
	 * rank.
	 */
	public static final String OTHER_PROFILES = "(other)";

	/**
	 * Maximum number of recorded database groups. A group with all slots filled takes
	 * about 18 KB.
	 */
	public static final int MAXIMUM_GROUPS = 8;

	/**
	 * Number of recorded groups up to which groups that this daemon does not own are
	 * added; the remaining places are reserved for owned groups. At the fleet size
	 * expected in two years, a daemon owns about 2 groups and uses up to 1,200.
	 */
	public static final int MAXIMUM_UNOWNED_GROUPS = 5;

	private final String daemon;

	private final String incarnation;

	private final MonotonicClock clock;

	private final WallClock wallClock;

	private final Map<Rank, Map<String, RequestSeries>> profiles = new EnumMap<>(Rank.class);

	private final AtomicInteger profileCount = new AtomicInteger();

	private final Map<String, WriteSeries> groups = new ConcurrentHashMap<>();

	private final AtomicInteger groupCount = new AtomicInteger();

	private final LongAdder unrecordedWrites = new LongAdder();

	/**
	 * Creates a recorder.
	 * @param daemon name of this daemon
	 * @param incarnation identifier of this process
	 * @param clock clock that measures the gaps between writes
	 * @param wallClock clock that selects the slots
	 */
	public ServiceLevelRecorder(String daemon, String incarnation, MonotonicClock clock, WallClock wallClock) {
		this.daemon = Objects.requireNonNull(daemon, "daemon must not be null");
		this.incarnation = Objects.requireNonNull(incarnation, "incarnation must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.wallClock = Objects.requireNonNull(wallClock, "wallClock must not be null");
		for (Rank rank : Rank.values()) {
			this.profiles.put(rank, new ConcurrentHashMap<>());
		}
	}

	/**
	 * Counts an answered request.
	 * @param profile name of its profile
	 * @param rank rank of the profile
	 * @param request recorded properties of the request
	 */
	public void requestAnswered(String profile, Rank rank, ServedRequest request) {
		series(profile, rank).record(this.wallClock.milliseconds(), request);
	}

	/**
	 * Records the answer to a write that this daemon received from a caller.
	 * @param group name of the database group
	 * @param acknowledged whether the answer is the first acknowledgement of the write
	 */
	public void writeAnswered(String group, boolean acknowledged) {
		WriteSeries series = group(group, MAXIMUM_UNOWNED_GROUPS);
		if (series == null) {
			this.unrecordedWrites.increment();
			return;
		}
		long now = this.wallClock.milliseconds();
		series.countAnswer(now, acknowledged);
		if (acknowledged) {
			series.acknowledged(this.clock.nanoseconds(), now);
		}
	}

	/**
	 * Records that this daemon, as the owner of a group, acknowledged a write to another
	 * daemon. Updates only the write gaps because the other daemon counts the write.
	 * @param group name of the database group
	 */
	public void ownedWriteAcknowledged(String group) {
		WriteSeries series = group(group, MAXIMUM_GROUPS);
		if (series != null) {
			series.acknowledged(this.clock.nanoseconds(), this.wallClock.milliseconds());
		}
	}

	/**
	 * Returns the records of all retained slots.
	 * @return the snapshot
	 */
	public ServiceLevelSnapshot snapshot() {
		long now = this.wallClock.milliseconds();
		List<ProfileSeries> requests = new ArrayList<>();
		this.profiles.forEach((rank, byName) -> byName.forEach((name, series) -> requests.add(new ProfileSeries(name,
				rank, series.slots(SlotResolution.TEN_SECONDS, now), series.slots(SlotResolution.FIVE_MINUTES, now)))));
		List<GroupSeries> writes = new ArrayList<>();
		this.groups.forEach((name, series) -> {
			series.recordOpenGap(this.clock.nanoseconds(), now);
			writes.add(new GroupSeries(name, series.slots(SlotResolution.TEN_SECONDS, now),
					series.slots(SlotResolution.FIVE_MINUTES, now)));
		});
		return new ServiceLevelSnapshot(this.daemon, this.incarnation, now, requests, writes,
				this.unrecordedWrites.sum());
	}

	private RequestSeries series(String profile, Rank rank) {
		Map<String, RequestSeries> byName = this.profiles.get(rank);
		RequestSeries series = byName.get(profile);
		if (series != null) {
			return series;
		}
		if (reserve(this.profileCount, MAXIMUM_PROFILES)) {
			RequestSeries created = new RequestSeries();
			series = byName.putIfAbsent(profile, created);
			if (series == null) {
				return created;
			}
			this.profileCount.decrementAndGet();
			return series;
		}
		return byName.computeIfAbsent(OTHER_PROFILES, (name) -> new RequestSeries());
	}

	private WriteSeries group(String group, int limit) {
		WriteSeries series = this.groups.get(group);
		if (series != null || !reserve(this.groupCount, limit)) {
			return series;
		}
		WriteSeries created = new WriteSeries();
		series = this.groups.putIfAbsent(group, created);
		if (series == null) {
			return created;
		}
		this.groupCount.decrementAndGet();
		return series;
	}

	private static boolean reserve(AtomicInteger count, int limit) {
		int current = count.get();
		while (current < limit) {
			if (count.compareAndSet(current, current + 1)) {
				return true;
			}
			current = count.get();
		}
		return false;
	}

}
