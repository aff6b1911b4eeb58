package org.magnolialead.daemon.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import org.magnolialead.api.command.ControlCommand;

/**
 * Measures commit throughput and latency with three members in one process, real files
 * and in-memory messages. The argument is the parent folder for the files.
 */
public final class CommandLogBenchmark {

	private static final int[] CLIENTS = { 1, 16, 256, 2_048 };

	private static final long SECOND_NANOSECONDS = 1_000_000_000L;

	private static final long WARM_UP_NANOSECONDS = 2 * SECOND_NANOSECONDS;

	private static final long DURATION_NANOSECONDS = 3 * SECOND_NANOSECONDS;

	private CommandLogBenchmark() {
	}

	/**
	 * Runs the benchmark.
	 * @param arguments the parent folder for the files
	 * @throws IOException if the folder cannot be created
	 */
	public static void main(String[] arguments) throws IOException {
		Path parent = Path.of(arguments[0]);
		Files.createDirectories(parent);
		try (CommandLogCluster cluster = new CommandLogCluster(Files.createTempDirectory(parent, "benchmark"),
				CommandLogSettings.DEFAULT_SNAPSHOT_THRESHOLD)) {
			cluster.initialize();
			DefaultCommandLog leader = cluster.log(cluster.leader());
			run(leader, CLIENTS[1], WARM_UP_NANOSECONDS);
			for (int clients : CLIENTS) {
				report(clients, run(leader, clients, DURATION_NANOSECONDS));
			}
		}
	}

	private static long[] run(DefaultCommandLog leader, int clients, long duration) {
		ConcurrentLinkedQueue<Long> latencies = new ConcurrentLinkedQueue<>();
		AtomicInteger running = new AtomicInteger(clients);
		long end = System.nanoTime() + duration;
		for (int client = 0; client < clients; client++) {
			submit(leader, end, latencies, running);
		}
		while (running.get() > 0) {
			Thread.onSpinWait();
		}
		List<Long> all = new ArrayList<>(latencies);
		return all.stream().mapToLong(Long::longValue).sorted().toArray();
	}

	private static void submit(DefaultCommandLog leader, long end, ConcurrentLinkedQueue<Long> latencies,
			AtomicInteger running) {
		long start = System.nanoTime();
		if (start - end >= 0) {
			running.decrementAndGet();
			return;
		}
		leader.submit(new ControlCommand.ForgetRequests(-start)).whenComplete((result, error) -> {
			if (error != null) {
				System.out.printf("command failed: %s%n", error);
				running.decrementAndGet();
				return;
			}
			latencies.add(System.nanoTime() - start);
			submit(leader, end, latencies, running);
		});
	}

	private static void report(int clients, long[] latencies) {
		System.out.printf("%d clients: %d commits/s, latency p50 %.2f ms, p99 %.2f ms, max %.2f ms%n", clients,
				latencies.length * SECOND_NANOSECONDS / DURATION_NANOSECONDS, percentileMilliseconds(latencies, 0.5),
				percentileMilliseconds(latencies, 0.99), Arrays.stream(latencies).max().orElse(0) / 1e6);
	}

	private static double percentileMilliseconds(long[] sorted, double quantile) {
		return sorted[(int) ((sorted.length - 1) * quantile)] / 1e6;
	}

}
