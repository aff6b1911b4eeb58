package org.magnolialead.transport.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Request decoder that knows whether a request has arrived in part only.
 */
final class RequestDecoder extends HttpRequestDecoder {

	private boolean insideRequest;

	RequestDecoder(int maximumHeaderBytes) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(maximumHeaderBytes).setMaxHeaderSize(maximumHeaderBytes));
	}

	/**
	 * Tells whether the first bytes of a request have arrived and its last ones have not.
	 * @return {@code true} inside a request
	 */
	boolean isInsideRequest() {
		return this.insideRequest || actualReadableBytes() > 0;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		int readableBefore = buffer.readableBytes();
		int messagesBefore = out.size();
		super.decode(context, buffer, out);
		if (out.size() > messagesBefore) {
			this.insideRequest = !(out.get(out.size() - 1) instanceof LastHttpContent);
		}
		else if (buffer.readableBytes() < readableBefore) {
			this.insideRequest = true;
		}
	}

}
