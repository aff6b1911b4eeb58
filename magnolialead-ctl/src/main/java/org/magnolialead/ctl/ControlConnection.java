package org.magnolialead.ctl;

/**
 * Connection to one control daemon over the peer protocol.
 */
@FunctionalInterface
public interface ControlConnection {

	/**
	 * Sends a message and waits for its answer.
	 * @param message message of the peer protocol
	 * @return the answer
	 * @throws org.magnolialead.api.MagnolialeadException if the daemon is not reached or
	 * does not answer in time
	 */
	Object request(Object message);

}
