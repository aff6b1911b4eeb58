package org.magnolialead.transport.peer;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.magnolialead.api.DaemonView;
import org.magnolialead.api.FleetViewChange;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.message.MessageKind;
import org.msgpack.core.MessageFormatException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Converts messages to and from frames. A frame consists of a 4-byte length of what
 * follows, a 1-byte kind, an 8-byte correlation identifier and the message as
 * MessagePack. A codec may be used by any number of threads.
 */
public final class PeerCodec {

	/**
	 * Greatest size of a frame in bytes, length field included.
	 */
	public static final int MAXIMUM_FRAME_BYTES = 1 << 20;

	/**
	 * Size of the length field in bytes.
	 */
	static final int LENGTH_BYTES = Integer.BYTES;

	/**
	 * Kind of a frame without a body that the server returns unchanged. A client uses it
	 * to notice connections that were cut silently.
	 */
	static final int PROBE_KIND = 0;

	private static final int HEADER_BYTES = LENGTH_BYTES + Byte.BYTES + Long.BYTES;

	private final ObjectMapper mapper = createMapper();

	// Made when the first message of a kind passes, because making all of them takes a
	// third of the start of a daemon.
	private final Map<MessageKind, ObjectReader> readers = new ConcurrentHashMap<>();

	private final Map<MessageKind, ObjectWriter> writers = new ConcurrentHashMap<>();

	private ObjectReader reader(MessageKind kind) {
		return this.readers.computeIfAbsent(kind, (missing) -> this.mapper.readerFor(missing.type()));
	}

	private ObjectWriter writer(MessageKind kind) {
		return this.writers.computeIfAbsent(kind, (missing) -> this.mapper.writerFor(missing.type()));
	}

	/**
	 * Creates a mapper for the MessagePack form of messages and their parts. Unknown
	 * properties are ignored, so that processes of neighbouring versions understand each
	 * other. The parts of the fleet view are arrays without property names, which more
	 * than halves a complete view; new properties may only be added at their end.
	 * @return the mapper
	 */
	public static ObjectMapper createMapper() {
		// Methods such as CommandResult.isAccepted() are derived values, not properties.
		return JsonMapper.builder(new MessagePackFactory())
			.disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
			.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
			.addMixIn(FleetViewChange.class, ArrayShape.class)
			.addMixIn(GroupView.class, ArrayShape.class)
			.addMixIn(DaemonView.class, ArrayShape.class)
			.addMixIn(MemberDescription.class, ArrayShape.class)
			.build();
	}

	/**
	 * Encodes a message.
	 * @param correlationId correlation identifier, 0 for a message without an answer
	 * @param message the message
	 * @return the frame with its length field
	 * @throws IllegalArgumentException if the object is no message of the peer protocol,
	 * cannot be encoded, or exceeds the maximum size
	 */
	public ByteBuf encode(long correlationId, Object message) {
		MessageKind kind = MessageKind.of(message);
		byte[] body = encodeBody(kind, message);
		int size = HEADER_BYTES + body.length;
		if (size > MAXIMUM_FRAME_BYTES) {
			throw new IllegalArgumentException(
					"frame of kind %s has %d bytes, at most %d are allowed".formatted(kind, size, MAXIMUM_FRAME_BYTES));
		}
		ByteBuf frame = Unpooled.buffer(size);
		writeHeader(frame, body.length, kind.code(), correlationId);
		return frame.writeBytes(body);
	}

	/**
	 * Encodes a probe.
	 * @param correlationId correlation identifier that the server returns
	 * @return the frame with its length field
	 */
	static ByteBuf encodeProbe(long correlationId) {
		ByteBuf frame = Unpooled.buffer(HEADER_BYTES);
		writeHeader(frame, 0, PROBE_KIND, correlationId);
		return frame;
	}

	/**
	 * Decodes a frame.
	 * @param frame the frame without its length field; its reader index moves
	 * @return the decoded frame
	 * @throws IllegalArgumentException if the frame is too short, of unknown kind, or its
	 * body cannot be decoded
	 */
	public PeerFrame decode(ByteBuf frame) {
		if (frame.readableBytes() < HEADER_BYTES - LENGTH_BYTES) {
			throw new IllegalArgumentException("frame has only %d bytes".formatted(frame.readableBytes()));
		}
		MessageKind kind = MessageKind.ofCode(frame.readUnsignedByte());
		long correlationId = frame.readLong();
		byte[] body = new byte[frame.readableBytes()];
		frame.readBytes(body);
		return new PeerFrame(kind, correlationId, decodeBody(kind, body));
	}

	/**
	 * Tells whether a frame is a probe.
	 * @param frame the frame without its length field; its reader index stays
	 * @return {@code true} for a probe
	 */
	static boolean isProbe(ByteBuf frame) {
		return frame.readableBytes() == HEADER_BYTES - LENGTH_BYTES
				&& frame.getUnsignedByte(frame.readerIndex()) == PROBE_KIND;
	}

	private static void writeHeader(ByteBuf frame, int bodyLength, int kind, long correlationId) {
		frame.writeInt(HEADER_BYTES - LENGTH_BYTES + bodyLength);
		frame.writeByte(kind);
		frame.writeLong(correlationId);
	}

	private byte[] encodeBody(MessageKind kind, Object message) {
		try {
			return writer(kind).writeValueAsBytes(message);
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("message of kind %s cannot be encoded".formatted(kind), ex);
		}
	}

	private Object decodeBody(MessageKind kind, byte[] body) {
		Object message;
		try {
			checkStructure(body);
			message = reader(kind).readValue(body);
		}
		catch (IOException | MessagePackException ex) {
			throw new IllegalArgumentException("body of kind %s cannot be decoded".formatted(kind), ex);
		}
		if (message == null) {
			throw new IllegalArgumentException("body of kind %s is empty".formatted(kind));
		}
		return message;
	}

	/**
	 * Checks that a body is exactly one complete value. The parser allocates a binary
	 * value by its stated length, so a few damaged bytes could demand 2 GiB.
	 * @param body the body
	 * @throws IOException if the body cannot be read
	 */
	private static void checkStructure(byte[] body) throws IOException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
			unpacker.skipValue();
			if (unpacker.hasNext()) {
				throw new MessageFormatException("the body has bytes after its value");
			}
		}
	}

	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	private interface ArrayShape {

	}

}
