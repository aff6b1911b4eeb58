package org.magnolialead.daemon.entry;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.magnolialead.api.FleetView;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;

/**
 * Announcements of database members that control does not know yet. An announcement that
 * equals the fleet view is dropped, so that unchanged members cause no control traffic.
 */
final class AnnouncementBuffer {

	/**
	 * Greatest number of announcements in one heartbeat, which keeps the frame well below
	 * its limit of 1 MiB.
	 */
	private static final int MAXIMUM_IN_HEARTBEAT = 500;

	private final Supplier<FleetView> view;

	private final Map<String, MemberDescription> pending = new ConcurrentHashMap<>();

	AnnouncementBuffer(Supplier<FleetView> view) {
		this.view = view;
	}

	void announce(MemberDescription member) {
		String key = member.group() + "/" + member.member();
		if (isKnown(member)) {
			this.pending.remove(key);
		}
		else {
			this.pending.put(key, member);
		}
	}

	List<MemberDescription> unknownToControl() {
		this.pending.values().removeIf(this::isKnown);
		return this.pending.values().stream().limit(MAXIMUM_IN_HEARTBEAT).toList();
	}

	private boolean isKnown(MemberDescription member) {
		GroupView group = this.view.get().groups().get(member.group());
		return group != null && member.equals(group.members().get(member.member()));
	}

}
