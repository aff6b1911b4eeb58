package org.magnolialead.testsupport.standin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.magnolialead.api.LogPosition;

/**
 * Answer of the stand-in.
 *
 * @param status HTTP status
 * @param body JSON value of the body
 * @param position position for the header, or {@code null} for the member's applied
 * position
 */
record StandInAnswer(HttpResponseStatus status, Object body, LogPosition position) {

	static StandInAnswer ok(Object body) {
		return new StandInAnswer(HttpResponseStatus.OK, body, null);
	}

	static StandInAnswer error(HttpResponseStatus status, String message) {
		return new StandInAnswer(status, JsonNodeFactory.instance.objectNode().put("error", message), null);
	}

	static StandInAnswer conflict(String message, long term) {
		ObjectNode body = JsonNodeFactory.instance.objectNode().put("error", message).put("term", term);
		return new StandInAnswer(HttpResponseStatus.CONFLICT, body, null);
	}

}
