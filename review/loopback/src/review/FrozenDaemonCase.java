package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Each entry daemon in turn is stopped while the primary is replaced, and continued.
 * Clients of the daemon then read at once.
 */
final class FrozenDaemonCase extends Case {

	private static final int ROUNDS = 6;

	private static final long FROZEN_MILLISECONDS = 6_000;

	private static final int READERS = 4;

	private volatile String lastCommit;

	private volatile boolean ended;

	@Override
	boolean holds() throws Exception {
		for (int round = 0; round < ROUNDS; round++) {
			int frozen = round % MACHINES;
			List<Wire> readers = new ArrayList<>();
			for (int number = 0; number < READERS; number++) {
				readers.add(connect(frozen));
			}
			Thread writer = writer((frozen + 1) % MACHINES);
			Thread.sleep(500);
			Database.Member former = this.database.primary();
			if (this.trouble) {
				signal("STOP", this.fleet.entry(frozen));
				Database.Member successor = this.database.add("m-" + (4 + round), this.fleet, false, former.log());
				Thread.sleep(300);
				former.drain();
				Thread.sleep(FROZEN_MILLISECONDS);
				this.record.add("primary %s, before %s; new member %s", this.database.primary().identifier(),
						former.identifier(), successor.identifier());
				signal("CONT", this.fleet.entry(frozen));
			}
			int done = 0;
			for (int turn = 0; turn < 20; turn++) {
				for (Wire reader : readers) {
					done += read(reader) ? 1 : 0;
				}
			}
			this.record.add("round %d, machine %d: %d reads served", round + 1, frozen + 1, done);
			this.ended = true;
			writer.join();
			this.ended = false;
			for (Wire reader : readers) {
				reader.close();
			}
			if (this.trouble && this.database.primary() != former) {
				former.leave();
			}
		}
		return this.database.staleReads().isEmpty();
	}

	private void signal(String name, Process process) throws Exception {
		new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
		this.record.add("signal %s to process %d", name, process.pid());
	}

	private boolean read(Wire reader) throws IOException {
		String identifier = newIdentifier();
		this.database.require(identifier, this.lastCommit);
		List<String> answer = reader.exchange("QUERY " + identifier + " READ item");
		return answer.toString().contains("DONE mac.");
	}

	private Thread writer(int machine) throws InterruptedException {
		this.lastCommit = null;
		Thread writer = new Thread(() -> {
			while (!this.ended) {
				try (Wire client = connect(machine)) {
					boolean usable = true;
					while (!this.ended && usable) {
						String identifier = newIdentifier();
						List<String> answer = client.exchange("QUERY " + identifier + " WRITE visit done");
						if (answer.toString().contains("DONE mac.")) {
							this.lastCommit = identifier;
						}
						usable = answer.get(answer.size() - 1).startsWith("READY I");
						Thread.sleep(20);
					}
				}
				catch (IOException | InterruptedException ex) {
					this.record.add("writer sees %s", ex);
				}
			}
		});
		writer.start();
		while (this.lastCommit == null) {
			Thread.sleep(10);
		}
		return writer;
	}

}
