package org.magnolialead.ctl;

/**
 * Connection to one control daemon over the peer protocol.
 */
@FunctionalInterface
public interface ControlConnection {

	/**
	 * Sends a message and waits for the response.
	 * @param message message of the peer protocol
	 * @return the response
	 * @throws org.magnolialead.api.MagnolialeadException if the daemon is unreachable or
	 * does not respond in time
	 */
	Object request(Object message);

}
