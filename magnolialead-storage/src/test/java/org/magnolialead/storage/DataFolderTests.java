package org.magnolialead.storage;

import java.io.IOException;
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

	private static void require(boolean holds, String message) {
		if (!holds) {
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
		throw new AssertionError(situation + ": not refused");
	}

	@Nested
	class Log {

		/** Guards against entries, votes or identities that a restart loses. */
		@Test
		void restoresEverythingAfterRestart() {
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				require(terms(data).equals(List.of(1L, 1L, 2L, 3L, 3L)), "terms are " + terms(data));
				require(data.storedState().vote().equals(new Vote(3, MEMBER)), "vote is " + data.storedState().vote());
				require(data.storedState().cluster().equals("cluster"), "cluster is " + data.storedState().cluster());
				require(data.storedState().snapshot().voters().equals(List.of(MEMBER)), "voters are kept");
			}
		}

		/** Guards against a replaced suffix that returns after a restart. */
		@Test
		void replacesConflictingSuffix() {
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				commit(data, entry(4, 4));
			}
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				require(terms(data).equals(List.of(1L, 1L, 4L)), "terms are " + terms(data));
			}
		}

		/** Guards against a replaced suffix inside one group commit. */
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
		 * Guards against a crash during a write that makes the log unreadable, at each
		 * length that the last record can have.
		 */
		@Test
		void removesTornTailAndContinues() throws IOException {
			Path log = DataFolderTests.this.folder.resolve("log");
			byte[] complete = Files.readAllBytes(log);
			int start = lastRecord(complete);
			for (int length = start; length < complete.length; length++) {
				Files.write(log, Arrays.copyOf(complete, length));
				try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
					require(terms(data).equals(List.of(1L, 1L, 2L)),
							"terms at length " + length + " are " + terms(data));
					commit(data, entry(4, 5));
				}
				try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
					require(terms(data).equals(List.of(1L, 1L, 2L, 4L)), "terms after a torn tail are " + terms(data));
				}
			}
		}

		/** Guards against pages of a torn record that hold zeros. */
		@Test
		void removesTornTailOfZeros() throws IOException {
			Path log = DataFolderTests.this.folder.resolve("log");
			byte[] bytes = Files.readAllBytes(log);
			Arrays.fill(bytes, lastRecord(bytes), bytes.length, (byte) 0);
			Files.write(log, bytes);
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				require(terms(data).equals(List.of(1L, 1L, 2L)), "terms are " + terms(data));
			}
		}

		/** Guards against synced entries that are dropped silently, for each byte. */
		@Test
		void refusesCorruptionInTheMiddle() throws IOException {
			Path log = DataFolderTests.this.folder.resolve("log");
			byte[] complete = Files.readAllBytes(log);
			for (int position = 0; position < lastRecord(complete); position++) {
				byte[] damaged = complete.clone();
				damaged[position] ^= 0x10;
				Files.write(log, damaged);
				requireStorageFailure(() -> new DataFolder(DataFolderTests.this.folder).close(),
						"byte " + position + " was damaged");
			}
		}

		private static int lastRecord(byte[] bytes) {
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

		/** Guards against a crash after the snapshot is written and before the log is. */
		@Test
		void acceptsLogThatSnapshotCovers() {
			Path path = DataFolderTests.this.folder.resolve("snapshot");
			new SnapshotFile(path).write(new ConsensusSnapshot(4, 2, List.of(MEMBER), new byte[] { 8 }));
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				require(terms(data).equals(List.of(1L, 1L, 2L, 3L, 3L)), "terms are " + terms(data));
				require(data.storedState().snapshot().lastIndex() == 4, "the new snapshot is used");
			}
		}

		/**
		 * Guards against entries of an earlier leader that stay after a crash between the
		 * installation of a snapshot and the replacement of the log.
		 */
		@Test
		void removesLogThatContradictsSnapshot() {
			Path path = DataFolderTests.this.folder.resolve("snapshot");
			new SnapshotFile(path).write(new ConsensusSnapshot(5, 4, List.of(MEMBER), new byte[] { 8 }));
			for (int open = 0; open < 2; open++) {
				try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
					require(terms(data).isEmpty() && data.storedState().baseIndex() == 5, "terms are " + terms(data));
				}
			}
		}

		/** Guards against a prefix removal that loses later entries. */
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

		/** Guards against a damaged snapshot or a gap between snapshot and log. */
		@Test
		void refusesDamagedOrMissingSnapshot() throws IOException {
			Path path = DataFolderTests.this.folder.resolve("snapshot");
			byte[] bytes = Files.readAllBytes(path);
			bytes[bytes.length - 1] ^= 1;
			Files.write(path, bytes);
			requireStorageFailure(() -> new DataFolder(DataFolderTests.this.folder).close(), "damaged snapshot");
			Files.delete(path);
			requireStorageFailure(() -> new DataFolder(DataFolderTests.this.folder).close(), "missing snapshot");
		}

	}

	@Nested
	class Identity {

		/** Guards against two processes that write the same files. */
		@Test
		void refusesSecondOpening() {
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				requireStorageFailure(() -> new DataFolder(DataFolderTests.this.folder).close(),
						"folder of " + data.incarnation() + " in use");
			}
		}

		/** Guards against a lost vote or log that goes unnoticed. */
		@Test
		void refusesMissingFiles() throws IOException {
			for (String file : List.of("vote", "log", "incarnation")) {
				Path path = DataFolderTests.this.folder.resolve(file);
				byte[] bytes = Files.readAllBytes(path);
				Files.delete(path);
				requireStorageFailure(() -> new DataFolder(DataFolderTests.this.folder).close(), "missing " + file);
				Files.write(path, bytes);
			}
		}

		/** Guards against a member that lost its files and keeps its identity. */
		@Test
		void changesIncarnationWithoutCluster() throws IOException {
			String before;
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				before = data.incarnation();
			}
			Files.delete(DataFolderTests.this.folder.resolve("cluster"));
			try (DataFolder data = new DataFolder(DataFolderTests.this.folder)) {
				require(!data.incarnation().equals(before), "the incarnation is new");
				require(data.storedState().entries().isEmpty() && data.storedState().cluster().isEmpty(), "the folder is empty");
			}
		}

	}

}
