package org.magnolialead.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.magnolialead.api.message.ControlIdentity;
import org.magnolialead.api.message.LogEntry;
import org.magnolialead.engine.consensus.ConsensusSnapshot;
import org.magnolialead.engine.consensus.Vote;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the contents of the files of a control daemon as MessagePack.
 * Fields are written in a fixed order and without reflection, because reflection took a
 * third of the startup time of a control daemon.
 */
final class StoredRecords {

	private StoredRecords() {
	}

	static byte[] encode(Vote vote) {
		return pack((packer) -> {
			packer.packLong(vote.term());
			if (vote.candidate() == null) {
				packer.packNil();
			}
			else {
				packIdentity(packer, vote.candidate());
			}
		});
	}

	static Vote decodeVote(Path path, byte[] bytes) {
		return unpack(path, MessagePack.newDefaultUnpacker(bytes), (unpacker) -> {
			long term = unpacker.unpackLong();
			return new Vote(term, unpacker.tryUnpackNil() ? null : unpackIdentity(unpacker));
		});
	}

	static byte[] encode(ConsensusSnapshot snapshot) {
		return pack((packer) -> {
			packer.packLong(snapshot.lastIndex());
			packer.packLong(snapshot.lastTerm());
			packIdentities(packer, snapshot.voters());
			packBytes(packer, snapshot.data());
		});
	}

	static ConsensusSnapshot decodeSnapshot(Path path, byte[] bytes) {
		return unpack(path, MessagePack.newDefaultUnpacker(bytes),
				(unpacker) -> new ConsensusSnapshot(unpacker.unpackLong(), unpacker.unpackLong(),
						unpackIdentities(unpacker), unpackBytes(unpacker)));
	}

	static byte[] encode(DurableLog.Content content) {
		return pack((packer) -> {
			packer.packLong(content.baseIndex());
			packer.packLong(content.baseTerm());
			packer.packArrayHeader(content.entries().size());
			for (LogEntry entry : content.entries()) {
				packer.packLong(entry.term());
				packer.packLong(entry.index());
				packer.packString(entry.kind().name());
				packBytes(packer, entry.command());
				packIdentities(packer, entry.voters());
			}
		});
	}

	static DurableLog.Content decodeContent(Path path, ByteBuffer bytes) {
		return unpack(path, MessagePack.newDefaultUnpacker(bytes), (unpacker) -> {
			long baseIndex = unpacker.unpackLong();
			long baseTerm = unpacker.unpackLong();
			int size = unpacker.unpackArrayHeader();
			List<LogEntry> entries = new ArrayList<>();
			for (int count = 0; count < size; count++) {
				entries.add(new LogEntry(unpacker.unpackLong(), unpacker.unpackLong(),
						LogEntry.Kind.valueOf(unpacker.unpackString()), unpackBytes(unpacker),
						unpackIdentities(unpacker)));
			}
			return new DurableLog.Content(baseIndex, baseTerm, entries);
		});
	}

	private static void packIdentities(MessageBufferPacker packer, List<ControlIdentity> identities)
			throws IOException {
		packer.packArrayHeader(identities.size());
		for (ControlIdentity identity : identities) {
			packIdentity(packer, identity);
		}
	}

	private static List<ControlIdentity> unpackIdentities(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackArrayHeader();
		List<ControlIdentity> identities = new ArrayList<>();
		for (int count = 0; count < size; count++) {
			identities.add(unpackIdentity(unpacker));
		}
		return identities;
	}

	private static void packIdentity(MessageBufferPacker packer, ControlIdentity identity) throws IOException {
		packer.packString(identity.name()).packString(identity.incarnation()).packString(identity.address());
	}

	private static ControlIdentity unpackIdentity(MessageUnpacker unpacker) throws IOException {
		return new ControlIdentity(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString());
	}

	private static void packBytes(MessageBufferPacker packer, byte[] bytes) throws IOException {
		packer.packBinaryHeader(bytes.length).writePayload(bytes);
	}

	private static byte[] unpackBytes(MessageUnpacker unpacker) throws IOException {
		return unpacker.readPayload(unpacker.unpackBinaryHeader());
	}

	private static byte[] pack(FieldWriter writer) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			writer.write(packer);
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("writing to a memory buffer failed", ex);
		}
	}

	private static <T> T unpack(Path path, MessageUnpacker opened, FieldReader<T> reader) {
		try (MessageUnpacker unpacker = opened) {
			return reader.read(unpacker);
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw StorageErrors.failure(path, "does not contain a valid record", ex);
		}
	}

	/**
	 * Writes the fields of a record.
	 */
	private interface FieldWriter {

		void write(MessageBufferPacker packer) throws IOException;

	}

	/**
	 * Reads the fields of a record.
	 */
	private interface FieldReader<T> {

		T read(MessageUnpacker unpacker) throws IOException;

	}

}
