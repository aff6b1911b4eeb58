import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

/**
 * Sessions with values of their own share connections. Once on each connection, a
 * member answers a SET a second time, late, and fails the SET that follows. Counts the statements that run where
 * the values differ from those that were acknowledged to their client.
 */
final class RepeatedSetting {

	private static final int ENTRIES = 6;

	private static final int SESSIONS_PER_ENTRY = 4;

	private static volatile boolean finished;

	/** Proofs of the successes that clients were given. */
	private static final Map<String, String> PROOFS = new ConcurrentHashMap<>();

	private RepeatedSetting() {
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
			try (Fleet fleet = new Fleet(repository, recorder, ENTRIES, platform, 6)) {
				database.controls = fleet.controlAddresses();
				for (int number = 1; number <= 3; number++) {
					database.add("i-" + number, fleet.network + (100 + number), "zone").start();
				}
				database.startReplication();
				fleet.configure("""
						{"version":1,"routes":[{"name":"r-1","host":"stock","pathPrefix":"/","type":"primary",\
						"timeoutMs":800,"sloMs":100,"priority":0,"service":"records","attempts":2}],\
						"services":[{"name":"records","healthPath":"/healthz","maxConns":18,"protocol":"h1","tls":false,\
						"syncReplicas":0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,\
						"idleTimeoutMs":15000,"txIdleMs":3000}}""");
				fleet.startOthers();
				fleet.awaitReady(fleet.entries);
				Database.sleep(3_000);
				return play(database, fleet, recorder, trouble);
			}
		}
	}

	private static int play(Database database, Fleet fleet, Recorder recorder, boolean trouble) {
		AtomicLong done = new AtomicLong();
		AtomicInteger identifiers = new AtomicInteger();
		for (Fleet.Daemon entry : fleet.entries) {
			for (int number = 0; number < SESSIONS_PER_ENTRY; number++) {
				String value = entry.name + "-" + number;
				Thread thread = new Thread(() -> session(fleet, entry, value, recorder, identifiers, done));
				thread.setDaemon(true);
				thread.start();
			}
		}
		Database.sleep(3_000);
		database.stutters = trouble;
		Database.sleep(6_000);
		database.stutters = false;
		finished = true;
		Database.sleep(1_000);
		List<Database.Run> wrong = database.runs.stream()
			.filter((run) -> !run.id().split("[.]")[0].equals(run.values().get("note")))
			.toList();
		wrong.forEach((run) -> recorder.add("%s ran %s of %s where the session has %s", run.member().id, run.id(),
				run.id().split("[.]")[0], run.values()));
		recorder.add("%d statements done, %d runs, %d with other values than acknowledged", done.get(),
				database.runs.size(), wrong.size());
		recorder.add("of these, %d are writes", wrong.stream().filter((run) -> isWrite(run.id())).count());
		Map<String, Set<String>> sent = database.runs.stream()
			.collect(Collectors.groupingBy(Database.Run::id, Collectors.mapping(Database.Run::mac, Collectors.toSet())));
		List<String> foreign = PROOFS.keySet().stream()
			.filter((id) -> !sent.getOrDefault(id, Set.of()).contains(PROOFS.get(id)))
			.toList();
		foreign.forEach((id) -> recorder.add("%s %s: answered DONE %s, the members' proofs for it are %s", id,
				isWrite(id) ? "WRITE" : "READ", PROOFS.get(id), sent.getOrDefault(id, Set.of())));
		recorder.add("not judged: %d successes without the member's proof for them; PINNED: %d runs", foreign.size(),
				wrong.size());
		if (done.get() == 0) {
			return 2;
		}
		return wrong.isEmpty() ? 0 : 1;
	}

	private static void session(Fleet fleet, Fleet.Daemon entry, String value, Recorder recorder,
			AtomicInteger identifiers, AtomicLong done) {
		while (!finished) {
			try (Wire wire = Wire.connect(entry.host, fleet.clientPort, 5_000)) {
				wire.send("CONNECT stock client");
				wire.read();
				wire.send("QUERY " + value + "." + identifiers.incrementAndGet() + " SET note " + value);
				if (!answer(wire).startsWith("DONE")) {
					continue;
				}
				while (!finished) {
					int number = identifiers.incrementAndGet();
					String id = value + "." + number;
					String text = isWrite(id) ? "WRITE item" + number % 50 + " data" + number : "READ item" + number % 50;
					wire.send("QUERY " + id + " " + text);
					String outcome = answer(wire);
					if (outcome.startsWith("DONE")) {
						done.incrementAndGet();
						PROOFS.put(id, outcome.substring("DONE ".length()));
						Database.sleep(20);
					}
					else {
						// The next operation follows at once.
						recorder.add("%s %s: %s", id, text, outcome);
					}
				}
			}
			catch (IOException ex) {
				recorder.add("client of %s: %s", entry.name, ex);
				Database.sleep(200);
			}
		}
	}

	/** The first session at each daemon writes, the others read. */
	private static boolean isWrite(String id) {
		return id.split("[.]")[0].endsWith("-0");
	}

	/** Returns the outcome of a reply. */
	private static String answer(Wire wire) throws IOException {
		String outcome = "";
		for (String line = wire.read(); line != null; line = wire.read()) {
			if (line.startsWith("READY")) {
				return outcome;
			}
			if (!line.startsWith("ROW")) {
				outcome = line;
			}
		}
		throw new IOException("the connection was closed");
	}

}
