import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The programs of the deploy file as separate processes. Each machine has a loopback
 * address of its own, and the ports are the same on all machines.
 */
final class Fleet {

	/** A machine, which runs an entry daemon and, if it has a disk, a control daemon. */
	record Machine(String name, String ip, String zone, boolean disk) {
	}

	static final class Daemon {

		final String name;

		final String role;

		final Machine machine;

		final Path settings;

		final Path output;

		volatile Process process;

		Daemon(String name, String role, Machine machine, Path settings, Path output) {
			this.name = name;
			this.role = role;
			this.machine = machine;
			this.settings = settings;
			this.output = output;
		}

	}

	final Path folder;

	final List<Machine> machines = new ArrayList<>();

	final Map<String, Daemon> daemons = new LinkedHashMap<>();

	final int frontPort;

	final int readyPort;

	final int controlPort;

	final int firstInternalPort;

	private final String cloudAddress;

	private final String deployFile = Files.readString(Path.of("deploy/system.toml"));

	private final int graceSeconds;

	Fleet(int controlMachines, int otherMachines, String cloudAddress, int graceSeconds) throws Exception {
		this(controlMachines, otherMachines, cloudAddress, graceSeconds, 4);
	}

	Fleet(int controlMachines, int otherMachines, String cloudAddress, int graceSeconds, int zones) throws Exception {
		this.folder = Files.createTempDirectory("review");
		this.cloudAddress = cloudAddress;
		this.graceSeconds = graceSeconds;
		String prefix = Addresses.network();
		for (int index = 0; index < controlMachines + otherMachines; index++) {
			this.machines
				.add(new Machine("front-" + (index + 1), prefix + (index + 1), "zone-" + (index % zones), index < controlMachines));
		}
		int[] ports = Addresses.freePorts(this.machines.stream().map(Machine::ip).toList(), 5);
		this.frontPort = ports[0];
		this.readyPort = ports[1];
		this.controlPort = ports[2];
		this.firstInternalPort = ports[3];
		this.lastInternalPort = ports[4];
		Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
	}

	private final int lastInternalPort;

	List<String> controlAddresses() {
		return this.machines.stream().filter(Machine::disk).map((machine) -> machine.ip() + ":" + this.controlPort).toList();
	}

	String front(int machine) {
		return this.machines.get(machine).ip() + ":" + this.frontPort;
	}

	void startAll() throws Exception {
		for (Machine machine : this.machines) {
			if (machine.disk()) {
				start(machine, "control", true);
			}
			start(machine, "entry", true);
		}
	}

