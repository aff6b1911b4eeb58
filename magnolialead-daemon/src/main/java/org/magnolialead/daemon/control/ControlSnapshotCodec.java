package org.magnolialead.daemon.control;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;
import org.magnolialead.engine.control.ControlSnapshot;
import org.magnolialead.engine.control.ControlState;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes snapshots of the control state as MessagePack. Safe for concurrent use.
 */
final class ControlSnapshotCodec {

	private final ObjectMapper mapper;

	/**
	 * Creates a codec.
	 */
	ControlSnapshotCodec() {
		this.mapper = new ObjectMapper(new MessagePackFactory());
		// Arrays without field names halve the size of a large ledger.
		this.mapper.addMixIn(ControlSnapshot.Request.class, ArrayShape.class);
	}

	/**
	 * Encodes a state.
	 * @param state the state
	 * @return the snapshot
	 */
	byte[] encode(ControlState state) {
		try {
			return this.mapper.writeValueAsBytes(ControlSnapshot.of(state));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Decodes a state.
	 * @param snapshot the snapshot
	 * @return the state
	 * @throws MagnolialeadException of code {@code STORAGE_FAILURE} if the snapshot is
	 * corrupted
	 */
	ControlState decode(byte[] snapshot) {
		try {
			return this.mapper.readValue(snapshot, ControlSnapshot.class).toState();
		}
		catch (IOException | RuntimeException ex) {
			throw new MagnolialeadException(ErrorCode.STORAGE_FAILURE, Step.STORAGE, "",
					"snapshot of the control state cannot be decoded", ex);
		}
	}

	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	private interface ArrayShape {

	}

}
