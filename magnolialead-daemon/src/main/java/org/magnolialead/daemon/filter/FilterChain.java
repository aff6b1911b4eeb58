package org.magnolialead.daemon.filter;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.magnolialead.transport.http.HttpErrors;
import org.magnolialead.transport.http.HttpServerResponse;

/**
 * Remaining part of a filter chain.
 */
@FunctionalInterface
public interface FilterChain {

	/**
	 * Handles a request.
	 * @param context the request and its attributes
	 * @return the reply; never completes exceptionally if the chain was created by
	 * {@link #of}
	 */
	CompletableFuture<HttpServerResponse> proceed(RequestContext context);

	/**
	 * Returns a chain of filters. A failure of a filter is converted to an error reply,
	 * which the preceding filters receive.
	 * @param filters the filters in order of execution
	 * @param end handles the requests that all filters have passed on
	 * @return the chain
	 */
	static FilterChain of(List<RequestFilter> filters, FilterChain end) {
		FilterChain chain = guarded(end);
		for (int index = filters.size() - 1; index >= 0; index--) {
			RequestFilter filter = filters.get(index);
			FilterChain rest = chain;
			chain = guarded((context) -> filter.filter(context, rest));
		}
		return chain;
	}

	private static FilterChain guarded(FilterChain chain) {
		return (context) -> {
			try {
				return chain.proceed(context).exceptionally(HttpErrors::response);
			}
			catch (RuntimeException ex) {
				return CompletableFuture.completedFuture(HttpErrors.response(ex));
			}
		};
	}

}
