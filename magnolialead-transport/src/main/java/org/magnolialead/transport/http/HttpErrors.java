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
 * JSON form of errors.
 */
public final class HttpErrors {

	/**
	 * Header that states what is known about the execution of a request.
	 */
	public static final String OUTCOME_HEADER = "Magnolialead-Outcome";

	private static final Logger LOGGER = System.getLogger(HttpErrors.class.getName());

	private static final ObjectWriter WRITER = new ObjectMapper().writerFor(ErrorBody.class);

	private HttpErrors() {
	}

	/**
	 * Returns the reply to a request that failed.
	 * @param failure the failure; one that carries no error code is logged and reported
	 * as {@link ErrorCode#INVARIANT_VIOLATED}
	 * @return the reply
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
			return response(ErrorCode.OVERLOADED, Step.RECEIVE, "", "no thread is free", Outcome.NOT_RUN);
		}
		LogEvent.HTTP_HANDLER_FAILED.log(LOGGER, cause);
		return response(ErrorCode.INVARIANT_VIOLATED, Step.RECEIVE, "", "internal error", Outcome.UNKNOWN);
	}

	/**
	 * Returns the reply that reports an error.
	 * @param code the error code
	 * @param step the step at which it arose
	 * @param peer the peer that was involved, or an empty string
	 * @param message what went wrong
	 * @param outcome what is known about the execution
	 * @return the reply
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
			throw new IllegalStateException("an error body is always encodable", ex);
		}
	}

	/**
	 * JSON form of an error.
	 *
	 * @param code name of the error code
	 * @param number number of the error code
	 * @param step name of the step
	 * @param peer the peer, or an empty string
	 * @param outcome name of the outcome
	 * @param message what went wrong
	 */
	private record ErrorBody(String code, int number, String step, String peer, String outcome, String message) {
	}

}
