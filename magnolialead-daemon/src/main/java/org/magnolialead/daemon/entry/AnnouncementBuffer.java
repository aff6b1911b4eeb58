package org.magnolialead.daemon.entry;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.magnolialead.api.FleetView;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.MonotonicClock;

/**
 * Buffers announcements of database members that the fleet view does not contain yet. An
 * announcement that matches the fleet view is dropped, so unchanged members cause no
 * traffic to the control daemons.
 */
final class AnnouncementBuffer {

	/**
	 * Maximum number of announcements per heartbeat. Keeps the frame well below the limit
	 * of 1 MiB.
	 */
	private static final int MAXIMUM_PER_HEARTBEAT = 500;

	/**
	 * Time after which a buffered announcement is dropped. Members announce themselves
	 * every 500 ms to any daemon, so an older announcement may contradict one that
	 * another daemon has forwarded since, for example that the member is leaving.
	 */
	private static final long TIME_TO_LIVE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	private final Supplier<FleetView> view;

	private final MonotonicClock clock;

	private final Map<String, PendingAnnouncement> pending = new ConcurrentHashMap<>();

	AnnouncementBuffer(Supplier<FleetView> view, MonotonicClock clock) {
		this.view = view;
		this.clock = clock;
	}

	void announce(MemberDescription member) {
		String key = member.group() + "/" + member.member();
		if (isKnown(member)) {
			this.pending.remove(key);
		}
		else {
			this.pending.put(key, new PendingAnnouncement(member, this.clock.nanoseconds() + TIME_TO_LIVE_NANOSECONDS));
		}
	}

	List<MemberDescription> pendingAnnouncements() {
		long now = this.clock.nanoseconds();
		this.pending.values()
			.removeIf((announcement) -> announcement.deadline - now <= 0 || isKnown(announcement.member));
		return this.pending.values().stream().map(PendingAnnouncement::member).limit(MAXIMUM_PER_HEARTBEAT).toList();
	}

	private boolean isKnown(MemberDescription member) {
		GroupView group = this.view.get().groups().get(member.group());
		return group != null && member.equals(group.members().get(member.member()));
	}

	private record PendingAnnouncement(MemberDescription member, long deadline) {
	}

}
