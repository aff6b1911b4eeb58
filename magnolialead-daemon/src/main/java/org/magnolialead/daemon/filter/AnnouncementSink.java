package org.magnolialead.daemon.filter;

import org.magnolialead.api.MemberDescription;

/**
 * Receives the announcements of database members.
 */
@FunctionalInterface
public interface AnnouncementSink {

	/**
	 * Receives an announcement. Must not block.
	 * @param member description that the member announced
	 */
	void memberAnnounced(MemberDescription member);

}
