package org.magnolialead.processtests;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Load through a simulated load balancer, which checks the readiness of each entry daemon
 * every 200 ms and removes a daemon that is not ready. Requests are not retried; each one
 * that is not done counts as a failure.
 */
final class BalancedLoad implements AutoCloseable {

	private static final int CLIENT_THREADS = 8;

	private static final long READINESS_CHECK_INTERVAL_MILLISECONDS = 200;

	private final TestFleet testFleet;

	private final List<String> readyAddresses = new CopyOnWriteArrayList<>();

	private final List<String> failures = new CopyOnWriteArrayList<>();

	private final AtomicInteger completedRequests = new AtomicInteger();

	private final AtomicBoolean running = new AtomicBoolean(true);

	private final List<Thread> threads = new ArrayList<>();

	BalancedLoad(TestFleet testFleet) {
		this.testFleet = testFleet;
	}

	void start() {
		this.testFleet.fleet()
			.entryNames()
			.forEach((name) -> this.readyAddresses.add(this.testFleet.fleet().httpAddress(name)));
		List<String> allAddresses = List.copyOf(this.readyAddresses);
		startThread(() -> checkReadiness(allAddresses), "balancer");
		for (int i = 0; i < CLIENT_THREADS; i++) {
			int threadNumber = i;
			startThread(() -> sendRequests(threadNumber), "caller-" + i);
		}
	}

	int completedRequests() {
		return this.completedRequests.get();
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

	private void checkReadiness(List<String> allAddresses) {
		while (this.running.get()) {
			for (String address : allAddresses) {
				boolean isReady = this.testFleet.client().statusCode(address, "/readiness") == 200;
				if (!isReady) {
					this.readyAddresses.remove(address);
				}
				else if (!this.readyAddresses.contains(address)) {
					this.readyAddresses.add(address);
				}
			}
			Sleep.forMilliseconds(READINESS_CHECK_INTERVAL_MILLISECONDS);
		}
	}

	private void sendRequests(int threadNumber) {
		for (int i = threadNumber; this.running.get(); i++) {
			List<String> addresses = List.copyOf(this.readyAddresses);
			String key = "balanced-%d-%d".formatted(threadNumber, i);
			Request request = switch (i % 3) {
				case 0 -> Request.put("scheduling", key, "value");
				case 1 -> Request.increment("confirmation", key).idempotencyKey(key);
				default -> Request.read("scheduling", "settled");
			};
			String address = addresses.get(i % addresses.size());
			try {
				Response response = this.testFleet.client().send(address, request.timeoutMilliseconds(8_000));
				if (response.isDone()) {
					this.completedRequests.incrementAndGet();
				}
				else {
					this.failures.add(address + " " + response);
				}
			}
			catch (CompletionException ex) {
				this.failures.add(address + " " + ex.getCause());
			}
			Sleep.forMilliseconds(5);
		}
	}

}
