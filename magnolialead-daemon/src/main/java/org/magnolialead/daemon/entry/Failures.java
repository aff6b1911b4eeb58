package org.magnolialead.daemon.entry;

import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Outcome;
import org.magnolialead.api.Step;

/**
 * Utilities for failures of asynchronous steps.
 */
public final class Failures {

	private Failures() {
	}

	/**
	 * Removes the wrapper exceptions that the JDK adds to failures of asynchronous steps.
	 * @param failure the failure
	 * @return the innermost wrapped failure, or the failure itself if it is not wrapped
	 */
	public static Throwable unwrap(Throwable failure) {
		Throwable cause = failure;
		while ((cause instanceof CompletionException || cause instanceof ExecutionException)
				&& cause.getCause() != null) {
			cause = cause.getCause();
		}
		return cause;
	}

	/**
	 * Converts a failure to an exception with code, step and peer.
	 * @param failure the failure
	 * @param step step for failures that carry none
	 * @param peer peer for failures that carry none
	 * @return the exception; of code {@code NO_ANSWER}, with an unknown outcome, for an
	 * unexpected failure
	 */
	public static MagnolialeadException toException(Throwable failure, Step step, String peer) {
		Throwable cause = unwrap(failure);
		if (cause instanceof MagnolialeadException described) {
			return described;
		}
		return new MagnolialeadException(ErrorCode.NO_ANSWER, step, peer, String.valueOf(cause), cause);
	}

	/**
	 * Returns whether a failed request is known not to have been executed.
	 * @param failure the failure, or {@code null}
	 * @return {@code true} only if the code of the failure implies it
	 */
	public static boolean isKnownNotRun(Throwable failure) {
		return failure != null && unwrap(failure) instanceof MagnolialeadException described
				&& described.code().outcome() == Outcome.NOT_RUN;
	}

}
