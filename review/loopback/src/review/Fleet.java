package review;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Small deployment on loopback addresses: some machines, each with one control daemon and
 * one entry daemon, started with the commands of the deploy file. The settings are those
 * that the template of the deploy file yields.
 */
final class Fleet implements AutoCloseable {

	private final Record record;

	private final Path repository;

	private final Path folder;

	private final int machines;

	private final String prefix;

	private final String platformAddress;

	private final int clientPort;

	private final int readyPort;

	private final int controlPort;

	private final int entryPeerPort;

	private final int controlPeerPort;

	private final List<Process> entries = new ArrayList<>();

	private final List<Process> controls = new ArrayList<>();

	Fleet(Record record, Path repository, int machines, String platformAddress) throws IOException {
		this.record = record;
		this.repository = repository;
		this.machines = machines;
		this.platformAddress = platformAddress;
		this.folder = Files.createTempDirectory("magnolialead-review");
		// A network of its own, so that the ports are the same on all machines.
		this.prefix = "127." + (20 + (int) (ProcessHandle.current().pid() % 200)) + ".7.";
		int[] ports = freePorts();
		this.clientPort = ports[0];
		this.readyPort = ports[1];
		this.controlPort = ports[2];
		this.entryPeerPort = ports[3];
		this.controlPeerPort = ports[4];
		for (int machine = 0; machine < machines; machine++) {
			this.entries.add(null);
			this.controls.add(null);
		}
	}

	private int[] freePorts() throws IOException {
		int[] ports = new int[5];
		List<ServerSocket> sockets = new ArrayList<>();
		for (int index = 0; index < ports.length; index++) {
			ServerSocket first = new ServerSocket();
			first.bind(new InetSocketAddress(host(0), 0));
			sockets.add(first);
			ports[index] = first.getLocalPort();
			for (int machine = 1; machine < this.machines; machine++) {
				ServerSocket other = new ServerSocket();
				other.bind(new InetSocketAddress(host(machine), ports[index]));
				sockets.add(other);
			}
		}
		for (ServerSocket socket : sockets) {
			socket.close();
		}
		return ports;
	}

	String host(int machine) {
		return this.prefix + (machine + 1);
	}

	int machines() {
		return this.machines;
	}

	int clientPort() {
		return this.clientPort;
	}

	Process entry(int machine) {
		return this.entries.get(machine);
	}

	void start() throws IOException {
		for (int machine = 0; machine < this.machines; machine++) {
			startControl(machine);
		}
		for (int machine = 0; machine < this.machines; machine++) {
			startEntry(machine);
		}
	}

	void startControl(int machine) throws IOException {
		startControl(machine, true);
	}

	/**
	 * Starts a control daemon.
	 * @param firstStart whether the whole system starts for the first time
	 */
	void startControl(int machine, boolean firstStart) throws IOException {
		String settings = settings(machine, "control", this.controlPeerPort, this.controlPort, firstStart)
				+ "data_folder = \"data-%d\"\ndisk_megabytes = 64\n".formatted(machine);
		this.controls.set(machine, launch("control", machine, settings));
	}

	void startEntry(int machine) throws IOException {
		startEntry(machine, true);
	}

	void startEntry(int machine, boolean firstStart) throws IOException {
		String settings = settings(machine, "entry", this.entryPeerPort, this.readyPort, firstStart) + """

				[sessions]
				address = "%s:%d"
				promotion_address = "%s"
				grace_seconds = 6
				start_after = "%s:%d"
				""".formatted(host(machine), this.clientPort, this.platformAddress, host(machine),
				this.controlPeerPort);
		this.entries.set(machine, launch("entry", machine, settings));
	}

	private String settings(int machine, String role, int peerPort, int httpPort, boolean firstStart) {
		List<String> seeds = new ArrayList<>();
		for (int seed = 0; seed < Math.min(3, this.machines); seed++) {
			seeds.add(host(seed) + ":" + this.controlPort);
		}
		return """
				[daemon]
				name = "machine-%d"
				role = "%s"
				availability_zone = "zone-%d"
				threads = 2

				[peer]
				host = "%s"
				port = %d

				[http]
				address = "%s:%d"
				maximum_body_bytes = 524288

				[control]
				seeds = "%s"
				peer_port = %d
				first_start = %s
				election_timeout_milliseconds = 250
				tolerated_losses = 1
				""".formatted(machine + 1, role, machine + 1, host(machine), peerPort, host(machine), httpPort,
				String.join(",", seeds), this.controlPeerPort, firstStart);
	}

