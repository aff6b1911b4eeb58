import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Once on each connection, the answer to a read is cut off after its first row and sent a
 * second time, whole. Counts the successes that clients get with other rows than sent.
 */
final class CutAnswer {

	private static final int SESSIONS_PER_ENTRY = 4;

	private static volatile boolean finished;

	private CutAnswer() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		try (Recorder recorder = new Recorder(Path.of(arguments[1]))) {
			try {
				status = run(Path.of(arguments[0]), recorder, trouble);
			}
			catch (Exception | Error ex) {
				recorder.add("could not run: %s", ex);
			}
			recorder.add("exit %d", status);
		}
		System.exit(status);
	}

	private static int run(Path repository, Recorder recorder, boolean trouble) throws Exception {
		try (Database database = new Database("records", 18, 2, recorder)) {
			String platform = database.startPlatform("127.0.0.1");
			try (Fleet fleet = new Fleet(repository, recorder, Fleet.CONTROLS, platform, 6)) {
				database.controls = fleet.controlAddresses();
				for (int number = 1; number <= 3; number++) {
					database.add("i-" + number, fleet.network + (100 + number), "zone").start();
				}
				database.startReplication();
				fleet.configure("""
						{"version":1,"routes":[{"name":"r-1","host":"stock","pathPrefix":"/","type":"bounded_staleness",\
						"timeoutMs":1200,"sloMs":600,"priority":2,"service":"records","attempts":2,"maxStalenessMs":1500}],\
						"services":[{"name":"records","healthPath":"/healthz","maxConns":18,"protocol":"h1","tls":false,\
						"syncReplicas":0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,\
						"idleTimeoutMs":15000,"txIdleMs":3000}}""");
				fleet.awaitReady(fleet.entries);
				Database.sleep(3_000);
				return play(database, fleet, recorder, trouble);
			}
		}
	}

	private static int play(Database database, Fleet fleet, Recorder recorder, boolean trouble) {
		AtomicLong done = new AtomicLong();
		AtomicLong wrong = new AtomicLong();
		AtomicInteger identifiers = new AtomicInteger();
		for (Fleet.Daemon entry : fleet.entries) {
			for (int number = 0; number < SESSIONS_PER_ENTRY; number++) {
				Thread thread = new Thread(() -> session(fleet, entry, recorder, identifiers, done, wrong));
				thread.setDaemon(true);
				thread.start();
			}
		}
		Database.sleep(3_000);
		database.cuts = trouble;
		Database.sleep(6_000);
		database.cuts = false;
		finished = true;
		Database.sleep(1_500);
		recorder.add("%d reads done, %d of them with other rows than the member sent", done.get(), wrong.get());
		if (done.get() == 0) {
			return 2;
		}
		return (wrong.get() > 0) ? 1 : 0;
	}

	private static void session(Fleet fleet, Fleet.Daemon entry, Recorder recorder, AtomicInteger identifiers,
			AtomicLong done, AtomicLong wrong) {
		while (!finished) {
			try (Wire wire = Wire.connect(entry.host, fleet.clientPort, 5_000)) {
				wire.send("CONNECT stock client");
				wire.read();
				while (!finished) {
					int number = identifiers.incrementAndGet();
					String item = "item" + number % 50;
					wire.send("QUERY r" + number + " READ " + item);
					List<String> lines = answer(wire);
					if (!lines.get(lines.size() - 1).startsWith("DONE")) {
						recorder.add("r%d %s: %s", number, item, lines);
					}
					else {
						done.incrementAndGet();
						// Nothing is written, so that each item has the same rows throughout.
						if (!lines.subList(0, lines.size() - 1).equals(List.of("ROW none", "ROW last row of " + item))) {
							wrong.incrementAndGet();
							recorder.add("r%d READ %s was answered with %s", number, item, lines);
						}
					}
					Database.sleep(20);
				}
			}
			catch (IOException ex) {
				recorder.add("client of %s: %s", entry.name, ex);
				Database.sleep(200);
			}
		}
	}

	/** Returns the lines of a reply up to its outcome. */
	private static List<String> answer(Wire wire) throws IOException {
		List<String> lines = new ArrayList<>();
		for (String line = wire.read(); line != null; line = wire.read()) {
			if (line.startsWith("READY")) {
				return lines;
			}
			lines.add(line);
		}
		throw new IOException("the connection was closed");
	}

}
