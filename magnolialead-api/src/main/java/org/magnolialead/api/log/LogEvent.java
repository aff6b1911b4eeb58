package org.magnolialead.api.log;

import java.lang.System.Logger.Level;
import java.util.Arrays;

/**
 * Log events of the daemons. Their numbers are stable; docs/log-events.md describes each
 * event.
 */
public enum LogEvent {

	/** The daemon has started. */
	DAEMON_STARTED(1001, Level.INFO, "daemon started: name=%s role=%s peer=%s http=%s"),
	/** The daemon failed to start. */
	DAEMON_START_FAILED(1002, Level.ERROR, "daemon failed to start: %s"),
	/** Graceful shutdown has begun. */
	SHUTDOWN_STARTED(1003, Level.INFO, "graceful shutdown started: requests_in_progress=%s"),
	/** Graceful shutdown has ended. */
	SHUTDOWN_FINISHED(1004, Level.INFO, "graceful shutdown finished: requests_cut=%s"),
	/** The settings file was reloaded. */
	SETTINGS_RELOADED(1005, Level.INFO, "settings reloaded: file=%s"),
	/** The settings could not be reloaded; the current settings remain in effect. */
	SETTINGS_REFUSED(1006, Level.WARNING, "settings refused, keeping the current settings: %s"),
	/** Log lines were dropped because standard output was not read fast enough. */
	LOG_LINES_DROPPED(1007, Level.WARNING, "log lines dropped: count=%s"),
	/** A request failed for an unexpected reason. */
	REQUEST_FAILED_UNEXPECTEDLY(1101, Level.ERROR, "request failed unexpectedly: step=%s peer=%s cause=%s"),
	/** The daemon obtained a lease. */
	LEASE_OBTAINED(2001, Level.INFO, "lease obtained: leader=%s view_version=%s"),
	/** The daemon's lease expired. */
	LEASE_LOST(2002, Level.WARNING, "lease lost: last_leader=%s"),
	/** A change of the fleet view was refused. */
	VIEW_REFUSED(2003, Level.ERROR, "fleet view change refused: from=%s cause=%s"),
	/** The daemon applied a configuration version. */
	CONFIGURATION_IN_FORCE(2004, Level.INFO, "configuration in force: version=%s"),
	/** The daemon became the owner of a group. */
	OWNERSHIP_STARTED(3001, Level.INFO, "ownership started: group=%s epoch=%s"),
	/** The daemon released or lost the ownership of a group. */
	OWNERSHIP_ENDED(3002, Level.INFO, "ownership ended: group=%s epoch=%s reason=%s"),
	/** The owner confirmed a primary and sends writes to it. */
	PRIMARY_CONFIRMED(3101, Level.INFO, "primary confirmed: group=%s primary=%s term=%s"),
	/** The owner stopped acknowledging writes of a term. */
	TERM_SEALED(3102, Level.WARNING, "term sealed: group=%s term=%s"),
	/** The owner ordered a promotion. */
	PROMOTION_ORDERED(3103, Level.WARNING, "promotion ordered: group=%s candidate=%s term=%s"),
	/** A promotion failed. */
	PROMOTION_FAILED(3104, Level.WARNING, "promotion failed: group=%s candidate=%s term=%s cause=%s"),
	/** The call to the platform that orders a promotion has ended. */
	PROMOTION_ORDER_ENDED(3105, Level.INFO, "promotion order ended: group=%s candidate=%s token=%s result=%s"),
	/** A member stopped answering. */
	MEMBER_UNREACHABLE(3201, Level.WARNING, "database member unreachable: group=%s member=%s cause=%s"),
	/** A member answers again. */
	MEMBER_REACHABLE(3202, Level.INFO, "database member reachable: group=%s member=%s role=%s term=%s"),
	/** An answer of a member was refused. */
	MEMBER_ANSWER_REFUSED(3203, Level.WARNING, "answer of database member refused: group=%s member=%s cause=%s"),
	/** A member answered a command without carrying it out. */
	MEMBER_COMMAND_WITHOUT_EFFECT(3204, Level.WARNING,
			"command without effect: group=%s member=%s command=%s status=%s"),
	/** A member has sent an answer twice on one connection. */
	MEMBER_REPEATS_ANSWERS(3205, Level.WARNING, "database member repeats answers: group=%s member=%s"),
	/** The learned limit of a member has fallen to a half or doubled. */
	MEMBER_LIMIT_CHANGED(3206, Level.INFO,
			"in-flight limit of database member changed: group=%s member=%s before=%s after=%s smoothed_milliseconds=%s dropped_lines=%s"),
	/** Client accounts close each other's connections to a member. */
	MEMBER_CONNECTIONS_CONTESTED(3207, Level.WARNING,
			"connections contested by client accounts: group=%s member=%s evicted=%s seconds=%s"),
	/** This daemon found the primary of a group. */
	SESSION_PRIMARY_FOUND(3301, Level.INFO, "primary found: group=%s member=%s term=%s index=%s"),
	/** This daemon no longer sends writes to a member. */
	SESSION_PRIMARY_LOST(3302, Level.WARNING, "primary lost: group=%s member=%s cause=%s"),
	/** The owner started to select a member to promote. */
	SESSION_PROMOTION_STARTED(3303, Level.WARNING, "promotion started: group=%s cause=%s epoch=%s"),
	/** A promotion has ended. */
	SESSION_PROMOTION_ENDED(3304, Level.INFO, "promotion ended: group=%s candidate=%s cause=%s"),
	/** A statement of a session was answered with an error. */
	SESSION_STATEMENT_FAILED(3305, Level.INFO,
			"statement failed: request=%s database=%s verb=%s error=%s after_milliseconds=%s detail=%s"),
	/** Log lines of failed statements were dropped because of the rate limit. */
	SESSION_LINES_DROPPED(3306, Level.WARNING, "log lines of failed statements dropped: count=%s"),
	/** A statement of a session is retried. */
	SESSION_STATEMENT_RETRIED(3307, Level.INFO,
			"statement retried: request=%s database=%s member=%s error=%s attempt=%s after_milliseconds=%s"),
	/** A statement of a session was answered by a member. */
	SESSION_STATEMENT_SERVED(3308, Level.INFO,
			"statement served: request=%s database=%s member=%s relayed=%s attempt=%s after_milliseconds=%s"),
	/** Connections to a member are relayed by other daemons. */
	MEMBER_PATH_LOST(3309, Level.WARNING, "direct path to database member lost: group=%s member=%s cause=%s relays=%s"),
	/** Connections to a member are direct again. */
	MEMBER_PATH_REGAINED(3310, Level.INFO, "direct path to database member regained: group=%s member=%s"),
	/** An answer to a statement that another daemon executed. */
	SESSION_STATEMENT_FORWARDED(3311, Level.INFO, "statement forwarded: request=%s database=%s daemon=%s age_ms=%s"),
	/** A daemon that holds connections for this one does not answer. */
	FORWARDING_LOST(3312, Level.WARNING, "daemon that serves forwarded statements lost: daemon=%s code=%s cause=%s"),
	/** A daemon that holds connections for this one answers again. */
	FORWARDING_REGAINED(3313, Level.INFO, "daemon that serves forwarded statements regained: daemon=%s"),
	/** A member did not accept the session of a statement, which was not sent. */
	SESSION_ALIGNMENT_FAILED(3314, Level.INFO,
			"connection not aligned with session: request=%s database=%s member=%s error=%s attempt=%s"),
	/** A client has reached a limit of what it can make this daemon hold. */
	CLIENT_LIMIT_REACHED(3315, Level.WARNING,
			"client limit reached: limit=%s peer=%s held_bytes=%s connections=%s dropped_lines=%s"),
	/** Operations of a client account were rejected by its rate limit. */
	QUOTA_REJECTED(3320, Level.INFO, "operations rejected by rate limit: account=%s reason=%s count=%s"),
	/** The control leader does not answer requests for tokens. */
	QUOTA_LEADER_LOST(3321, Level.WARNING, "rate limits without control leader: cause=%s"),
	/** The control leader answers requests for tokens again. */
	QUOTA_LEADER_REGAINED(3322, Level.INFO, "rate limits under control leader again: gap_ms=%s"),
	/** This control daemon became leader. */
	CONTROL_LEADER(4001, Level.INFO, "control leadership started: daemon=%s term=%s"),
	/** This control daemon stopped being leader. */
	CONTROL_FOLLOWER(4002, Level.INFO, "control leadership ended: daemon=%s term=%s"),
	/** The control leader submits a command that is due. */
	CONTROL_DECISION(4003, Level.INFO, "control decision: command=%s"),
	/**
	 * A command of the control leader was refused because the control state changed in
	 * the meantime.
	 */
	CONTROL_COMMAND_REFUSED(4004, Level.INFO, "control command refused: command=%s cause=%s"),
	/** Determining or submitting the due commands failed. */
	CONTROL_TICK_FAILED(4005, Level.ERROR, "due control commands could not be submitted"),
	/** This control daemon joined a cluster. */
	CONTROL_JOINED(4006, Level.INFO, "control cluster joined: daemon=%s cluster=%s"),
	/** The control log of this daemon failed and does not take part until it recovers. */
	CONTROL_LOG_SUSPENDED(4007, Level.ERROR, "control log suspended: daemon=%s"),
	/** An operator sent invalid routes. */
	ROUTES_REFUSED(4008, Level.WARNING, "routes refused: from=%s cause=%s"),
	/** An operator sent routes. */
	ROUTES_RECEIVED(4009, Level.INFO, "routes received: number=%s from=%s outcome=%s"),
	/** A member report is invalid. */
	MEMBER_REPORT_REFUSED(4010, Level.WARNING, "member report refused: member=%s cause=%s"),
	/** The control log of this daemon takes part again. */
	CONTROL_LOG_RESUMED(4011, Level.INFO, "control log resumed: daemon=%s last_index=%s"),
	/** The files of a suspended control log still cannot be used. */
	CONTROL_LOG_RECOVERY_FAILED(4012, Level.WARNING, "control log recovery failed: daemon=%s cause=%s"),
	/** A snapshot of the control log could not be written and is written again later. */
	CONTROL_SNAPSHOT_FAILED(4013, Level.ERROR, "control snapshot failed: daemon=%s"),
	/** The control cluster has too few voters for the losses that it must tolerate. */
	CONTROL_TOLERANCE_LOST(4014, Level.WARNING,
			"control cluster has too few voters: voters=%s required=%s tolerated_losses=%s"),
	/** The control cluster has enough voters again. */
	CONTROL_TOLERANCE_REGAINED(4015, Level.INFO, "control cluster has enough voters: voters=%s tolerated_losses=%s"),
	/** A control daemon without a data folder follows the log and does not vote. */
	CONTROL_OBSERVER_STARTED(4016, Level.INFO, "control daemon does not vote, it has no data folder: daemon=%s"),
	/** A peer connection was closed because of malformed input. */
	PEER_CONNECTION_DAMAGED(6001, Level.WARNING, "peer connection closed after malformed input: peer=%s"),
	/** A peer message handler failed with an exception that has no error code. */
	PEER_HANDLER_FAILED(6002, Level.ERROR, "peer message could not be handled"),
	/** An HTTP request handler failed with an exception that has no error code. */
	HTTP_HANDLER_FAILED(6003, Level.ERROR, "HTTP request could not be handled"),
	/** An accepted HTTP connection could not be set up. */
	HTTP_CONNECTION_FAILED(6004, Level.WARNING, "HTTP connection could not be set up: peer=%s"),
	/** HTTP callers have reached a limit of what they can make this daemon hold. */
	HTTP_LIMIT_REACHED(6005, Level.WARNING,
			"HTTP limit reached: limit=%s peer=%s body_bytes=%s connections=%s dropped_lines=%s"),
	/** An internal invariant was violated. */
	INVARIANT_VIOLATED(9001, Level.ERROR, "invariant violated: %s");

