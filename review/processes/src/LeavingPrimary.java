import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The primary of a service leaves, and right after its report was acknowledged the core
 * loses power for 2.9 s. Counts the statements of clients that reach the leaving member
 * after drainMs, taken and sent on by machines that are in touch.
 */
final class LeavingPrimary {

	private static final long DRAIN_MILLISECONDS = 7_000;

	private static final long CONTACT_MILLISECONDS = 4_000;

	private static final long DOWN_MILLISECONDS = 2_900;

	/** Time for which the member serves after drainMs: a little longer. */
	private static final long LINGER_MILLISECONDS = 500;

	private static final int ENTRIES = 6;

	private static volatile boolean finished;

	/** Data of the writes that were acknowledged to a client. */
	private static final java.util.Set<String> ACKNOWLEDGED = java.util.concurrent.ConcurrentHashMap.newKeySet();

	private LeavingPrimary() {
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
				// A daemon of the core becomes the owner of the service.
				fleet.awaitReady(fleet.entries.subList(0, Fleet.CONTROLS));
				Database.sleep(4_000);
				fleet.startOthers();
				fleet.awaitReady(fleet.entries);
				Database.sleep(3_000);
				return play(database, fleet, recorder, trouble);
			}
		}
	}

	private static int play(Database database, Fleet fleet, Recorder recorder, boolean trouble) throws Exception {
		AtomicLong done = new AtomicLong();
		AtomicLong unknown = new AtomicLong();
		AtomicLong refused = new AtomicLong();
		AtomicInteger identifiers = new AtomicInteger();
		// Clients of the machines that do not belong to the core.
		for (Fleet.Daemon entry : fleet.entries.subList(Fleet.CONTROLS, ENTRIES)) {
			for (int number = 0; number < 3; number++) {
				Thread thread = new Thread(() -> clients(fleet, entry, recorder, identifiers, done, unknown, refused));
				thread.setDaemon(true);
				thread.start();
			}
		}
		Database.sleep(2_000);
		Database.Member leaving = database.primary;
		recorder.add("%s, the primary, is asked to leave; writes done so far %d", leaving.id, done.get());
		leaving.draining = true;
		leaving.reportNow();
		while (leaving.drainingAckedAt == 0) {
			Database.sleep(1);
		}
		long startedAt = leaving.drainingAckedAt - TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLISECONDS);
		if (trouble) {
			startedAt = loseCore(fleet, recorder);
		}
		long judgedFrom = Math.max(leaving.drainingAckedAt + TimeUnit.MILLISECONDS.toNanos(DRAIN_MILLISECONDS),
				startedAt + TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLISECONDS));
		recorder.add("judged from %.3f s after the acknowledgement on",
				(judgedFrom - leaving.drainingAckedAt) / 1e9);
		while (System.nanoTime() - judgedFrom < TimeUnit.MILLISECONDS.toNanos(LINGER_MILLISECONDS)) {
			Database.sleep(5);
		}
		long unknownBefore = unknown.get();
		recorder.add("%s deregisters and ends, as %s; unknown outcomes so far %d", leaving.id,
				(database.primary == leaving) ? "the primary" : "a replica", unknownBefore);
		Http.post("http://" + fleet.controlAddresses().get(0) + "/Instances.Deregister/" + leaving.id,
				"{\"born\":" + leaving.born + "}");
		leaving.stop();
		Database.sleep(4_000);
		finished = true;
		List<Database.Run> late = new ArrayList<>();
		database.runs.stream().filter((run) -> run.member() == leaving && run.at() - judgedFrom > 0).forEach(late::add);
		recorder.add("writes done %d, unknown %d, refused %d", done.get(), unknown.get(), refused.get());
		java.util.Set<String> kept = new java.util.HashSet<>();
		synchronized (database) {
			database.log.forEach((entry) -> kept.addAll(entry.writes().values()));
		}
		recorder.add("not judged: %d acknowledged writes are not in the log of the new primary",
				ACKNOWLEDGED.stream().filter((data) -> !kept.contains(data)).count());
		recorder.add("writes whose outcome the end of the member left unknown: %d", unknown.get() - unknownBefore);
		recorder.add("%d statements reached %s later than drainMs from machines in touch", late.size(), leaving.id);
		if (done.get() == 0) {
			recorder.add("nothing was served");
			return 2;
		}
		return late.isEmpty() ? 0 : 1;
	}

	/** Returns when the last process of the core was started again. */
	private static long loseCore(Fleet fleet, Recorder recorder) throws IOException {
		List<Fleet.Daemon> core = new ArrayList<>(fleet.controls);
		core.addAll(fleet.entries.subList(0, Fleet.CONTROLS));
		core.forEach((daemon) -> daemon.process.destroyForcibly());
		recorder.add("all %d processes of the core are killed", core.size());
		Database.sleep(DOWN_MILLISECONDS);
		for (Fleet.Daemon daemon : core) {
			daemon.restart();
		}
		recorder.add("the core is started again");
		return System.nanoTime();
	}

	private static void clients(Fleet fleet, Fleet.Daemon entry, Recorder recorder, AtomicInteger identifiers,
			AtomicLong done, AtomicLong unknown, AtomicLong refused) {
		while (!finished) {
			try (Wire wire = Wire.connect(entry.host, fleet.clientPort, 5_000)) {
				wire.send("CONNECT stock client");
				wire.read();
				while (!finished) {
					String id = entry.name + "." + identifiers.incrementAndGet();
					wire.send("QUERY " + id + " WRITE item" + identifiers.get() % 40 + " data" + id);
					String outcome = answer(wire);
					if (outcome.startsWith("DONE")) {
						done.incrementAndGet();
						ACKNOWLEDGED.add("data" + id);
					}
					else {
						(outcome.contains("UNKNOWN") || outcome.contains("TIMEOUT") ? unknown : refused).incrementAndGet();
						recorder.add("client sent %s, answered %s", id, outcome);
					}
					Database.sleep(outcome.startsWith("DONE") ? 40 : 200);
				}
			}
			catch (IOException ex) {
				recorder.add("client of %s: %s", entry.name, ex);
				Database.sleep(200);
			}
		}
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
