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
 * Encodes and decodes the frames of the relay handshake, which consist of a 4-byte length
 * and a MessagePack body.
 */
final class RelayCodec {

	/** Maximum size of a frame in bytes, including its length field. */
	static final int MAXIMUM_FRAME_BYTES = 1_024;

	private static final ObjectMapper MAPPER = PeerCodec.createMapper();

	private RelayCodec() {
	}

	/**
	 * Returns a decoder that emits frames without their length field.
	 * @return the decoder
	 */
	static LengthFieldBasedFrameDecoder decoder() {
		LengthFieldBasedFrameDecoder decoder = new LengthFieldBasedFrameDecoder(MAXIMUM_FRAME_BYTES, 0, Integer.BYTES,
				0, Integer.BYTES);
		// Bytes after the first frame belong to the protocol of the endpoints and must
		// not be decoded.
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
			throw new IllegalArgumentException("frame cannot be decoded as " + type.getSimpleName(), ex);
		}
	}

}