	/**
	 * Length in characters to which arguments are cut, because they may contain text of
	 * other processes.
	 */
	private static final int MAXIMUM_ARGUMENT_LENGTH = 500;

	private final int number;

	private final Level level;

	private final String format;

	LogEvent(int number, Level level, String format) {
		this.number = number;
		this.level = level;
		this.format = format;
	}

	/**
	 * Returns the stable number of this event.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the severity of this event.
	 * @return the level
	 */
	public Level level() {
		return this.level;
	}

	/**
	 * Returns the format of the message.
	 * @return the format string, as for {@link String#format}
	 */
	public String format() {
		return this.format;
	}

	/**
	 * Returns the log message of this event: its number and formatted text.
	 * @param arguments values of the format in order
	 * @return the message
	 */
	public String text(Object... arguments) {
		return "ML-" + this.number + " " + this.format.formatted(Arrays.stream(arguments).map(LogEvent::cut).toArray());
	}

	private static Object cut(Object argument) {
		String text = String.valueOf(argument);
		if (text.length() <= MAXIMUM_ARGUMENT_LENGTH) {
			return text;
		}
		return text.substring(0, MAXIMUM_ARGUMENT_LENGTH) + "... (" + text.length() + " characters)";
	}

	/**
	 * Logs this event with the stack trace of its cause.
	 * @param logger logger of the reporting class
	 * @param cause the cause
	 * @param arguments values of the format in order
	 */
	public void log(System.Logger logger, Throwable cause, Object... arguments) {
		if (logger.isLoggable(this.level)) {
			logger.log(this.level, text(arguments), cause);
		}
	}

	/**
	 * Logs this event.
	 * @param logger logger of the reporting class
	 * @param arguments values of the format in order
	 */
	public void log(System.Logger logger, Object... arguments) {
		if (logger.isLoggable(this.level)) {
			logger.log(this.level, text(arguments));
		}
	}

}
