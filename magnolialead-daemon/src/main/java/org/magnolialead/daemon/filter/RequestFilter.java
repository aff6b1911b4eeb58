package org.magnolialead.daemon.filter;

import java.util.concurrent.CompletableFuture;

import org.magnolialead.transport.http.HttpServerResponse;

/**
 * One step in the handling of a request.
 */
@FunctionalInterface
public interface RequestFilter {

	/**
	 * Answers a request or passes it on.
	 * @param context what is known of the request
	 * @param next the rest of the chain
	 * @return the reply
	 * @throws org.magnolialead.api.MagnolialeadException if the request is refused; the
	 * chain turns it into a reply
	 */
	CompletableFuture<HttpServerResponse> filter(RequestContext context, FilterChain next);

}
