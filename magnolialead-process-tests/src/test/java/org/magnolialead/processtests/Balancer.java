package org.magnolialead.processtests;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Load through a balancer that asks each entry daemon for its readiness every 200 ms and
 * stops using one that is not ready. Each request must be done; none is sent again.
 */
final class Balancer implements AutoCloseable {

	private static final int CALLERS = 8;

	private static final long CHECK_MILLISECONDS = 200;

	private final TestFleet test;

	private final List<String> ready = new CopyOnWriteArrayList<>();

	private final List<String> failures = new CopyOnWriteArrayList<>();

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicBoolean running = new AtomicBoolean(true);

	private final List<Thread> threads = new ArrayList<>();

	Balancer(TestFleet test) {
		this.test = test;
	}

	void start() {
		this.test.fleet().entryNames().forEach((name) -> this.ready.add(this.test.fleet().httpAddress(name)));
		List<String> all = List.copyOf(this.ready);
		startThread(() -> check(all), "balancer");
		for (int i = 0; i < CALLERS; i++) {
			int number = i;
			startThread(() -> call(number), "caller-" + i);
		}
	}

	int answered() {
		return this.answered.get();
	}

	List<String> failures() {
		return List.copyOf(this.failures);
	}

	void stop() {
		this.running.set(false);
		for (Thread thread : this.threads) {
			try {
				thread.join();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	@Override
	public void close() {
		stop();
	}

	private void startThread(Runnable task, String name) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		thread.start();
		this.threads.add(thread);
	}

	private void check(List<String> all) {
		while (this.running.get()) {
			for (String address : all) {
				boolean isReady = this.test.caller().status(address, "/readiness") == 200;
				if (!isReady) {
					this.ready.remove(address);
				}
				else if (!this.ready.contains(address)) {
					this.ready.add(address);
				}
			}
			Pause.milliseconds(CHECK_MILLISECONDS);
		}
	}

	private void call(int number) {
		for (int i = number; this.running.get(); i++) {
			List<String> addresses = List.copyOf(this.ready);
			String key = "balanced-%d-%d".formatted(number, i);
			Call call = switch (i % 3) {
				case 0 -> Call.put("scheduling", key, "value");
				case 1 -> Call.increment("confirmation", key).idempotencyKey(key);
				default -> Call.read("scheduling", "settled");
			};
			String address = addresses.get(i % addresses.size());
			try {
				Answer answer = this.test.caller().send(address, call.timeoutMilliseconds(8_000));
				if (answer.isDone()) {
					this.answered.incrementAndGet();
				}
				else {
					this.failures.add(address + " " + answer);
				}
			}
			catch (CompletionException ex) {
				this.failures.add(address + " " + ex.getCause());
			}
			Pause.milliseconds(5);
		}
	}

}
