package org.magnolialead.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.message.ControlIdentity;
import org.magnolialead.api.message.LogEntry;
import org.magnolialead.engine.consensus.ConsensusSnapshot;
import org.magnolialead.engine.consensus.StoredState;
import org.magnolialead.engine.consensus.Vote;

/**
 * Tests of the files in a {@link DataFolder}.
 */
class DataFolderTests {

	private static final ControlIdentity MEMBER = new ControlIdentity("m", "i", "127.0.0.1:1");

	@TempDir
	Path folder;

	@BeforeEach
	void startCluster() {
		try (DataFolder data = new DataFolder(this.folder)) {
			data.startCluster(StoredState.bootstrap("cluster", MEMBER, new byte[] { 7 }));
			data.saveVote(new Vote(3, MEMBER));
			commit(data, entry(1, 2), entry(1, 3));
			commit(data, entry(2, 4));
			commit(data, entry(3, 5), entry(3, 6));
		}
	}

	private static LogEntry entry(long term, long index) {
		return new LogEntry(term, index, LogEntry.Kind.COMMAND, new byte[] { (byte) index, 1, 2, 3 }, List.of());
	}

	private static void commit(DataFolder data, LogEntry... entries) {
		data.log().append(List.of(entries));
		data.log().sync();
	}

	private static List<Long> terms(DataFolder data) {
		List<Long> terms = new ArrayList<>();
		data.storedState().entries().forEach((entry) -> terms.add(entry.term()));
		return terms;
	}

	private static void require(boolean condition, String message) {
		if (!condition) {
			throw new AssertionError(message);
		}
	}

	private static void requireStorageFailure(Runnable task, String situation) {
		try {
			task.run();
		}
		catch (MagnolialeadException ex) {
			require(ex.code() == ErrorCode.STORAGE_FAILURE, situation + ": " + ex);
			return;
		}
		throw new AssertionError(situation + ": no exception was thrown");
	}

	@Nested
	class Log {

		/** Guards against losing entries, the vote or identities in a restart. */
		@Test
		void restoresEverythingAfterRestart() {
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				require(terms(data).equals(List.of(1L, 1L, 2L, 3L, 3L)), "terms are " + terms(data));
				require(data.storedState().vote().equals(new Vote(3, MEMBER)), "vote is " + data.storedState().vote());
				require(data.storedState().cluster().equals("cluster"), "cluster is " + data.storedState().cluster());
				require(data.storedState().snapshot().voters().equals(List.of(MEMBER)), "voters must be kept");
			}
		}

