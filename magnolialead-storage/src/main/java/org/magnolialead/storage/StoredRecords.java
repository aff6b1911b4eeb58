package org.magnolialead.storage;

import java.io.IOException;
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
 * MessagePack form of what the files of a control daemon hold. Fields are packed in order
 * and without reflection, which took a third of the start of a control daemon.
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
				pack(packer, vote.candidate());
			}
		});
	}

	static Vote decodeVote(Path path, byte[] bytes) {
		return unpack(path, bytes, (unpacker) -> {
			long term = unpacker.unpackLong();
			return new Vote(term, unpacker.tryUnpackNil() ? null : identity(unpacker));
		});
	}

	static byte[] encode(ConsensusSnapshot snapshot) {
		return pack((packer) -> {
			packer.packLong(snapshot.lastIndex());
			packer.packLong(snapshot.lastTerm());
			pack(packer, snapshot.voters());
			pack(packer, snapshot.data());
		});
	}

	static ConsensusSnapshot decodeSnapshot(Path path, byte[] bytes) {
		return unpack(path, bytes, (unpacker) -> new ConsensusSnapshot(unpacker.unpackLong(), unpacker.unpackLong(),
				identities(unpacker), bytes(unpacker)));
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
				pack(packer, entry.command());
				pack(packer, entry.voters());
			}
		});
	}

	static DurableLog.Content decodeContent(Path path, byte[] bytes) {
		return unpack(path, bytes, (unpacker) -> {
			long baseIndex = unpacker.unpackLong();
			long baseTerm = unpacker.unpackLong();
			int size = unpacker.unpackArrayHeader();
			List<LogEntry> entries = new ArrayList<>();
			for (int count = 0; count < size; count++) {
				entries.add(new LogEntry(unpacker.unpackLong(), unpacker.unpackLong(),
						LogEntry.Kind.valueOf(unpacker.unpackString()), bytes(unpacker), identities(unpacker)));
			}
			return new DurableLog.Content(baseIndex, baseTerm, entries);
		});
	}

	private static void pack(MessageBufferPacker packer, List<ControlIdentity> identities) throws IOException {
		packer.packArrayHeader(identities.size());
		for (ControlIdentity identity : identities) {
			pack(packer, identity);
		}
	}

	private static List<ControlIdentity> identities(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackArrayHeader();
		List<ControlIdentity> identities = new ArrayList<>();
		for (int count = 0; count < size; count++) {
			identities.add(identity(unpacker));
		}
		return identities;
	}

	private static void pack(MessageBufferPacker packer, ControlIdentity identity) throws IOException {
		packer.packString(identity.name()).packString(identity.incarnation()).packString(identity.address());
	}

	private static ControlIdentity identity(MessageUnpacker unpacker) throws IOException {
		return new ControlIdentity(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString());
	}

	private static void pack(MessageBufferPacker packer, byte[] bytes) throws IOException {
		packer.packBinaryHeader(bytes.length).writePayload(bytes);
	}

	private static byte[] bytes(MessageUnpacker unpacker) throws IOException {
		return unpacker.readPayload(unpacker.unpackBinaryHeader());
	}

	private static byte[] pack(Writer writer) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			writer.write(packer);
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("a buffer in memory can always be written", ex);
		}
	}

	private static <T> T unpack(Path path, byte[] bytes, Reader<T> reader) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			return reader.read(unpacker);
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw StorageErrors.failure(path, "does not hold a valid record", ex);
		}
	}

	/**
	 * Writes the fields of a record.
	 */
	private interface Writer {

		void write(MessageBufferPacker packer) throws IOException;

	}

	/**
	 * Reads the fields of a record.
	 */
	private interface Reader<T> {

		T read(MessageUnpacker unpacker) throws IOException;

	}

}
