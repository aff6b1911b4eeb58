package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Two members of a service with a synchronous replica are replaced one after the other
 * under load. The first order to the platform gets no answer and is carried out late.
 */
final class LateOrderCase extends Case {

	private static final int ROUNDS = 5;

	private static final int WRITERS = 12;

	private static final long WRITE_PAUSE_MILLISECONDS = 10;

	private static final long RELEASE_GAP_MILLISECONDS = 1_000;

	private static final long LATE_MILLISECONDS = 8_000;

	private static final long DRAIN_MILLISECONDS = 10_000;

	private final List<String> acknowledged = Collections.synchronizedList(new ArrayList<>());

	private volatile boolean ended;

	@Override
	int synchronousReplicas() {
		return 1;
	}

	@Override
	boolean holds() throws Exception {
		List<Thread> writers = new ArrayList<>();
		for (int number = 0; number < WRITERS; number++) {
			int machine = number % MACHINES;
			Thread writer = new Thread(() -> work(machine));
			writer.start();
			writers.add(writer);
		}
		boolean held = true;
		for (int round = 1; round <= ROUNDS && held; round++) {
			this.record.add("round %d", round);
			held = replacedWithoutLoss(round);
		}
		this.ended = true;
		for (Thread writer : writers) {
			writer.join();
		}
		return held;
	}

	private boolean replacedWithoutLoss(int round) throws Exception {
		Thread.sleep(1_000);
		Database.Member first = this.database.primary();
		startSuccessor(2 * round + 2);
		if (this.trouble) {
			this.platform.carryOutNextOrderAfter(LATE_MILLISECONDS);
		}
		first.drain();
		awaitPromotion(first);
		Thread.sleep(RELEASE_GAP_MILLISECONDS);
		Database.Member second = this.database.primary();
		startSuccessor(2 * round + 3);
		second.drain();
		awaitPromotion(second);
		Thread.sleep(DRAIN_MILLISECONDS);
		boolean held = nothingLost();
		if (first != this.database.primary()) {
			first.leave();
		}
		if (second != this.database.primary()) {
			second.leave();
		}
		return held;
	}

	private boolean nothingLost() throws Fleet.CannotRun {
		if (this.acknowledged.isEmpty()) {
			throw new Fleet.CannotRun("no commit was acknowledged");
		}
		List<String> checked = List.copyOf(this.acknowledged);
		List<Database.Entry> log = this.database.primary().log();
		List<String> lost = checked.stream()
			.filter((identifier) -> log.stream().noneMatch((entry) -> entry.identifier().equals(identifier)))
			.toList();
		this.record.add("%d acknowledged commits, primary %s with log up to %s", checked.size(),
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
				throw new Fleet.CannotRun("the primary was not replaced");
			}
			Thread.sleep(20);
		}
	}

	private void work(int machine) {
		while (!this.ended) {
			try (Wire client = connect(machine)) {
				boolean usable = true;
				while (!this.ended && usable) {
					String identifier = newIdentifier();
					List<String> answer = client
						.exchange("QUERY " + identifier + " WRITE visit-" + identifier + " done");
					this.record.add("client receives %s: %s", identifier, answer);
					if (answer.get(0).startsWith("DONE mac.")) {
						this.acknowledged.add(identifier);
					}
					usable = answer.get(answer.size() - 1).startsWith("READY I");
					Thread.sleep(WRITE_PAUSE_MILLISECONDS);
				}
			}
			catch (IOException | InterruptedException ex) {
				this.record.add("client of machine %d sees %s", machine + 1, ex);
			}
		}
	}

}
