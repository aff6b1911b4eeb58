package org.magnolialead.testsupport.standin;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.magnolialead.api.LogPosition;

/**
 * Answer as it is sent, with its headers.
 *
 * @param requestId identifier of the request that it answers
 * @param status HTTP status
 * @param body JSON text in UTF-8
 * @param term term of the member
 * @param position position at the execution
 * @param member name of the member
 */
record EncodedResponse(String requestId, HttpResponseStatus status, byte[] body, long term, LogPosition position,
		String member) {
}
