package org.magnolialead.daemon.control;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;
import org.magnolialead.api.command.ControlCommand;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes commands of the control log as MessagePack.
 */
final class CommandCodec {

	private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

	private static final ObjectWriter WRITER = MAPPER.writerFor(ControlCommand.class);

	private static final ObjectReader READER = MAPPER.readerFor(ControlCommand.class);

	private CommandCodec() {
	}

	static byte[] encode(ControlCommand command) {
		try {
			return WRITER.writeValueAsBytes(command);
		}
		catch (JsonProcessingException ex) {
			throw new MagnolialeadException(ErrorCode.BAD_REQUEST, Step.CONTROL, "", "command cannot be encoded", ex);
		}
	}

	static ControlCommand decode(byte[] bytes) {
		try {
			return READER.readValue(bytes);
		}
		catch (IOException ex) {
			throw new MagnolialeadException(ErrorCode.STORAGE_FAILURE, Step.CONTROL, "",
					"command of the control log cannot be decoded", ex);
		}
	}

}
