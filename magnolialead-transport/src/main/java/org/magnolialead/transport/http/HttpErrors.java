package org.magnolialead.transport.http;

import java.lang.System.Logger;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.RejectedExecutionException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Outcome;
import org.magnolialead.api.Step;
import org.magnolialead.api.log.LogEvent;

/**
 * Creates HTTP responses that report errors as JSON.
 */
public final class HttpErrors {

	/**
	 * Response header with the {@link Outcome} of the request.
	 */
	public static final String OUTCOME_HEADER = "Magnolialead-Outcome";

	private static final Logger LOGGER = System.getLogger(HttpErrors.class.getName());

	private static final ObjectWriter WRITER = new ObjectMapper().writerFor(ErrorBody.class);

	private HttpErrors() {
	}

	/**
	 * Returns the response to a failed request. A rejected execution is reported as
	 * {@link ErrorCode#OVERLOADED}; any other exception without an error code is logged
	 * and reported as {@link ErrorCode#INVARIANT_VIOLATED}.
	 * @param failure the exception with which the request failed
	 * @return the response
	 */
	public static HttpServerResponse response(Throwable failure) {
		Throwable cause = failure;
		while (cause instanceof CompletionException && cause.getCause() != null) {
			cause = cause.getCause();
		}
		if (cause instanceof MagnolialeadException known) {
			return response(known.code(), known.step(), known.peer(), known.getMessage(), known.code().outcome());
		}
		if (cause instanceof RejectedExecutionException) {
			return response(ErrorCode.OVERLOADED, Step.RECEIVE, "", "no thread is available to handle the request",
					Outcome.NOT_RUN);
		}
		LogEvent.HTTP_HANDLER_FAILED.log(LOGGER, cause);
		return response(ErrorCode.INVARIANT_VIOLATED, Step.RECEIVE, "", "internal error", Outcome.UNKNOWN);
	}

	/**
	 * Returns a response that reports an error.
	 * @param code the error code
	 * @param step the step at which the error occurred
	 * @param peer the peer that was involved, or an empty string
	 * @param message description of the error
	 * @param outcome what is known about the execution of the request
	 * @return the response
	 */
	public static HttpServerResponse response(ErrorCode code, Step step, String peer, String message, Outcome outcome) {
		ErrorBody body = new ErrorBody(code.name(), code.number(), step.name(), peer, outcome.name(), message);
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Content-Type", HttpServerResponse.JSON);
		headers.put(OUTCOME_HEADER, outcome.name());
		return new HttpServerResponse(code.httpStatus(), headers, encode(body));
	}

	private static byte[] encode(ErrorBody body) {
		try {
			return WRITER.writeValueAsBytes(body);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("the error body could not be encoded", ex);
		}
	}

	/**
	 * JSON body of an error response.
	 *
	 * @param code name of the error code
	 * @param number number of the error code
	 * @param step name of the step
	 * @param peer the peer that was involved, or an empty string
	 * @param outcome name of the outcome
	 * @param message description of the error
	 */
	private record ErrorBody(String code, int number, String step, String peer, String outcome, String message) {
	}

}
