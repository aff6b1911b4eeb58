package org.magnolialead.transport.http;

import java.util.concurrent.CompletableFuture;

/**
 * Handles HTTP requests.
 */
@FunctionalInterface
public interface HttpHandler {

	/**
	 * Handles a request. Called on the executor of the server.
	 * @param call the request
	 * @return the reply; a failure is answered by {@link HttpErrors#response(Throwable)}
	 */
	CompletableFuture<HttpServerResponse> handle(HttpServerRequest call);

}
