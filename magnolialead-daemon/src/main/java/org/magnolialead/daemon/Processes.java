package org.magnolialead.daemon;

import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * Process utilities shared by daemons of all roles.
 */
final class Processes {

	private static final int INCARNATION_BYTES = 8;

	private Processes() {
	}

	/**
	 * Returns a new random process identifier.
	 * @return the identifier as hexadecimal digits
	 */
	static String randomIncarnation() {
		byte[] bytes = new byte[INCARNATION_BYTES];
		new SecureRandom().nextBytes(bytes);
		return HexFormat.of().formatHex(bytes);
	}

	/**
	 * Sleeps for a time. An interrupt ends the sleep, and the interrupt status of the
	 * thread stays set.
	 * @param milliseconds the time in milliseconds
	 */
	static void pause(long milliseconds) {
		try {
			Thread.sleep(milliseconds);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
