package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The members of a service with a synchronous replica are replaced one after the other.
 * Between the promotion and the release of the new primary nobody writes.
 */
final class SecondReleaseCase extends Case {

	private static final int ROUNDS = 6;

	private static final int FIRST_WRITES = 20;

	private static final long RELEASE_GAP_MILLISECONDS = 1_000;

	/** A leaving member serves on for 7 s after its report and a little longer. */
	private static final long DRAIN_MILLISECONDS = 7_500;

	private static final int WRITERS = 3;

	private static final long WRITING_MILLISECONDS = 2_000;

	private static final long WRITE_PAUSE_MILLISECONDS = 25;

	private final List<String> acknowledged = Collections.synchronizedList(new ArrayList<>());

	@Override
	int synchronousReplicas() {
		return 1;
	}

	@Override
	boolean holds() throws Exception {
		boolean held = true;
		for (int round = 1; round <= ROUNDS && held; round++) {
			this.record.add("round %d", round);
			held = replacedWithoutLoss(round);
		}
		return held;
	}

	private boolean replacedWithoutLoss(int round) throws Exception {
		try (Wire client = connect(0)) {
			for (int number = 0; number < FIRST_WRITES; number++) {
				write(client);
			}
		}
		Database.Member first = this.database.primary();
		if (this.trouble) {
			startSuccessor(2 * round + 2);
			first.drain();
			awaitPromotion(first);
		}
		Thread.sleep(RELEASE_GAP_MILLISECONDS);
		CountDownLatch ordered = new CountDownLatch(1);
		this.platform.whenOrdered((member) -> ordered.countDown());
		Database.Member second = this.database.primary();
		if (this.trouble) {
			startSuccessor(2 * round + 3);
			second.drain();
			if (!ordered.await(10, TimeUnit.SECONDS)) {
				throw new Fleet.CannotRun("no promotion was ordered");
			}
		}
		List<Thread> writers = new ArrayList<>();
		for (int machine = 0; machine < WRITERS; machine++) {
			int target = machine;
			Thread writer = new Thread(() -> writeFor(target));
			writer.start();
			writers.add(writer);
		}
		for (Thread writer : writers) {
			writer.join();
		}
		boolean held = nothingLost();
		if (this.trouble) {
			Thread.sleep(DRAIN_MILLISECONDS);
			first.leave();
			second.leave();
		}
		return held;
	}

	private boolean nothingLost() throws Fleet.CannotRun {
		if (this.acknowledged.isEmpty()) {
			throw new Fleet.CannotRun("no commit was acknowledged");
		}
		List<Database.Entry> log = this.database.primary().log();
		List<String> lost = this.acknowledged.stream()
			.filter((identifier) -> log.stream().noneMatch((entry) -> entry.identifier().equals(identifier)))
			.toList();
		this.record.add("%d acknowledged commits, primary %s with log up to %s", this.acknowledged.size(),
				this.database.primary().identifier(), this.database.primary().position());
		lost.forEach((identifier) -> this.record.add("LOST: acknowledged commit of %s", identifier));
		return lost.isEmpty();
	}

	// The new member starts first, with the log of the primary.
	private void startSuccessor(int number) throws Exception {
		this.database.add("m-" + number, this.fleet, false, this.database.primary().log());
		Thread.sleep(RELEASE_GAP_MILLISECONDS);
	}

	private void awaitPromotion(Database.Member former) throws Exception {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (this.database.primary() == former) {
			if (System.nanoTime() - deadline > 0) {
				throw new Fleet.CannotRun("the first primary was not replaced");
			}
			Thread.sleep(20);
		}
	}

	private void writeFor(int machine) {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WRITING_MILLISECONDS);
		while (System.nanoTime() - deadline < 0) {
			try (Wire client = connect(machine)) {
				while (System.nanoTime() - deadline < 0 && write(client)) {
					Thread.sleep(WRITE_PAUSE_MILLISECONDS);
				}
			}
			catch (IOException | InterruptedException ex) {
				this.record.add("client of machine %d sees %s", machine + 1, ex);
			}
		}
	}

	private boolean write(Wire client) throws IOException {
		String identifier = newIdentifier();
		this.record.add("client sends %s: WRITE", identifier);
		List<String> answer = client.exchange("QUERY " + identifier + " WRITE visit-" + identifier + " done");
		this.record.add("client receives %s: %s", identifier, answer);
		boolean done = answer.get(0).startsWith("DONE mac.");
		if (done) {
			this.acknowledged.add(identifier);
		}
		return answer.get(answer.size() - 1).startsWith("READY I");
	}

}
