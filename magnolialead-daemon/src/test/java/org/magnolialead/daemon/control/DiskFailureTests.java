package org.magnolialead.daemon.control;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnolialead.api.MagnolialeadException;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of control members whose disk fails for a while.
 */
class DiskFailureTests {

	private static final List<String> MEMBERS = List.of("a", "b", "c");

	/** Low enough that snapshots are written during the failures. */
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

	/**
	 * Guards against a control daemon that never takes part again after its disk has
	 * refused one write, until no majority is left.
	 * @param fault the way in which the disks fail
	 */
	@ParameterizedTest
	@EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
	void membersWhoseDisksFailInTurnTakePartAgain(FailingDisk.Fault fault) {
		for (int round = 0; round < MEMBERS.size(); round++) {
			String leader = this.cluster.leader();
			this.cluster.disk(leader).fail(fault);
			add(30);
			this.cluster.awaitFailure(leader);
			this.cluster.disk(leader).fail(FailingDisk.Fault.NONE);
			this.cluster.awaitRecovery(leader);
			add(5);
			this.cluster.awaitState(this.expected);
		}
	}

	/**
	 * Guards against a majority that is lost for good when the disks of all members are
	 * full at the same time.
	 */
	@Test
	void clusterWhoseDisksWereAllFullContinues() {
		add(10);
		MEMBERS.forEach((name) -> this.cluster.disk(name).fail(FailingDisk.Fault.FULL));
		String leader = this.cluster.leader();
		// Its outcome is unknown: a member may store it once its disk works again. The
		// state machine ignores the number, so that the expected state is certain.
		assertThat(this.cluster.log(leader).submit(CommandLogCluster.command(-1)))
			.failsWithin(CommandLogCluster.TIMEOUT)
			.withThrowableThat()
			.withCauseInstanceOf(MagnolialeadException.class);
		MEMBERS.forEach((name) -> this.cluster.disk(name).fail(FailingDisk.Fault.NONE));
		MEMBERS.forEach(this.cluster::awaitRecovery);
		add(10);
		MEMBERS.forEach(this.cluster::stop);
		MEMBERS.forEach(this.cluster::start);
		this.cluster.awaitState(this.expected);
	}

	/**
	 * Guards against a member that shows an older state after it has read its files
	 * again.
	 */
	@Test
	void appliedStateIsKeptDuringTheFailure() {
		add(SNAPSHOT_THRESHOLD / 2);
		this.cluster.awaitState(this.expected);
		String follower = this.cluster.follower();
		this.cluster.disk(follower).fail(FailingDisk.Fault.FULL);
		add(5);
		this.cluster.disk(follower).fail(FailingDisk.Fault.NONE);
		while (this.cluster.log(follower).failure().isPresent()) {
			assertThat(this.cluster.state(follower)).hasSizeGreaterThanOrEqualTo(SNAPSHOT_THRESHOLD / 2);
		}
		this.cluster.awaitState(this.expected);
	}

	private void add(int count) {
		for (int number = 0; number < count; number++) {
			long next = this.expected.size() + 1;
			this.cluster.add(next);
			this.expected.add(next);
		}
	}

}
