import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Control and entry daemons as processes, started with the commands of the deploy file. */
final class Fleet implements AutoCloseable {

	static final int CONTROLS = 3;

	final Path repository;

	final Path folder;

	final Recorder recorder;

	final String network;

	final int peerPort;

	final int httpPort;

	final int clientPort;

	final int entryPeerPort;

	final int entryHttpPort;

	final List<Daemon> controls = new ArrayList<>();

	final List<Daemon> entries = new ArrayList<>();

	volatile boolean closed;

	Fleet(Path repository, Recorder recorder, int entryCount, String platform, int graceSeconds) throws IOException {
		this.repository = repository;
		this.recorder = recorder;
		this.folder = Files.createTempDirectory("review");
		int[] ports = freePorts(5);
		this.peerPort = ports[0];
		this.httpPort = ports[1];
		this.clientPort = ports[2];
		this.entryPeerPort = ports[3];
		this.entryHttpPort = ports[4];
		this.network = "127.31." + (1 + (int) (ProcessHandle.current().pid() % 250)) + ".";
		Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
		for (int number = 1; number <= CONTROLS; number++) {
			this.controls.add(new Daemon("control", number, ""));
		}
		// The first entry daemons run on the machines of the control daemons.
		for (int number = 1; number <= entryCount; number++) {
			this.entries.add(new Daemon("entry", number, """

					[sessions]
					address = "%s:%d"
					promotion_address = "%s"
					grace_seconds = %d
					learned_limits = false
					""".formatted(this.network + number, this.clientPort, platform, graceSeconds)));
		}
		for (Daemon daemon : this.controls) {
			daemon.start();
		}
		for (Daemon daemon : this.entries.subList(0, Math.min(CONTROLS, entryCount))) {
			daemon.start();
		}
	}

	/** Starts the entry daemons of the machines that do not belong to the core. */
	void startOthers() throws IOException {
		for (Daemon daemon : this.entries.subList(CONTROLS, this.entries.size())) {
			daemon.start();
		}
	}

	private static int[] freePorts(int count) throws IOException {
		List<ServerSocket> sockets = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			sockets.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
		}
		int[] ports = sockets.stream().mapToInt(ServerSocket::getLocalPort).toArray();
		for (ServerSocket socket : sockets) {
			socket.close();
		}
		return ports;
	}

	List<String> controlAddresses() {
		return this.controls.stream().map((daemon) -> daemon.host + ":" + this.httpPort).toList();
	}

	/** Sends a configuration until it is accepted. */
	void configure(String body) {
		for (int attempt = 0; attempt < 150; attempt++) {
			String control = controlAddresses().get(attempt % CONTROLS);
			try {
				Http.Answer answer = Http.call("http://" + control + "/Config.Put", body);
				if (answer.status() == 200) {
					this.recorder.add("configuration accepted by %s", control);
					return;
				}
			}
			catch (IOException ex) {
				// The daemons are starting.
			}
			Database.sleep(200);
		}
		throw new IllegalStateException("no control daemon accepts the configuration");
	}

	void awaitReady(List<Daemon> daemons) {
		for (Daemon daemon : daemons) {
			boolean ready = false;
			for (int attempt = 0; attempt < 150 && !ready; attempt++) {
				ready = daemon.isReady();
				if (!ready) {
					Database.sleep(200);
				}
			}
			if (!ready) {
				throw new IllegalStateException(daemon.name + " does not become ready");
			}
		}
		this.recorder.add("%d entry daemons are ready", daemons.size());
	}

	private void endProcesses() {
		this.closed = true;
		Stream.concat(this.controls.stream(), this.entries.stream()).forEach(Daemon::kill);
	}

	@Override
	public void close() throws IOException {
		endProcesses();
		try (Stream<Path> files = Files.walk(this.folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.deleteIfExists(file);
			}
		}
	}

	/** One daemon. */
	final class Daemon {

		final String name;

		final String role;

		final String host;

		private final Path settings;

		final Path output;

		volatile Process process;

		private Daemon(String role, int number, String more) throws IOException {
			this.role = role;
			this.name = role + "-" + number;
			this.host = Fleet.this.network + number;
			this.settings = Fleet.this.folder.resolve(this.name + ".toml");
			this.output = Fleet.this.folder.resolve(this.name + ".log");
			StringBuilder seeds = new StringBuilder();
			for (int seed = 1; seed <= CONTROLS; seed++) {
				seeds.append((seed > 1) ? "," : "").append(Fleet.this.network).append(seed).append(':')
					.append(Fleet.this.httpPort);
			}
			String text = """
					[daemon]
					name = "%s"
					role = "%s"
					availability_zone = "zone"
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
					first_start = true
					election_timeout_milliseconds = 250
					tolerated_losses = 1
					""".formatted(this.name, role, this.host, role.equals("control") ? Fleet.this.peerPort : Fleet.this.entryPeerPort,
					this.host, httpPort(), seeds, Fleet.this.peerPort);
			if (role.equals("control")) {
				text += "data_folder = \"%s\"\ndisk_megabytes = 64\n"
					.formatted(Fleet.this.folder.resolve("data-" + number));
			}
			Files.writeString(this.settings, text + more);
		}

		int httpPort() {
			return this.role.equals("control") ? Fleet.this.httpPort : Fleet.this.entryHttpPort;
		}

		/** Starts the daemon again. Only the first start of the fleet is one. */
		void restart() throws IOException {
			Files.writeString(this.settings, Files.readString(this.settings).replace("first_start = true", "first_start = false"));
			start();
		}

		void start() throws IOException {
			ProcessBuilder builder = new ProcessBuilder(List.of(command().split(" ")));
			builder.directory(Fleet.this.repository.toFile());
			builder.environment().put("MAGNOLIALEAD_CONFIG", this.settings.toString());
			builder.redirectErrorStream(true);
			builder.redirectOutput(ProcessBuilder.Redirect.appendTo(this.output.toFile()));
			this.process = builder.start();
		}

		private String command() throws IOException {
			String deploy = Files.readString(Fleet.this.repository.resolve("deploy/system.toml"));
			Matcher matcher = Pattern.compile("\\[roles\\." + this.role + "\\]\\s+run = \"([^\"]+)\"").matcher(deploy);
			if (!matcher.find()) {
				throw new IOException("the deploy file has no command for the role " + this.role);
			}
			return matcher.group(1);
		}

		boolean isReady() {
			try {
				return Http.call("http://" + this.host + ":" + httpPort() + "/readyz", null).status() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		void kill() {
			Process current = this.process;
			if (current != null) {
				current.destroyForcibly();
				try {
					current.waitFor(5, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		}

	}

}
