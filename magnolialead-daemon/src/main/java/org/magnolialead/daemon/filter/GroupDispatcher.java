package org.magnolialead.daemon.filter;

import java.util.concurrent.CompletableFuture;

import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.api.message.ExecuteRequest;

/**
 * Dispatches requests to the owner of their database group in this or another daemon.
 */
@FunctionalInterface
public interface GroupDispatcher {

	/**
	 * Dispatches a request to the owner of its group.
	 * @param request the request
	 * @param deadline time of the monotonic clock in nanoseconds at which the caller
	 * stops waiting
	 * @return the answer; may fail with a
	 * {@link org.magnolialead.api.MagnolialeadException}, whose code determines the
	 * outcome
	 */
	CompletableFuture<ExecuteAnswer> dispatch(ExecuteRequest request, long deadline);

}
