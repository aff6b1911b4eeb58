package org.magnolialead.testsupport.standin;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.magnolialead.api.LogPosition;

/**
 * Response with its encoded body and the values of its headers.
 *
 * @param requestId identifier of the request to which the response belongs
 * @param status HTTP status
 * @param body JSON text in UTF-8
 * @param term term of the member
 * @param position log position when the request was executed
 * @param member name of the member
 */
record EncodedResponse(String requestId, HttpResponseStatus status, byte[] body, long term, LogPosition position,
		String member) {
}
