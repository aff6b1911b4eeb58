package org.magnolialead.daemon.control;

import java.util.Objects;

import org.opentest4j.AssertionFailedError;

/**
 * Assertions shared by the tests of the control role.
 */
final class TestChecks {

	private TestChecks() {
	}

	static void check(boolean condition, Object context) {
		if (!condition) {
			throw new AssertionFailedError("condition does not hold: " + context);
		}
	}

	static void checkEqual(long expected, long actual, Object context) {
		checkEqual((Object) expected, (Object) actual, context);
	}

	static void checkEqual(Object expected, Object actual, Object context) {
		if (!Objects.equals(expected, actual)) {
			throw new AssertionFailedError("%s: expected <%s> but found <%s>".formatted(context, expected, actual),
					expected, actual);
		}
	}

}
