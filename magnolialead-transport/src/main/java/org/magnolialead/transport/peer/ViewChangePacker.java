package org.magnolialead.transport.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnolialead.api.FleetViewChange;
import org.msgpack.core.MessagePackException;

/**
 * Packs changes of the fleet view. Routes resemble each other, so a packed change has a
 * fraction of the size, which matters on the slow links of entry daemons. Thread-safe.
 */
public final class ViewChangePacker {

	/** Maximum size of an unpacked change in bytes. */
	static final int MAXIMUM_UNPACKED_BYTES = 16 * PeerCodec.MAXIMUM_FRAME_BYTES;

	private final ObjectMapper mapper = PeerCodec.createMapper();

	/**
	 * Packs a change.
	 * @param change the change
	 * @return the packed change
	 * @throws IllegalArgumentException if the change cannot be encoded
	 */
	public byte[] pack(FleetViewChange change) {
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		ByteArrayOutputStream packed = new ByteArrayOutputStream();
		try (DeflaterOutputStream output = new DeflaterOutputStream(packed, deflater)) {
			output.write(this.mapper.writeValueAsBytes(change));
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("change of the fleet view cannot be encoded", ex);
		}
		finally {
			deflater.end();
		}
		return packed.toByteArray();
	}

	/**
	 * Unpacks a change.
	 * @param packed the packed change
	 * @return the change
	 * @throws IllegalArgumentException if it cannot be decoded or is too large
	 */
	public FleetViewChange unpack(byte[] packed) {
		try (InflaterInputStream input = new InflaterInputStream(new ByteArrayInputStream(packed))) {
			byte[] unpacked = input.readNBytes(MAXIMUM_UNPACKED_BYTES + 1);
			if (unpacked.length > MAXIMUM_UNPACKED_BYTES) {
				throw new IllegalArgumentException(
						"change of the fleet view has more than %d bytes".formatted(MAXIMUM_UNPACKED_BYTES));
			}
			PeerCodec.checkSingleValue(unpacked);
			return this.mapper.readValue(unpacked, FleetViewChange.class);
		}
		catch (IOException | MessagePackException ex) {
			throw new IllegalArgumentException("change of the fleet view cannot be decoded", ex);
		}
	}

}
