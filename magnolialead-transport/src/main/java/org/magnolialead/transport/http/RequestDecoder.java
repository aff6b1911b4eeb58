package org.magnolialead.transport.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * HTTP request decoder that knows whether a request has been received only partially.
 */
final class RequestDecoder extends HttpRequestDecoder {

	private boolean receivingRequest;

	RequestDecoder(int maximumHeaderBytes) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(maximumHeaderBytes).setMaxHeaderSize(maximumHeaderBytes));
	}

	/**
	 * Returns whether a request has been received partially.
	 * @return {@code true} if the first byte of a request has been received and the last
	 * one has not
	 */
	boolean isReceivingRequest() {
		return this.receivingRequest || actualReadableBytes() > 0;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		int readableBefore = buffer.readableBytes();
		int messagesBefore = out.size();
		super.decode(context, buffer, out);
		if (out.size() > messagesBefore) {
			this.receivingRequest = !(out.get(out.size() - 1) instanceof LastHttpContent);
		}
		else if (buffer.readableBytes() < readableBefore) {
			this.receivingRequest = true;
		}
	}

}
