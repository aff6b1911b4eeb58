package org.magnolialead.daemon.entry;

import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Outcome;
import org.magnolialead.api.Step;

/**
 * Reads failures of asynchronous steps.
 */
public final class Failures {

	private Failures() {
	}

	/**
	 * Returns the failure without the wrappers of the JDK.
	 * @param failure the failure
	 * @return its cause
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
	 * Returns the failure as an exception with code, step and peer.
	 * @param failure the failure
	 * @param step step for failures that carry none
	 * @param peer peer for failures that carry none
	 * @return the exception; an unexpected failure has an unknown outcome
	 */
	public static MagnolialeadException toException(Throwable failure, Step step, String peer) {
		Throwable cause = unwrap(failure);
		if (cause instanceof MagnolialeadException described) {
			return described;
		}
		return new MagnolialeadException(ErrorCode.NO_ANSWER, step, peer, String.valueOf(cause), cause);
	}

	/**
	 * Tells whether a request that failed surely was not executed.
	 * @param failure the failure, or {@code null}
	 * @return {@code true} only if the failure says so
	 */
	public static boolean isKnownNotRun(Throwable failure) {
		return failure != null && unwrap(failure) instanceof MagnolialeadException described
				&& described.code().outcome() == Outcome.NOT_RUN;
	}

}
