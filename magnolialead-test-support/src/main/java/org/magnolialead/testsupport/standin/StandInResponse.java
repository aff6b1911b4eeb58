package org.magnolialead.testsupport.standin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.magnolialead.api.LogPosition;

/**
 * Response of the stand-in before it is encoded.
 *
 * @param status HTTP status
 * @param body JSON value of the body
 * @param position log position for the header, or {@code null} for the position that the
 * member has applied
 */
record StandInResponse(HttpResponseStatus status, Object body, LogPosition position) {

	static StandInResponse ok(Object body) {
		return new StandInResponse(HttpResponseStatus.OK, body, null);
	}

	static StandInResponse error(HttpResponseStatus status, String message) {
		return new StandInResponse(status, JsonNodeFactory.instance.objectNode().put("error", message), null);
	}

	static StandInResponse conflict(String message, long term) {
		ObjectNode body = JsonNodeFactory.instance.objectNode().put("error", message).put("term", term);
		return new StandInResponse(HttpResponseStatus.CONFLICT, body, null);
	}

}