	Daemon start(Machine machine, String role, boolean first) throws Exception {
		String name = machine.name() + "-" + role;
		Path settings = this.folder.resolve(name + ".toml");
		Files.writeString(settings, Template.render(Files.readString(Path.of("deploy/settings.toml")), values(machine, role, first)));
		Daemon daemon = this.daemons.computeIfAbsent(name,
				(key) -> new Daemon(key, role, machine, settings, this.folder.resolve(key + ".log")));
		Matcher run = Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(this.deployFile);
		if (!run.find()) {
			throw new IllegalStateException("no command for role " + role);
		}
		ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(daemon.output.toFile()));
		Map<String, String> environment = builder.environment();
		environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		environment.put("MAGNOLIALEAD_CONFIG", settings.toString());
		daemon.process = builder.start();
		Record.line("process %s started with pid %d", name, daemon.process.pid());
		return daemon;
	}

	private Map<String, String> values(Machine machine, String role, boolean first) {
		Map<String, String> values = new HashMap<>();
		values.put("node", machine.name());
		values.put("role", role);
		values.put("zone", machine.zone());
		values.put("ip", machine.ip());
		values.put("internalPorts.0", Integer.toString(this.firstInternalPort));
		values.put("internalPorts.1", Integer.toString(this.lastInternalPort));
		values.put("seeds", String.join(",", controlAddresses().subList(0, Math.min(3, controlAddresses().size()))));
		values.put("bootstrap", Boolean.toString(first));
		values.put("bounds.graceS", Integer.toString(this.graceSeconds));
		values.put("cloud.addr", this.cloudAddress);
		if (machine.disk()) {
			values.put("countsAsLoss", "true");
		}
		if (role.equals("control")) {
			values.put("listen.control", machine.ip() + ":" + this.controlPort);
			values.put("dataDir", this.folder.resolve("data-" + machine.name()).toString());
		}
		else {
			values.put("listen.front", machine.ip() + ":" + this.frontPort);
			values.put("listen.readyAddr", machine.ip() + ":" + this.readyPort);
		}
		return values;
	}

	/** How often each process ended by itself. */
	final Map<String, Integer> ends = new HashMap<>();

	/** Starts processes that ended again, as the platform does, after a short delay. */
	void restartEnded() throws Exception {
		for (Daemon daemon : List.copyOf(this.daemons.values())) {
			if (!daemon.process.isAlive()) {
				Record.line("process %s ended by itself with code %d", daemon.name, daemon.process.exitValue());
				this.ends.merge(daemon.name, 1, Integer::sum);
				start(daemon.machine, daemon.role, false);
			}
		}
	}

	void signal(Daemon daemon, String signal) throws Exception {
		Record.line("signal %s to %s", signal, daemon.name);
		new ProcessBuilder("kill", "-" + signal, Long.toString(daemon.process.pid())).start().waitFor();
	}

	void awaitReady(int milliseconds) throws Exception {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
		for (Machine machine : this.machines) {
			while (Http.call("GET", machine.ip() + ":" + this.readyPort, "/readyz", null).status() != 200) {
				if (System.nanoTime() - deadline > 0) {
					throw new CannotRun("machine " + machine.name() + " is not ready in time");
				}
				Thread.sleep(50);
			}
		}
	}

	void endAll() {
		this.daemons.values().forEach((daemon) -> {
			if (daemon.process != null) {
				daemon.process.destroyForcibly();
			}
		});
		this.daemons.values().forEach((daemon) -> {
			try {
				if (daemon.process != null) {
					daemon.process.waitFor(5, TimeUnit.SECONDS);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		if (System.getenv("KEEP") == null) {
			delete(this.folder.toFile());
		}
	}

	private static void delete(File file) {
		File[] children = file.listFiles();
		if (children != null) {
			Arrays.stream(children).forEach(Fleet::delete);
		}
		file.delete();
	}

}

/** The case could not be set up. */
final class CannotRun extends RuntimeException {

	CannotRun(String message) {
		super(message);
	}

}

final class Addresses {

	private static final String NETWORK = "127.%d.%d.".formatted(ThreadLocalRandom.current().nextInt(10, 250),
			ThreadLocalRandom.current().nextInt(1, 250));

	private Addresses() {
	}

	static String network() {
		return NETWORK;
	}

	static int[] freePorts(List<String> hosts, int count) throws IOException {
		int[] ports = new int[count];
		List<ServerSocket> open = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			ServerSocket socket = new ServerSocket();
			socket.bind(new InetSocketAddress(InetAddress.getByName(hosts.get(0)), 0));
			open.add(socket);
			ports[index] = socket.getLocalPort();
		}
		for (ServerSocket socket : open) {
			socket.close();
		}
		return ports;
	}

	static InetSocketAddress parse(String address) {
		int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

}

/** Fills in deploy/settings.toml as the platform's page on templates says. */
final class Template {

	private Template() {
	}

	static String render(String template, Map<String, String> values) {
		String text = template;
		Pattern section = Pattern.compile("\\{\\{([#^])([A-Za-z.0-9]+)\\}\\}(.*?)\\{\\{/\\2\\}\\}", Pattern.DOTALL);
		Matcher found = section.matcher(text);
		while (found.find()) {
			String value = values.get(found.group(2));
			boolean present = value != null && !value.equals("false");
			boolean kept = found.group(1).equals("#") == present;
			text = text.substring(0, found.start()) + (kept ? found.group(3) : "") + text.substring(found.end());
			found = section.matcher(text);
		}
		Matcher field = Pattern.compile("\\{\\{([A-Za-z.0-9]+)(\\|json)?\\}\\}").matcher(text);
		return field.replaceAll((match) -> {
			String value = values.getOrDefault(match.group(1), "");
			boolean plain = match.group(2) == null || value.equals("true") || value.equals("false");
			return Matcher.quoteReplacement(plain ? value : "\"" + value + "\"");
		});
	}

}
