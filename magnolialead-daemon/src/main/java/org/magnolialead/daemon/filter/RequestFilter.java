package org.magnolialead.daemon.filter;

import java.util.concurrent.CompletableFuture;

import org.magnolialead.transport.http.HttpServerResponse;

/**
 * Step in the processing of a request.
 */
@FunctionalInterface
public interface RequestFilter {

	/**
	 * Answers a request or passes it on.
	 * @param context the request and its attributes
	 * @param next the remaining filters
	 * @return the reply
	 * @throws org.magnolialead.api.MagnolialeadException if the request is rejected; the
	 * chain converts it to a reply
	 */
	CompletableFuture<HttpServerResponse> filter(RequestContext context, FilterChain next);

}
