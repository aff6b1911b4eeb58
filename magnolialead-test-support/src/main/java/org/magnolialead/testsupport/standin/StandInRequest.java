package org.magnolialead.testsupport.standin;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * Request to the stand-in.
 *
 * @param connection connection on which the request arrived
 * @param requestId identifier that the response repeats, or an empty string
 * @param method HTTP method
 * @param target decoder of the path and the query
 * @param body JSON body, or a missing node
 * @param keepAlive whether the connection stays open after the response
 */
record StandInRequest(StandInConnection connection, String requestId, String method, QueryStringDecoder target,
		JsonNode body, boolean keepAlive) {

	String path() {
		return this.target.path();
	}

	boolean isExemptFromConnectionLimit() {
		return path().startsWith("/control/") || path().startsWith("/replication/");
	}

	String text(String name, String defaultValue) {
		List<String> values = this.target.parameters().get(name);
		return (values != null) ? values.get(0) : defaultValue;
	}

	long number(String name, long defaultValue) {
		String value = text(name, null);
		try {
			return (value != null) ? Long.parseLong(value) : defaultValue;
		}
		catch (NumberFormatException ex) {
			throw new StatementException("parameter " + name + " must be a number, found \"" + value + "\"");
		}
	}

}
