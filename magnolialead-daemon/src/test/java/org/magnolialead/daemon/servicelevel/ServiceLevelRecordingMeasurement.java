package org.magnolialead.daemon.servicelevel;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Outcome;
import org.magnolialead.api.Rank;
import org.magnolialead.daemon.control.WallClock;

/**
 * Measures the memory use of full recorders and the time per recorded request.
 */
public final class ServiceLevelRecordingMeasurement {

	private static final int RECORDERS = 40;

	private static final int REQUESTS = 5_000_000;

	private static final ServedRequest SERVED = new ServedRequest(Outcome.DONE, true, true, true);

	private ServiceLevelRecordingMeasurement() {
	}

	/**
	 * Runs the measurement.
	 * @param arguments not used
	 * @throws InterruptedException if interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		memory(8, 0);
		memory(0, 8);
		memory(4, 3);
		memory(ServiceLevelRecorder.MAXIMUM_PROFILES + 3, ServiceLevelRecorder.MAXIMUM_GROUPS);
		for (int threads : new int[] { 1, 1, 4 }) {
			time(threads);
		}
	}

	private static void memory(int profiles, int groups) {
		long before = usedMemory();
		List<ServiceLevelRecorder> recorders = new ArrayList<>();
		for (int index = 0; index < RECORDERS; index++) {
			recorders.add(full(profiles, groups));
		}
		long bytes = (usedMemory() - before) / recorders.size();
		System.out.printf("memory with %d profiles and %d groups over three days: %d KiB%n", profiles, groups,
				bytes / 1024);
	}

	private static ServiceLevelRecorder full(int profiles, int groups) {
		long[] now = { 1_700_000_000_000L };
		ServiceLevelRecorder recorder = new ServiceLevelRecorder("d", "i", () -> TimeUnit.MILLISECONDS.toNanos(now[0]),
				() -> now[0]);
		for (int slot = 0; slot < 3 * 24 * 360; slot++) {
			for (int profile = 0; profile < profiles; profile++) {
				recorder.requestAnswered("profile" + profile, Rank.values()[profile % 3], SERVED);
			}
			for (int group = 0; group < groups; group++) {
				recorder.ownedWriteAcknowledged("group" + group);
			}
			now[0] += 10_000;
		}
		return recorder;
	}

	private static long usedMemory() {
		for (int index = 0; index < 3; index++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private static void time(int threads) throws InterruptedException {
		ServiceLevelRecorder recorder = new ServiceLevelRecorder("d", "i", MonotonicClock.SYSTEM, WallClock.SYSTEM);
		List<Thread> workers = new ArrayList<>();
		long start = System.nanoTime();
		for (int index = 0; index < threads; index++) {
			Thread worker = new Thread(() -> record(recorder));
			workers.add(worker);
			worker.start();
		}
		for (Thread worker : workers) {
			worker.join();
		}
		System.out.printf("%d threads on one profile and group, half of the requests writes: %d ns per request%n",
				threads, (System.nanoTime() - start) / REQUESTS / 2);
	}

	private static void record(ServiceLevelRecorder recorder) {
		for (int index = 0; index < REQUESTS; index++) {
			recorder.requestAnswered("profile", Rank.STANDARD, new ServedRequest(Outcome.DONE, true, true, true));
			recorder.requestAnswered("profile", Rank.STANDARD, new ServedRequest(Outcome.DONE, true, false, false));
			recorder.writeAnswered("group", true);
		}
	}

}
