package org.magnolialead.daemon.control;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.command.ControlCommand;

/**
 * Tests of {@link DefaultCommandLog} with three members and real files.
 */
class DefaultCommandLogTests {

	/** Low enough that restarted members need a snapshot. */
	private static final int SNAPSHOT_THRESHOLD = 20;

	@TempDir
	Path folder;

	private CommandLogCluster cluster;

	private final List<Long> expected = new ArrayList<>();

	@BeforeEach
	void initialize() {
		this.cluster = new CommandLogCluster(this.folder, SNAPSHOT_THRESHOLD);
		this.cluster.initialize();
	}

	@AfterEach
	void close() {
		this.cluster.close();
	}

	/** Guards against members whose states diverge. */
	@Test
	void appliesCommandsOnAllMembers() {
		add(50);
		this.cluster.awaitState(this.expected);
		require(this.cluster.log("b").voters().size() == 3, "all members are voters");
	}

	/** Guards against initializing a second cluster in a data folder. */
	@Test
	void rejectsSecondInitialization() {
		for (String name : List.of("a", "b", "c")) {
			require(!this.cluster.log(name).initialize().accepted(), name + " rejects the initialization");
		}
	}

	/** Guards against a follower that accepts a command and drops it. */
	@Test
	void rejectsCommandsAtFollower() {
		try {
			this.cluster.log(this.cluster.follower()).submit(new ControlCommand.ForgetRequests(1)).join();
		}
		catch (CompletionException ex) {
			require(ex.getCause() instanceof MagnolialeadException cause && cause.code() == ErrorCode.NOT_LEADER,
					"rejected with " + ex.getCause());
			return;
		}
		throw new AssertionError("the follower accepted a command");
	}

	/**
	 * Guards against a restarted member that misses changes or loses changes it had
	 * stored.
	 */
	@Test
	void catchesUpAfterRestart() {
		add(10);
		String follower = this.cluster.follower();
		this.cluster.stop(follower);
		add(100);
		this.cluster.start(follower);
		this.cluster.awaitState(this.expected);
	}

	/**
	 * Guards against a leader that stops answering while it encodes a large snapshot, and
	 * against log entries that are removed before the snapshot that covers them is
	 * synced.
	 */
	@Test
	void heartbeatsAndCommitsContinueWhileSnapshotsAreEncoded() {
		this.cluster.blockEncoding();
		add(5 * SNAPSHOT_THRESHOLD);
		this.cluster.awaitState(this.expected);
		this.cluster.releaseEncoding();
		add(5 * SNAPSHOT_THRESHOLD);
		List<String> names = List.of("a", "b", "c");
		names.forEach(this.cluster::stop);
		names.forEach(this.cluster::start);
		this.cluster.awaitState(this.expected);
	}

	/** Guards against committed commands that are lost with the leader. */
	@Test
	void continuesAfterLossOfLeader() {
		add(30);
		String leader = this.cluster.leader();
		this.cluster.stop(leader);
		add(30);
		this.cluster.start(leader);
		add(1);
		this.cluster.awaitState(this.expected);
	}

	/** Guards against state that is kept only in memory. */
	@Test
	void keepsStateWhenAllMembersRestart() {
		add(30);
		this.cluster.awaitState(this.expected);
		List<String> names = List.of("a", "b", "c");
		names.forEach(this.cluster::stop);
		names.forEach(this.cluster::start);
		add(5);
		this.cluster.awaitState(this.expected);
	}

	/**
	 * Guards against a replaced member that is not counted as a voter, which shows when
	 * another member is lost immediately after the replacement. Each member loses its
	 * disk once.
	 */
	@Test
	void survivesLossOfAnotherMemberAfterReplacement() {
		for (String replaced : List.of("a", "b", "c")) {
			add(30);
			this.cluster.stop(replaced);
			this.cluster.deleteDataFolder(replaced);
			add(30);
			this.cluster.start(replaced);
			this.cluster.await(this.cluster::hasCurrentVoters);
			String lost = replaced.equals("a") ? "b" : "a";
			this.cluster.stop(lost);
			add(30);
			this.cluster.start(lost);
			add(1);
			this.cluster.awaitState(this.expected);
		}
	}

	/** Guards against commands that never complete when the log is closed. */
	@Test
	void completesPendingCommandsOnClose() {
		String leader = this.cluster.leader();
		DefaultCommandLog log = this.cluster.log(leader);
		var results = new ArrayList<CompletableFuture<?>>();
		for (int count = 0; count < 100; count++) {
			results.add(log.submit(new ControlCommand.ForgetRequests(-1)));
		}
		this.cluster.stop(leader);
		results.add(log.submit(new ControlCommand.ForgetRequests(-1)));
		for (var result : results) {
			result.handle((value, error) -> error).join();
		}
		require(!log.hasAuthority(), "a closed log has no authority");
	}

	private void add(int count) {
		for (int number = 0; number < count; number++) {
			long next = this.expected.size() + 1;
			this.cluster.add(next);
			this.expected.add(next);
		}
	}

	private static void require(boolean holds, String message) {
		if (!holds) {
			throw new AssertionError(message);
		}
	}

}
