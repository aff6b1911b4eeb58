package org.magnolialead.daemon.control;

import java.lang.System.Logger.Level;

import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.command.ControlCommand.AssignOwner;
import org.magnolialead.api.command.ControlCommand.ForgetDaemon;

/**
 * Numbered log events of the control leader.
 */
enum ControlEvent {

	/** The lease of a daemon has run out and the daemon is forgotten. */
	DAEMON_FORGOTTEN(301, Level.WARNING, "daemon forgotten after its lease ran out"),
	/** A group receives an owner. */
	OWNER_ASSIGNED(302, Level.INFO, "owner assigned"),
	/** An owner is asked to release a group. */
	RELEASE_REQUESTED(303, Level.INFO, "owner asked to release a group"),
	/** A command of the leader was refused because the state has moved on. */
	COMMAND_REFUSED(304, Level.INFO, "command refused"),
	/** Looking for due commands failed; the next tick tries again. */
	TICK_FAILED(305, Level.ERROR, "looking for due commands failed");

	private final int number;

	private final Level level;

	private final String message;

	ControlEvent(int number, Level level, String message) {
		this.number = number;
		this.level = level;
		this.message = message;
	}

	static ControlEvent of(ControlCommand command) {
		if (command instanceof ForgetDaemon) {
			return DAEMON_FORGOTTEN;
		}
		return (command instanceof AssignOwner) ? OWNER_ASSIGNED : RELEASE_REQUESTED;
	}

	void log(System.Logger logger, Object detail) {
		logger.log(this.level, () -> "[%d] %s: %s".formatted(this.number, this.message, detail));
	}

	void log(System.Logger logger, Throwable cause) {
		logger.log(this.level, () -> "[%d] %s".formatted(this.number, this.message), cause);
	}

}