	private Process launch(String role, int machine, String settings) throws IOException {
		Path file = this.folder.resolve(role + "-" + machine + ".toml");
		Files.writeString(file, settings);
		ProcessBuilder builder = new ProcessBuilder(List.of(command(role).split(" ")));
		builder.directory(this.repository.toFile());
		builder.environment().put("MAGNOLIALEAD_CONFIG", file.toString());
		builder.redirectErrorStream(true);
		File log = this.folder.resolve(role + "-" + machine + ".log").toFile();
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
		Process process = builder.start();
		this.record.add("started %s daemon of machine %d, process %d", role, machine + 1, process.pid());
		return process;
	}

	private String command(String role) throws IOException {
		String deploy = Files.readString(this.repository.resolve("deploy/system.toml"));
		Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"").matcher(deploy);
		if (!matcher.find()) {
			throw new IOException("the deploy file has no command for the role " + role);
		}
		return matcher.group(1);
	}

	/** Kills the daemons of a machine, which starts again with an empty disk. */
	void loseDisk(int machine) throws IOException, InterruptedException {
		this.controls.get(machine).destroyForcibly().waitFor();
		this.entries.get(machine).destroyForcibly().waitFor();
		try (Stream<Path> files = Files.walk(this.folder.resolve("data-" + machine))) {
			files.sorted(Comparator.reverseOrder()).forEach((path) -> path.toFile().delete());
		}
		this.record.add("machine %d: the daemons are killed and the disk is lost", machine + 1);
		Thread.sleep(1_000);
		startControl(machine, false);
		startEntry(machine, false);
	}

	/** Kills the processes of a machine, which loses its disk. */
	void lose(int machine) throws InterruptedException {
		for (Process process : List.of(this.controls.get(machine), this.entries.get(machine))) {
			process.destroyForcibly().waitFor();
		}
		this.record.add("machine %d is lost for good", machine + 1);
	}

	boolean isReady(int machine) {
		try {
			return status("GET", "http://" + host(machine) + ":" + this.readyPort + "/readyz", null) == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	void awaitReady(int machine, int seconds) throws Exception {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		while (!isReady(machine)) {
			if (System.nanoTime() - deadline > 0) {
				throw new CannotRun("machine " + (machine + 1) + " is not ready");
			}
			Thread.sleep(50);
		}
	}

	/** Sends a request to the control daemons in turn until one acknowledges it. */
	boolean control(String path, String body, int seconds) throws InterruptedException {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		for (int attempt = 0; System.nanoTime() - deadline < 0; attempt++) {
			try {
				String address = host(attempt % this.machines) + ":" + this.controlPort;
				if (status("POST", "http://" + address + path, body) / 100 == 2) {
					return true;
				}
			}
			catch (IOException ex) {
				// The daemon is still starting; the next one is asked.
			}
			Thread.sleep(20);
		}
		return false;
	}

	private static int status(String method, String url, String body) throws IOException {
		HttpURLConnection connection = (HttpURLConnection) new URL(url).openConnection();
		connection.setConnectTimeout(1_000);
		connection.setReadTimeout(1_000);
		connection.setRequestMethod(method);
		if (body != null) {
			connection.setDoOutput(true);
			connection.setRequestProperty("Content-Type", "application/json");
			connection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
		}
		try {
			return connection.getResponseCode();
		}
		finally {
			connection.disconnect();
		}
	}

	/** Copies the logs of the daemons beside the record, for a run that is examined. */
	void keepLogs(Path target) throws IOException {
		Files.createDirectories(target);
		try (Stream<Path> files = Files.list(this.folder)) {
			for (Path file : files.filter((path) -> path.toString().endsWith(".log")).toList()) {
				Files.copy(file, target.resolve(file.getFileName()),
						java.nio.file.StandardCopyOption.REPLACE_EXISTING);
			}
		}
	}

	@Override
	public void close() throws IOException {
		List<Process> all = new ArrayList<>(this.entries);
		all.addAll(this.controls);
		all.removeIf((process) -> process == null);
		all.forEach(Process::destroyForcibly);
		all.forEach((process) -> {
			try {
				process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		String kept = System.getenv("KEEP_LOGS");
		if (kept != null) {
			keepLogs(Path.of(kept));
		}
		try (Stream<Path> files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((path) -> path.toFile().delete());
		}
	}

	/** Thrown if a case cannot run, which is no verdict. */
	static final class CannotRun extends Exception {

		CannotRun(String message) {
			super(message);
		}

	}

}
