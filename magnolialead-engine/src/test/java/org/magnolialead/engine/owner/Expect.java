package org.magnolialead.engine.owner;

import java.util.Objects;

/**
 * Assertions for the tests of this package.
 */
final class Expect {

	private Expect() {
	}

	static void equal(Object expected, Object actual) {
		if (!Objects.equals(expected, actual)) {
			throw new AssertionError("expected <%s> but found <%s>".formatted(expected, actual));
		}
	}

	static void that(boolean condition, String message) {
		if (!condition) {
			throw new AssertionError(message);
		}
	}

	static <T> T instance(Class<T> type, Object actual) {
		that(type.isInstance(actual), "expected %s but found <%s>".formatted(type.getSimpleName(), actual));
		return type.cast(actual);
	}

	static <T extends Throwable> T failure(Class<T> type, Runnable action) {
		try {
			action.run();
		}
		catch (Throwable ex) {
			return instance(type, ex);
		}
		throw new AssertionError("expected " + type.getSimpleName());
	}

}
