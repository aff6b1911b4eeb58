package org.magnolialead.daemon.control;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of fleets whose seeds start the cluster together.
 */
@Timeout(120)
class FirstStartTests {

	@TempDir
	private Path folder;

	private CommandLogCluster cluster;

	@AfterEach
	void close() {
		this.cluster.close();
	}

	private void start(List<String> voters, List<String> observers) {
		this.cluster = CommandLogCluster.startingTogether(this.folder, voters, observers);
	}

	/**
	 * Guards against a fleet that never forms a cluster because one seed is lost at its
	 * first start, and against a seed that is another member after a restart. The seed
	 * returns with an empty folder.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "a", "b", "c" })
	void fleetStartsWithoutOneSeed(String lost) {
		List<String> others = new ArrayList<>(List.of("a", "b", "c", "d"));
		others.remove(lost);
		start(others, List.of());
		this.cluster.add(1);
		this.cluster.awaitState(List.of(1L));
		this.cluster.endFirstStart();
		others.forEach(this.cluster::stop);
		others.forEach(this.cluster::start);
		this.cluster.add(2);
		this.cluster.startAnother(lost);
		this.cluster.awaitState(List.of(1L, 2L));
		this.cluster.await(this.cluster::hasCurrentVoters);
	}

	/**
	 * Guards against a fleet that never starts because only one of its seeds has a disk.
	 */
	@Test
	void onlySeedWithADiskStartsTheCluster() {
		start(List.of("b", "d"), List.of("a", "c"));
		this.cluster.add(1);
		this.cluster.awaitState(List.of(1L));
		this.cluster.await(this.cluster::hasCurrentVoters);
		assertThat(this.cluster.log("a").voters()).containsExactlyInAnyOrder("b:1", "d");
	}

}
