package org.magnolialead.daemon.control;

import org.magnolialead.api.message.ConsensusMessage;

/**
 * Sends messages between control daemons. Messages may be lost, delayed, duplicated or
 * reordered.
 */
@FunctionalInterface
public interface ConsensusTransport {

	/**
	 * Sends a message without blocking. Called on the thread of the control log.
	 * @param address peer address of the recipient
	 * @param message the message
	 */
	void send(String address, ConsensusMessage message);

}