		/** Guards against superseded entries that reappear after a restart. */
		@Test
		void replacesConflictingSuffix() {
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				commit(data, entry(4, 4));
			}
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				require(terms(data).equals(List.of(1L, 1L, 4L)), "terms are " + terms(data));
			}
		}

		/** Guards against superseded entries that are kept within one group commit. */
		@Test
		void replacesSuffixBeforeSync() {
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				data.log().append(List.of(entry(4, 7), entry(4, 8)));
				data.log().append(List.of(entry(5, 8)));
				data.log().append(List.of(entry(6, 6)));
				data.log().sync();
			}
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				require(terms(data).equals(List.of(1L, 1L, 2L, 3L, 6L)), "terms are " + terms(data));
			}
		}

		/**
		 * Guards against a log that cannot be opened after a crash during a write, for
		 * each length to which the last record can be cut.
		 */
		@Test
		void truncatesTornRecordAndContinues() throws IOException {
			Path log = DataFolderTests.this.folder.resolve("log");
			byte[] complete = Files.readAllBytes(log);
			int start = lastRecordOffset(complete);
			for (int length = start; length < complete.length; length++) {
				Files.write(log, Arrays.copyOf(complete, length));
				try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
					require(terms(data).equals(List.of(1L, 1L, 2L)),
							"terms at length " + length + " are " + terms(data));
					commit(data, entry(4, 5));
				}
				try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
					require(terms(data).equals(List.of(1L, 1L, 2L, 4L)),
							"terms after a torn record are " + terms(data));
				}
			}
		}

		/**
		 * Guards against a vote or an entry that counts as stored although an earlier
		 * process has ended before it was synced.
		 */
		@Test
		void isNotOpenedUnlessItCanBeSynced() {
			FailingSync disk = new FailingSync();
			disk.fails = true;
			requireStorageFailure(() -> new DataFolder(DataFolderTests.this.folder, disk).close(), "unsynced folder");
		}

		/**
		 * Guards against an entry that counts as stored although its sync failed: the
		 * operating system may have discarded it, and a later sync succeeds.
		 */
		@Test
		void discardsEntriesWhoseSyncFailed() {
			FailingSync disk = new FailingSync();
			List<Long> synced;
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder, disk)) {
				synced = terms(data);
				disk.fails = true;
				requireStorageFailure(() -> commit(data, entry(4, 7)), "failed sync");
				requireStorageFailure(data::recover, "recovery on a failed disk");
				disk.fails = false;
				data.recover();
				require(terms(data).equals(synced), "only the synced entries are kept, found " + terms(data));
				commit(data, entry(5, 7));
			}
			synced.add(5L);
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				require(terms(data).equals(synced), "the later entry follows the synced ones, found " + terms(data));
			}
		}

		/**
		 * Guards against a torn record whose pages contain zeros instead of its bytes.
		 */
		@Test
		void truncatesTornRecordOfZeros() throws IOException {
			Path log = DataFolderTests.this.folder.resolve("log");
			byte[] bytes = Files.readAllBytes(log);
			Arrays.fill(bytes, lastRecordOffset(bytes), bytes.length, (byte) 0);
			Files.write(log, bytes);
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				require(terms(data).equals(List.of(1L, 1L, 2L)), "terms are " + terms(data));
			}
		}

		/**
		 * Guards against synced entries that are dropped silently if any byte before the
		 * last record is corrupted.
		 */
		@Test
		void rejectsCorruptionBeforeLastRecord() throws IOException {
			Path log = DataFolderTests.this.folder.resolve("log");
			byte[] complete = Files.readAllBytes(log);
			for (int position = 0; position < lastRecordOffset(complete); position++) {
				byte[] corrupted = complete.clone();
				corrupted[position] ^= 0x10;
				Files.write(log, corrupted);
				requireStorageFailure(() -> new DataFolder(DataFolderTests.this.folder).close(),
						"byte " + position + " was corrupted");
			}
		}

		private static int lastRecordOffset(byte[] bytes) {
			int last = 0;
			for (int position = 0; position + 4 <= bytes.length; position++) {
				if (new String(bytes, position, 4, StandardCharsets.ISO_8859_1).equals("MLOG")) {
					last = position;
				}
			}
			return last;
		}

	}

	@Nested
	class Snapshots {

		/** Guards against a crash after the snapshot and before the log is written. */
		@Test
		void acceptsLogThatSnapshotCovers() {
			Path path = DataFolderTests.this.folder.resolve("snapshot");
			new SnapshotFile(path).write(new ConsensusSnapshot(4, 2, List.of(MEMBER), new byte[] { 8 }));
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				require(terms(data).equals(List.of(1L, 1L, 2L, 3L, 3L)), "terms are " + terms(data));
				require(data.storedState().snapshot().lastIndex() == 4, "the new snapshot must be used");
			}
		}

		/**
		 * Guards against conflicting entries of an earlier leader that remain after a
		 * crash between the installation of a snapshot and the replacement of the log.
		 */
		@Test
		void discardsLogThatConflictsWithSnapshot() {
			Path path = DataFolderTests.this.folder.resolve("snapshot");
			new SnapshotFile(path).write(new ConsensusSnapshot(5, 4, List.of(MEMBER), new byte[] { 8 }));
			for (int open = 0; open < 2; open++) {
				try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
					require(terms(data).isEmpty() && data.storedState().baseIndex() == 5, "terms are " + terms(data));
				}
			}
		}

		/** Guards against losing later entries when the log prefix is removed. */
		@Test
		void keepsEntriesAfterPrefixRemoval() {
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				data.saveSnapshot(new ConsensusSnapshot(4, 2, List.of(MEMBER), new byte[] { 8 }),
						new DurableLog.Content(3, 1, List.of(entry(2, 4), entry(3, 5))));
				commit(data, entry(3, 6));
			}
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				require(terms(data).equals(List.of(2L, 3L, 3L)), "terms are " + terms(data));
			}
		}

		/** Guards against a corrupted snapshot or a gap between snapshot and log. */
		@Test
		void rejectsCorruptedOrMissingSnapshot() throws IOException {
			Path path = DataFolderTests.this.folder.resolve("snapshot");
			byte[] bytes = Files.readAllBytes(path);
			bytes[bytes.length - 1] ^= 1;
			Files.write(path, bytes);
			requireStorageFailure(() -> new DataFolder(DataFolderTests.this.folder).close(), "corrupted snapshot");
			Files.delete(path);
			requireStorageFailure(() -> new DataFolder(DataFolderTests.this.folder).close(), "missing snapshot");
		}

	}

	@Nested
	class Identity {

		/** Guards against two processes that write to the same files. */
		@Test
		void rejectsSecondOpening() {
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				requireStorageFailure(() -> new DataFolder(DataFolderTests.this.folder).close(),
						"folder of " + data.incarnation() + " in use");
			}
		}

		/** Guards against a lost vote, log or incarnation that goes unnoticed. */
		@Test
		void rejectsMissingFiles() throws IOException {
			for (String file : List.of("vote", "log", "incarnation")) {
				Path path = DataFolderTests.this.folder.resolve(file);
				byte[] bytes = Files.readAllBytes(path);
				Files.delete(path);
				requireStorageFailure(() -> new DataFolder(DataFolderTests.this.folder).close(), "missing " + file);
				Files.write(path, bytes);
			}
		}

		/** Guards against a member that keeps its identity after losing its files. */
		@Test
		void changesIncarnationWithoutCluster() throws IOException {
			String before;
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				before = data.incarnation();
			}
			Files.delete(DataFolderTests.this.folder.resolve("cluster"));
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				require(!data.incarnation().equals(before), "the incarnation must be new");
				require(data.storedState().entries().isEmpty() && data.storedState().cluster().isEmpty(),
						"the folder must be empty");
			}
		}

	}

	/**
	 * Disk whose syncs can be made to fail.
	 */
	private static final class FailingSync implements Disk {

		private boolean fails;

		@Override
		public void write(FileChannel channel, ByteBuffer content) throws IOException {
			Disk.SYSTEM.write(channel, content);
		}

		@Override
		public void sync(FileChannel channel) throws IOException {
			if (this.fails) {
				throw new IOException("Input/output error");
			}
			Disk.SYSTEM.sync(channel);
		}

	}

}
