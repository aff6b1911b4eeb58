package org.magnolialead.transport.http;

import java.util.concurrent.CompletableFuture;

/**
 * Handles HTTP requests.
 */
@FunctionalInterface
public interface HttpHandler {

	/**
	 * Handles a request. Called on the executor of the server.
	 * @param request the request
	 * @return a future of the response; a failure is reported to the caller by
	 * {@link HttpErrors#response(Throwable)}
	 */
	CompletableFuture<HttpServerResponse> handle(HttpServerRequest request);

}
