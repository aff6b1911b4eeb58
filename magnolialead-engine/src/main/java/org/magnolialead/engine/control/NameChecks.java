package org.magnolialead.engine.control;

/**
 * Validates names before they are added to the control state.
 */
final class NameChecks {

	/**
	 * Maximum length of a name, an address or an identifier in characters, which limits
	 * the memory of the state and the size of a view.
	 */
	static final int MAXIMUM_NAME_LENGTH = 256;

	private static final int MAXIMUM_PORT = 65_535;

	private static final int MAXIMUM_PORT_DIGITS = 5;

	private NameChecks() {
	}

	static void requireValid(String subject, String name) {
		if (name == null || name.isBlank() || name.length() > MAXIMUM_NAME_LENGTH) {
			throw new IllegalArgumentException("%s must have 1 to %d characters, found %s".formatted(subject,
					MAXIMUM_NAME_LENGTH, (name != null) ? name.length() : "none"));
		}
	}

	// An address that no connection can use would make every daemon that receives the
	// view fail when it tries.
	static void requireAddress(String subject, String address) {
		requireValid(subject, address);
		int colon = address.lastIndexOf(':');
		String port = address.substring(colon + 1);
		boolean digits = !port.isEmpty() && port.length() <= MAXIMUM_PORT_DIGITS
				&& port.chars().allMatch((digit) -> digit >= '0' && digit <= '9');
		if (colon < 1 || !digits || Integer.parseInt(port) < 1 || Integer.parseInt(port) > MAXIMUM_PORT) {
			throw new IllegalArgumentException(
					"%s must consist of a host and a port from 1 to %d".formatted(subject, MAXIMUM_PORT));
		}
	}

}
