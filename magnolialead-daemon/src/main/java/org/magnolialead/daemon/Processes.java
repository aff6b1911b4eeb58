package org.magnolialead.daemon;

import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * What daemons of all roles need for their process.
 */
final class Processes {

	private static final int INCARNATION_BYTES = 8;

	private Processes() {
	}

	/**
	 * Returns a new identifier of a process.
	 * @return the identifier in hexadecimal digits
	 */
	static String randomIncarnation() {
		byte[] bytes = new byte[INCARNATION_BYTES];
		new SecureRandom().nextBytes(bytes);
		return HexFormat.of().formatHex(bytes);
	}

	/**
	 * Lets time pass during a shutdown. An interrupt ends the pause and stays set.
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
