package org.magnolialead.engine.control;

/**
 * Checks of names that enter the control state.
 */
final class Names {

	/**
	 * Greatest length of a name, an address or an identifier in characters, which bounds
	 * the memory of the state and the size of a view.
	 */
	static final int MAXIMUM_LENGTH = 256;

	private Names() {
	}

	static void check(String what, String name) {
		if (name == null || name.isBlank() || name.length() > MAXIMUM_LENGTH) {
			throw new IllegalArgumentException("%s must have 1 to %d characters, found %s".formatted(what,
					MAXIMUM_LENGTH, (name != null) ? name.length() : "none"));
		}
	}

}
