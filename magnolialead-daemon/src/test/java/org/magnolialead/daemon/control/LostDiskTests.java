package org.magnolialead.daemon.control;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnolialead.engine.consensus.FaultTolerance;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of clusters that lose as many disks as they must tolerate while all members stop.
 */
@Timeout(120)
class LostDiskTests {

	private static final int SNAPSHOT_THRESHOLD = 20;

	private static final List<String> NAMES = List.of("a", "b", "c", "d", "e", "f", "g", "h");

	@TempDir
	private Path folder;

	private CommandLogCluster cluster;

	@AfterEach
	void close() {
		this.cluster.close();
	}

	private void start(int voters, int losses, List<String> observers) {
		this.cluster = new CommandLogCluster(this.folder, SNAPSHOT_THRESHOLD, new FaultTolerance(losses),
				NAMES.subList(0, voters), observers);
		this.cluster.initialize();
	}

	private List<Long> add(int count) {
		List<Long> added = new ArrayList<>();
		for (long number = 1; number <= count; number++) {
			this.cluster.add(number);
			added.add(number);
		}
		return added;
	}

	private void restartAll(List<String> names, List<String> withoutDisk) {
		names.forEach(this.cluster::stop);
		withoutDisk.forEach(this.cluster::deleteDataFolder);
		names.forEach(this.cluster::start);
	}

	/**
	 * Guards against a cluster without a leader, or without an acknowledged change, after
	 * all members have stopped and as many as must be tolerated come back with empty
	 * folders.
	 */
	@ParameterizedTest
	@CsvSource({ "4, 1", "5, 2", "6, 2", "8, 2" })
	void clusterReturnsWithAllChangesAfterItsToleratedLosses(int voters, int losses) {
		start(voters, losses, List.of());
		List<Long> expected = add(30);
		String leader = this.cluster.leader();
		List<String> lost = new ArrayList<>(List.of(leader));
		NAMES.subList(0, voters).stream().filter((name) -> !name.equals(leader)).limit(losses - 1).forEach(lost::add);
		restartAll(NAMES.subList(0, voters), lost);
		this.cluster.add(31);
		expected.add(31L);
		this.cluster.awaitState(expected);
		this.cluster.await(this.cluster::hasCurrentVoters);
	}

	/**
	 * Guards against a member without a durable folder that counts for a majority: after
	 * a restart it would have forgotten what it confirmed.
	 */
	@Test
	void memberWithoutADurableFolderFollowsAndDoesNotVote() {
		List<String> all = List.of("a", "b", "c", "x", "y");
		start(3, 1, List.of("x", "y"));
		List<Long> expected = add(30);
		this.cluster.awaitState(expected);
		assertThat(this.cluster.log("x").voters()).containsExactlyInAnyOrder("a", "b", "c");
		assertThat(this.cluster.log("x").leaderAddress()).isPresent();
		restartAll(all, List.of("x", "y"));
		this.cluster.add(31);
		expected.add(31L);
		this.cluster.awaitState(expected);
		assertThat(this.cluster.log("y").voters()).containsExactlyInAnyOrder("a", "b", "c");
	}

}
