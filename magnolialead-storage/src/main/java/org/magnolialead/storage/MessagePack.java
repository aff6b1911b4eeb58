package org.magnolialead.storage;

import java.io.IOException;
import java.nio.file.Path;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes records as MessagePack.
 */
final class MessagePack {

	private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

	private MessagePack() {
	}

	static byte[] encode(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("cannot encode " + value.getClass().getName(), ex);
		}
	}

	static <T> T decode(Path path, byte[] bytes, Class<T> type) {
		try {
			return MAPPER.readValue(bytes, type);
		}
		catch (IOException ex) {
			throw StorageErrors.failure(path, "does not hold a valid " + type.getSimpleName(), ex);
		}
	}

}
