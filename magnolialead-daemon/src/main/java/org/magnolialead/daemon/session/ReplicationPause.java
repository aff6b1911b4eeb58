package org.magnolialead.daemon.session;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.magnolialead.engine.session.ReplicationTerm;

/**
 * Keeps the replicas of a group from receiving commits while one of them is selected and
 * promoted. Otherwise a primary that only this daemon does not reach could go on
 * acknowledging commits that the selected replica lacks. Used for groups with synchronous
 * replicas only.
 */
final class ReplicationPause {

	private static final long RESUME_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(2_500);

	private final SessionContext context;

	/**
	 * Members that certainly receive commits. Any other one may be paused, possibly by an
	 * earlier owner.
	 */
	private final Set<MemberPool> receiving = new HashSet<>();

	private StatusRequests resumption;

	private long resumptionDeadline;

	ReplicationPause(SessionContext context) {
		this.context = context;
	}

	/**
	 * Pauses members.
	 * @param statuses status of the members, used for one that does not know the command
	 * @param newestTerm newest term that is known
	 * @return the requests, which answer with the status of the paused members
	 */
	StatusRequests pause(Map<MemberPool, MemberStatus> statuses, ReplicationTerm newestTerm) {
		this.receiving.clear();
		endResumption();
		StatusRequests requests = new StatusRequests(this.context, StatusCommand.PAUSE, newestTerm, statuses);
		statuses.keySet().forEach(requests::ask);
		return requests;
	}

	/**
	 * Lets the members that may be paused receive commits again, until each of them has
	 * stated that it does. Must be called repeatedly, and only while no promotion is
	 * outstanding.
	 * @param members the members
	 */
	void resume(Collection<MemberPool> members) {
		this.receiving.retainAll(members);
		if (this.resumption != null) {
			this.receiving.addAll(this.resumption.answers().keySet());
			if (this.context.now() - this.resumptionDeadline < 0 && !this.resumption.isComplete()) {
				return;
			}
			endResumption();
		}
		Collection<MemberPool> paused = members.stream()
			.filter((member) -> member.hasConnection() && !this.receiving.contains(member))
			.toList();
		if (!paused.isEmpty()) {
			this.resumption = new StatusRequests(this.context, StatusCommand.RESUME, ReplicationTerm.NONE);
			this.resumptionDeadline = this.context.now() + RESUME_TIMEOUT_NANOSECONDS;
			paused.forEach(this.resumption::ask);
		}
	}

	/**
	 * Ends the requests to receive commits, so that none is sent from now on.
	 */
	void endResumption() {
		if (this.resumption != null) {
			this.resumption.close();
			this.resumption = null;
		}
	}

}
