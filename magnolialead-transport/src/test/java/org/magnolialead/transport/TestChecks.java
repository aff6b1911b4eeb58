package org.magnolialead.transport;

import java.util.Objects;
import java.util.concurrent.Callable;
import java.util.function.Supplier;

import org.opentest4j.AssertionFailedError;

/**
 * Assertions for the tests of this module.
 */
public final class TestChecks {

	private TestChecks() {
	}

	public static void checkEquals(Object expected, Object actual, String description) {
		if (!Objects.deepEquals(expected, actual)) {
			throw new AssertionFailedError("%s: expected <%s> but was <%s>".formatted(description, expected, actual),
					expected, actual);
		}
	}

	public static void checkEquals(Object expected, Object actual) {
		checkEquals(expected, actual, "value");
	}

	public static void checkTrue(boolean condition, Supplier<String> description) {
		if (!condition) {
			throw new AssertionFailedError(description.get());
		}
	}

	public static <T extends Throwable> T checkThrows(Class<T> type, Callable<?> action) {
		Object result;
		try {
			result = action.call();
		}
		catch (Throwable ex) {
			if (type.isInstance(ex)) {
				return type.cast(ex);
			}
			throw new AssertionFailedError("expected " + type.getName() + " but caught " + ex, ex);
		}
		throw new AssertionFailedError("expected " + type.getName() + " but the result was " + result);
	}

}
