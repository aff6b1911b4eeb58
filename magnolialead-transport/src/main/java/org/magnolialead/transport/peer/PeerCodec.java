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
import org.magnolialead.api.message.ForwardStatementAnswer;
import org.magnolialead.api.message.ForwardStatementRequest;
import org.magnolialead.api.message.MessageKind;
import org.msgpack.core.MessageFormatException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes the frames of the peer protocol. A frame consists of a 4-byte
 * length of the rest of the frame, a 1-byte message kind, an 8-byte correlation
 * identifier and the message as MessagePack. Thread-safe.
 */
public final class PeerCodec {

	/**
	 * Maximum size of a frame in bytes, including its length field.
	 */
	public static final int MAXIMUM_FRAME_BYTES = 1 << 20;

	/**
	 * Size of the length field in bytes.
	 */
	static final int LENGTH_BYTES = Integer.BYTES;

	/**
	 * Kind of a frame without a body that the server echoes. A client uses it to detect
	 * connections that were lost without being closed.
	 */
	static final int PROBE_KIND = 0;

	private static final int HEADER_BYTES = LENGTH_BYTES + Byte.BYTES + Long.BYTES;

	private final ObjectMapper mapper = createMapper();

	// Readers and writers are created when the first message of a kind is processed,
	// because creating all of them takes a third of the startup time of a daemon.
	private final Map<MessageKind, ObjectReader> readers = new ConcurrentHashMap<>();

	private final Map<MessageKind, ObjectWriter> writers = new ConcurrentHashMap<>();

	private ObjectReader reader(MessageKind kind) {
		return this.readers.computeIfAbsent(kind, (missing) -> this.mapper.readerFor(missing.type()));
	}

	private ObjectWriter writer(MessageKind kind) {
		return this.writers.computeIfAbsent(kind, (missing) -> this.mapper.writerFor(missing.type()));
	}

	/**
	 * Creates a mapper that encodes messages as MessagePack. Unknown properties are
	 * ignored, so that processes of adjacent versions are compatible. The parts of the
	 * fleet view and forwarded statements are encoded as arrays without property names,
	 * which reduces the size of a complete view by more than half; new properties may
	 * only be added at their end.
	 * @return the mapper
	 */
	public static ObjectMapper createMapper() {
		// Methods such as CommandResult.isAccepted() return derived values and are not
		// properties.
		return JsonMapper.builder(new MessagePackFactory())
			.disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
			.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
			.addMixIn(FleetViewChange.class, ArrayShape.class)
			.addMixIn(GroupView.class, ArrayShape.class)
			.addMixIn(DaemonView.class, ArrayShape.class)
			.addMixIn(MemberDescription.class, ArrayShape.class)
			.addMixIn(ForwardStatementRequest.class, ArrayShape.class)
			.addMixIn(ForwardStatementAnswer.class, ArrayShape.class)
			.build();
	}

	/**
	 * Encodes a message.
	 * @param correlationId correlation identifier, or 0 if no answer is expected
	 * @param message the message
	 * @return the frame with its length field
	 * @throws IllegalArgumentException if the object is not a message of the peer
	 * protocol, cannot be encoded, or exceeds the maximum frame size
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
	 * @param correlationId correlation identifier that the server echoes
	 * @return the frame with its length field
	 */
	static ByteBuf encodeProbe(long correlationId) {
		ByteBuf frame = Unpooled.buffer(HEADER_BYTES);
		writeHeader(frame, 0, PROBE_KIND, correlationId);
		return frame;
	}

	/**
	 * Decodes a frame.
	 * @param frame the frame without its length field; its reader index is advanced
	 * @return the decoded frame
	 * @throws IllegalArgumentException if the frame is too short or of an unknown kind,
	 * or its body cannot be decoded
	 */
	public PeerFrame decode(ByteBuf frame) {
		if (frame.readableBytes() < HEADER_BYTES - LENGTH_BYTES) {
			throw new IllegalArgumentException("frame is too short: %d bytes".formatted(frame.readableBytes()));
		}
		MessageKind kind = MessageKind.ofCode(frame.readUnsignedByte());
		long correlationId = frame.readLong();
		byte[] body = new byte[frame.readableBytes()];
		frame.readBytes(body);
		return new PeerFrame(kind, correlationId, decodeBody(kind, body));
	}

	/**
	 * Returns whether a frame is a probe.
	 * @param frame the frame without its length field; its reader index is unchanged
	 * @return {@code true} if the frame is a probe
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
			checkSingleValue(body);
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
	 * Checks that a body consists of exactly one complete value. The parser allocates
	 * memory for the declared length of a binary value, so a few corrupted bytes could
	 * make it allocate 2 GiB.
	 * @param body the body
	 * @throws IOException if the body cannot be read or has trailing bytes
	 */
	static void checkSingleValue(byte[] body) throws IOException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
			unpacker.skipValue();
			if (unpacker.hasNext()) {
				throw new MessageFormatException("the body has trailing bytes after its value");
			}
		}
	}

	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	private interface ArrayShape {

	}

}
