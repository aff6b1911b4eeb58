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

	private NameChecks() {
	}

	static void requireValid(String subject, String name) {
		if (name == null || name.isBlank() || name.length() > MAXIMUM_NAME_LENGTH) {
			throw new IllegalArgumentException("%s must have 1 to %d characters, found %s".formatted(subject,
					MAXIMUM_NAME_LENGTH, (name != null) ? name.length() : "none"));
		}
	}

}
