package org.magnolialead.daemon.filter;

import org.magnolialead.api.MemberDescription;

/**
 * Receives the announcements of database members.
 */
@FunctionalInterface
public interface AnnouncementSink {

	/**
	 * Takes an announcement. Must not block.
	 * @param member what the member announced
	 */
	void memberAnnounced(MemberDescription member);

}
