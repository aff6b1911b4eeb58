package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The primary loses a part of its answers for some seconds, five times. Then a control
 * daemon loses its disk right after a configuration was acknowledged, as at the end of
 * some days.
 */
final class LostAnswersCase extends Case {

	private static final int CLIENTS = 48;

	private static final long CLIENT_PAUSE_MILLISECONDS = 60;

	private static final double LOST_SHARE = 0.2;

	private static final long LOSS_MILLISECONDS = 4_000;

	/** Number of times that answers are lost. */
	private static final int LOSSES = 5;

	private static final long LOSS_GAP_MILLISECONDS = 1_000;

	private static final long BEFORE_MILLISECONDS = 8_000;

	private static final long RECOVER_MILLISECONDS = 12_000;

	private static final long MEASURED_MILLISECONDS = 10_000;

	private final AtomicLong sent = new AtomicLong();

	private final AtomicLong served = new AtomicLong();

	private volatile boolean ended;

	@Override
	boolean holds() throws Exception {
		List<Thread> clients = new ArrayList<>();
		for (int number = 0; number < CLIENTS; number++) {
			int machine = number % MACHINES;
			boolean writes = number % 4 == 3;
			Thread client = new Thread(() -> work(machine, writes));
			client.start();
			clients.add(client);
		}
		Thread.sleep(BEFORE_MILLISECONDS);
		for (int loss = 0; loss < LOSSES; loss++) {
			if (this.trouble) {
				this.record.add("the primary loses %.0f%% of its answers for %d ms", LOST_SHARE * 100,
						LOSS_MILLISECONDS);
				this.database.loseAnswersOfPrimary(LOST_SHARE);
			}
			Thread.sleep(LOSS_MILLISECONDS);
			this.database.loseAnswersOfPrimary(0);
			Thread.sleep(LOSS_GAP_MILLISECONDS);
		}
		double before = share("before the final fault");
		if (!this.fleet.control("/Config.Put", configuration(FIRST_VERSION + 1), 5)) {
			throw new Fleet.CannotRun("no control daemon has accepted the second configuration");
		}
		this.record.add("configuration %d acknowledged", FIRST_VERSION + 1);
		this.fleet.loseDisk(2);
		Thread.sleep(RECOVER_MILLISECONDS);
		this.sent.set(0);
		this.served.set(0);
		Thread.sleep(MEASURED_MILLISECONDS);
		double after = share("later than 12 s after the machines were back");
		this.ended = true;
		for (Thread client : clients) {
			client.join();
		}
		return before < 0.25 || after >= 0.25;
	}

	private double share(String when) {
		double share = (double) this.served.get() / Math.max(1, this.sent.get());
		this.record.add("%s, %d of %d requests were served (%.2f)", when, this.served.get(), this.sent.get(), share);
		return share;
	}

	private void work(int machine, boolean writes) {
		while (!this.ended) {
			try (Wire client = connect(machine)) {
				while (!this.ended) {
					String identifier = newIdentifier();
					this.sent.incrementAndGet();
					List<String> answer = client.exchange(
							"QUERY " + identifier + (writes ? " WRITE visit-" + identifier + " done" : " READ item"));
					boolean done = answer.toString().contains("DONE mac.");
					this.served.addAndGet(done ? 1 : 0);
					if (!done) {
						this.record.add("client of machine %d receives %s: %s", machine + 1, identifier, answer);
					}
					Thread.sleep(CLIENT_PAUSE_MILLISECONDS);
					if (!answer.get(answer.size() - 1).startsWith("READY I")) {
						break;
					}
				}
			}
			catch (IOException | InterruptedException ex) {
				this.record.add("client of machine %d sees %s", machine + 1, ex);
			}
		}
	}

}
