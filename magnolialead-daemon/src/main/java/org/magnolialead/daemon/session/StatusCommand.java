package org.magnolialead.daemon.session;

import org.magnolialead.engine.session.ReplicationTerm;

/**
 * Command that a member answers with its status. An answer does not prove that the
 * command had its effect: a member ignores a command whose term is too low. The status
 * tells.
 */
enum StatusCommand {

	/** Requests the status alone. */
	STATUS {

		@Override
		MemberCommand newCommand(ReplicationTerm newestTerm) {
			return MemberCommand.internal(MemberCommand.Kind.STATUS);
		}

		@Override
		boolean hadEffect(MemberStatus status) {
			return true;
		}

	},
	/** Makes a primary a replica, so that it acknowledges no further commits. */
	DEMOTE {

		@Override
		MemberCommand newCommand(ReplicationTerm newestTerm) {
			return MemberCommand.internal(MemberCommand.Kind.DEMOTE, newestTerm.next().toString());
		}

		@Override
		boolean hadEffect(MemberStatus status) {
			return !status.primary();
		}

	},
	/** Keeps a replica from receiving commits. Has no effect on a primary. */
	PAUSE {

		@Override
		MemberCommand newCommand(ReplicationTerm newestTerm) {
			return MemberCommand.internal(MemberCommand.Kind.PAUSE, newestTerm.next().toString());
		}

		@Override
		boolean hadEffect(MemberStatus status) {
			return status.primary() || status.isPaused();
		}

		@Override
		boolean isOutdated(ReplicationTerm newestTerm, MemberStatus status) {
			return status.term().compareTo(newestTerm) > 0;
		}

	},
	/** Lets a paused replica receive commits again. */
	RESUME {

		@Override
		MemberCommand newCommand(ReplicationTerm newestTerm) {
			return MemberCommand.internal(MemberCommand.Kind.RESUME);
		}

		@Override
		boolean hadEffect(MemberStatus status) {
			return !status.isPaused();
		}

	};

	/**
	 * Creates the command.
	 * @param newestTerm newest term that is known; a member may know a newer one
	 * @return the command
	 */
	abstract MemberCommand newCommand(ReplicationTerm newestTerm);

	/**
	 * Tells whether a member that answered with a status has carried the command out.
	 * @param status the status
	 * @return {@code false} if the command has to be sent again
	 */
	abstract boolean hadEffect(MemberStatus status);

	/**
	 * Tells whether the command must not be sent again, because a member has been
	 * promoted since it was decided on.
	 * @param newestTerm newest term that was known then
	 * @param status the status
	 * @return {@code true} if the decision has to be made again
	 */
	boolean isOutdated(ReplicationTerm newestTerm, MemberStatus status) {
		return false;
	}

}
