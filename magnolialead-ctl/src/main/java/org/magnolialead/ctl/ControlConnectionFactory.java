package org.magnolialead.ctl;

/**
 * Opens connections to control daemons.
 */
@FunctionalInterface
public interface ControlConnectionFactory {

	/**
	 * Returns a connection.
	 * @param address peer address of the control daemon in the form {@code host:port}
	 * @return the connection
	 */
	ControlConnection connect(String address);

}
