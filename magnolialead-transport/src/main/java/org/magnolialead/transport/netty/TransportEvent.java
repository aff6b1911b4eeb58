package org.magnolialead.transport.netty;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Numbered log events of the transport.
 */
public enum TransportEvent {

	/** Damaged input on a peer connection, which is closed. */
	PEER_CONNECTION_DAMAGED(6001, Level.WARNING, "closing the peer connection from %s after damaged input"),
	/** A handler of peer messages failed without an error code. */
	PEER_HANDLER_FAILED(6002, Level.ERROR, "a peer message could not be handled"),
	/** A handler of HTTP requests failed without an error code. */
	HTTP_HANDLER_FAILED(6003, Level.ERROR, "an HTTP request could not be handled"),
	/** An accepted HTTP connection could not be set up. */
	HTTP_CONNECTION_FAILED(6004, Level.WARNING, "the HTTP connection from %s could not be set up");

	private final int number;

	private final Level level;

	private final String message;

	TransportEvent(int number, Level level, String message) {
		this.number = number;
		this.level = level;
		this.message = message;
	}

	/**
	 * Logs the event.
	 * @param logger logger to use
	 * @param cause the cause
	 * @param arguments values for the message of the event
	 */
	public void log(Logger logger, Throwable cause, Object... arguments) {
		logger.log(this.level, () -> "%d %s".formatted(this.number, this.message.formatted(arguments)), cause);
	}

}
