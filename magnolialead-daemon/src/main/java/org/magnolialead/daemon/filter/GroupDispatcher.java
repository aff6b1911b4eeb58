package org.magnolialead.daemon.filter;

import java.util.concurrent.CompletableFuture;

import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.api.message.ExecuteRequest;

/**
 * Hands requests to the owner of their database group, here or on another daemon.
 */
@FunctionalInterface
public interface GroupDispatcher {

	/**
	 * Hands a request to the owner of its group.
	 * @param request the request
	 * @param deadline time of the monotonic clock by which the caller wants the answer
	 * @return the answer; may fail with a
	 * {@link org.magnolialead.api.MagnolialeadException}, whose code then tells the
	 * outcome
	 */
	CompletableFuture<ExecuteAnswer> dispatch(ExecuteRequest request, long deadline);

}
