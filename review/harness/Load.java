import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Sessions of clients that read and write at a steady rate. */
final class Load {

	/** A kind of request: its database, the share of writes and that of transactions that read. */
	record Kind(String database, double weight, double writes, double transactions) {
	}

	final AtomicInteger served = new AtomicInteger();

	final AtomicInteger notServed = new AtomicInteger();

	private final List<Thread> threads = new ArrayList<>();

	private volatile boolean stopped;

	Load(List<String> fronts, List<Kind> kinds, int sessions, double perSecond) {
		for (int index = 0; index < sessions; index++) {
			int number = index;
			Thread thread = new Thread(null, () -> session(fronts, kinds, number, 1_000 * sessions / perSecond),
					"client-" + index, 256 * 1024);
			thread.setDaemon(true);
			this.threads.add(thread);
		}
	}

	void start() {
		this.threads.forEach(Thread::start);
	}

	void stop() throws InterruptedException {
		this.stopped = true;
		for (Thread thread : this.threads) {
			thread.join(3_000);
		}
	}

	private void session(List<String> fronts, List<Kind> kinds, int number, double meanPause) {
		Random random = new Random(number);
		int front = number;
		double total = kinds.stream().mapToDouble(Kind::weight).sum();
		while (!this.stopped) {
			double drawn = random.nextDouble() * total;
			int chosen = 0;
			while (chosen < kinds.size() - 1 && drawn >= kinds.get(chosen).weight()) {
				drawn -= kinds.get(chosen).weight();
				chosen++;
			}
			Kind kind = kinds.get(chosen);
			try (Client client = new Client(fronts.get(Math.floorMod(front, fronts.size())), kind.database())) {
				while (!this.stopped) {
					Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * meanPause));
					if (!operation(client, kind, random)) {
						break;
					}
				}
			}
			catch (IOException ex) {
				front++;
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	/** A transaction of 2 to 5 reads with pauses between them. */
	private boolean transaction(Client client, Random random) throws InterruptedException {
		Client.Reply reply = client.query(Client.newIdentifier(), "BEGIN READ");
		for (int count = 2 + random.nextInt(4); count > 0 && reply.state().equals("T"); count--) {
			reply = client.query(Client.newIdentifier(), "READ " + random.nextInt(2000));
			Thread.sleep(50 + random.nextInt(150));
		}
		if (reply.state().equals("T")) {
			reply = client.query(Client.newIdentifier(), "COMMIT");
		}
		(reply.isDone() ? this.served : this.notServed).incrementAndGet();
		return reply.state().equals("I");
	}

	private boolean operation(Client client, Kind kind, Random random) throws InterruptedException {
		if (random.nextDouble() < kind.transactions()) {
			return transaction(client, random);
		}
		String identifier = Client.newIdentifier();
		boolean write = random.nextDouble() < kind.writes();
		String text = write ? "WRITE " + random.nextInt(2000) + " " + identifier : "READ " + random.nextInt(2000);
		Client.Reply reply = client.query(identifier, text);
		(reply.isDone() ? this.served : this.notServed).incrementAndGet();
		if (write || !reply.isDone()) {
			Record.line("%s QUERY %s %s -> %s %s", client.name, identifier, text, reply.code(), reply.detail());
		}
		return reply.state().equals("I");
	}

}
