package org.magnolialead.daemon.control;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnolialead.api.RouteTable;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.engine.consensus.LogBudget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of control members that replicate many large commands on small disks.
 */
class LargeCommandTests {

	private static final List<String> MEMBERS = List.of("a", "b", "c");

	/** Too high to be reached, so that only the size of the commands counts. */
	private static final int SNAPSHOT_THRESHOLD = 1_000_000;

	private static final long DISK_BYTES = 16L * 1024 * 1024;

	private static final int COMMAND_BYTES = 120_000;

	private static final int COMMANDS = 400;

	@TempDir
	Path folder;

	private CommandLogCluster cluster;

	@AfterEach
	void close() {
		this.cluster.close();
	}

	/**
	 * Guards against hundreds of changes of a large configuration that fill the disks of
	 * all members, and against a restart that cannot hold the log.
	 */
	@Test
	void logStaysWithinTheDisk() {
		this.cluster = new CommandLogCluster(this.folder, SNAPSHOT_THRESHOLD,
				LogBudget.of(DISK_BYTES, Integer.MAX_VALUE));
		MEMBERS.forEach((name) -> this.cluster.disk(name).limit(this.folder.resolve(name), DISK_BYTES));
		this.cluster.initialize();
		Random random = new Random(1);
		for (long number = 1; number <= COMMANDS; number++) {
			this.cluster.add(command(number, random));
		}
		List<Long> expected = LongStream.rangeClosed(1, COMMANDS).boxed().toList();
		this.cluster.awaitState(expected);
		MEMBERS.forEach((name) -> assertThat(this.cluster.disk(name).maximumUsed()).as("bytes on the disk of " + name)
			.isBetween(1L, DISK_BYTES));
		MEMBERS.forEach(this.cluster::stop);
		MEMBERS.forEach(this.cluster::start);
		this.cluster.awaitState(expected);
	}

	private static ControlCommand command(long number, Random random) {
		StringBuilder document = new StringBuilder();
		while (document.length() < COMMAND_BYTES) {
			document.append(Long.toString(random.nextLong(), Character.MAX_RADIX));
		}
		return new ControlCommand.ReplaceRoutes(new RouteTable(number, Map.of(), Map.of(), 1, document.toString()));
	}

}
