package org.magnolialead.transport.relay;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.magnolialead.transport.peer.PeerCodec;

/**
 * Frames of a 4-byte length and a MessagePack body with which a relayed connection
 * begins.
 */
final class RelayCodec {

	/** Greatest size of a frame in bytes. */
	static final int MAXIMUM_BYTES = 1_024;

	private static final ObjectMapper MAPPER = PeerCodec.createMapper();

	private RelayCodec() {
	}

	/**
	 * Returns a decoder that passes on one frame at a time without its length.
	 * @return the decoder
	 */
	static LengthFieldBasedFrameDecoder decoder() {
		LengthFieldBasedFrameDecoder decoder = new LengthFieldBasedFrameDecoder(MAXIMUM_BYTES, 0, Integer.BYTES, 0,
				Integer.BYTES);
		// What follows the frame belongs to the endpoints.
		decoder.setSingleDecode(true);
		return decoder;
	}

	static ByteBuf encode(Object message) {
		try {
			byte[] body = MAPPER.writeValueAsBytes(message);
			return Unpooled.buffer(Integer.BYTES + body.length).writeInt(body.length).writeBytes(body);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("message cannot be encoded", ex);
		}
	}

	static <T> T decode(ByteBuf frame, Class<T> type) {
		try {
			return MAPPER.readValue(ByteBufUtil.getBytes(frame), type);
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("frame cannot be read as " + type.getSimpleName(), ex);
		}
	}

}
