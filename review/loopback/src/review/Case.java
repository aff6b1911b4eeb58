package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Frame of the cases: starts the fleet, the members and the platform, runs one case and
 * exits with its verdict.
 */
abstract class Case {

	static final int HELD = 0;

	static final int BROKEN = 1;

	static final int CANNOT_RUN = 2;

	static final String DATABASE = "records";

	static final String SERVICE = "records-db";

	static final int MACHINES = 3;

	static final int FIRST_VERSION = 7;

	/** Time for the daemons to find each other before the traffic starts. */
	private static final long LEAD_MILLISECONDS = 5_000;

	private static final AtomicLong IDENTIFIERS = new AtomicLong(0x5c0e7a21L);

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	Record record;

	Fleet fleet;

	Platform platform;

	Database database;

	static String newIdentifier() {
		return Long.toHexString(IDENTIFIERS.incrementAndGet());
	}

	int synchronousReplicas() {
		return 0;
	}

	int machines() {
		return MACHINES;
	}

	/** Runs the case and returns whether the rule held. */
	abstract boolean holds() throws Exception;

	final int run(Path repository, Path recordFile) throws Exception {
		try (Record opened = new Record(recordFile)) {
			this.record = opened;
			this.record.add("trouble: %s", this.trouble);
			this.platform = new Platform(this.record);
			this.database = new Database(this.record, SERVICE, synchronousReplicas());
			this.platform.serve(this.database);
			this.fleet = new Fleet(this.record, repository, machines(), this.platform.address());
			Thread ender = new Thread(this::closeFleet);
			Runtime.getRuntime().addShutdownHook(ender);
			try {
				prepare();
				boolean held = holds();
				this.record.add("%s", held ? "the rule held" : "THE RULE WAS BROKEN");
				return held ? HELD : BROKEN;
			}
			catch (Fleet.CannotRun | IOException ex) {
				this.record.add("the case could not run: %s", ex);
				return CANNOT_RUN;
			}
			finally {
				closeFleet();
				this.platform.close();
				this.database.close();
			}
		}
	}

	private synchronized void closeFleet() {
		try {
			this.fleet.close();
		}
		catch (IOException ex) {
			// The processes have ended; only temporary files may be left.
		}
	}

	/** Starts everything and waits until all machines serve. */
	void prepare() throws Exception {
		this.fleet.start();
		if (!this.fleet.control("/Config.Put", configuration(FIRST_VERSION), 25)) {
			throw new Fleet.CannotRun("no control daemon has accepted the configuration");
		}
		this.record.add("configuration 7 acknowledged");
		addMembers();
		for (int machine = 0; machine < MACHINES; machine++) {
			this.fleet.awaitReady(machine, 15);
			awaitService(machine);
		}
		Thread.sleep(LEAD_MILLISECONDS);
		this.record.add("all machines serve");
	}

	final void addMembers() throws IOException {
		for (int member = 1; member <= 3; member++) {
			this.database.add("m-" + member, this.fleet, member == 1, List.of());
		}
	}

	final String configuration(int version) {
		return """
				{"version":%d,"routes":[{"name":"r-1","host":"%s","pathPrefix":"/","type":"primary","timeoutMs":800,\
				"sloMs":100,"priority":0,"service":"%s","attempts":2}],"services":[{"name":"%s",\
				"healthPath":"/healthz","maxConns":18,"protocol":"h1","tls":false,"syncReplicas":%d}],\
				"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,\
				"idleTimeoutMs":15000,"txIdleMs":3000}}""".formatted(version, DATABASE, SERVICE,
				SERVICE, synchronousReplicas());
	}

	final void awaitService(int machine) throws Exception {
		long deadline = System.nanoTime() + 15_000_000_000L;
		while (System.nanoTime() - deadline < 0) {
			try (Wire client = connect(machine)) {
				if (client.exchange("QUERY " + newIdentifier() + " READ probe").toString().contains("DONE")) {
					return;
				}
			}
			catch (IOException ex) {
				// The daemon is still starting.
			}
			Thread.sleep(100);
		}
		throw new Fleet.CannotRun("machine " + (machine + 1) + " does not serve");
	}

	final Wire connect(int machine) throws IOException {
		Wire client = Wire.connect(this.fleet.host(machine), this.fleet.clientPort(), 20_000);
		List<String> answer = client.exchange("CONNECT " + DATABASE + " user");
		if (!answer.get(answer.size() - 1).startsWith("READY")) {
			throw new IOException("no session: " + answer);
		}
		return client;
	}

	public static void main(String[] arguments) throws Exception {
		Case selected = switch (arguments[0]) {
			case "line-feed" -> new LineFeedCase();
			case "large-result" -> new LargeResultCase();
			case "prepared-shapes" -> new PreparedShapesCase();
			case "late-order" -> new LateOrderCase();
			case "first-start" -> new FirstStartCase();
			case "second-release" -> new SecondReleaseCase();
			default -> throw new IllegalArgumentException(arguments[0]);
		};
		int status;
		try {
			status = selected.run(Path.of(arguments[1]), Path.of(arguments[2]));
		}
		catch (Throwable ex) {
			ex.printStackTrace();
			status = CANNOT_RUN;
		}
		System.out.println(arguments[0] + ": exit " + status);
		System.exit(status);
	}

}
