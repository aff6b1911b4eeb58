package org.magnolialead.testsupport.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.message.InitializeAnswer;
import org.magnolialead.api.message.InitializeRequest;
import org.magnolialead.api.message.ViewAnswer;
import org.magnolialead.api.message.ViewQuery;
import org.magnolialead.testsupport.process.FreePorts;
import org.magnolialead.testsupport.process.ManagedProcess;
import org.magnolialead.testsupport.process.ProcessHarness;
import org.magnolialead.testsupport.proxy.FaultMode;
import org.magnolialead.testsupport.proxy.FaultProxy;
import org.magnolialead.transport.peer.PeerClient;

/**
 * Fleet of processes on the loopback interface. Closing the fleet kills all its
 * processes.
 */
public final class Fleet implements AutoCloseable {

	private static final String HOST = "127.0.0.1";

	private static final String DAEMON_CLASS = "org.magnolialead.daemon.MagnolialeadMain";

	private static final String STAND_IN_CLASS = "org.magnolialead.testsupport.standin.DatabaseStandInMain";

	/**
	 * Timeout of each condition that the fleet awaits; exceeded only if the fleet is
	 * broken.
	 */
	private static final long AWAIT_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(60);

	private static final long QUERY_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long POLL_INTERVAL_MILLISECONDS = 25;

	private final Path folder;

	private final FleetOptions options;

	private final MonotonicClock clock = MonotonicClock.SYSTEM;

	private final PeerClient client = new PeerClient(this.clock);

	private final ProcessHarness harness;

	private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();

	private final Map<String, Integer> peerPorts = new HashMap<>();

	private final Map<String, Integer> httpPorts = new HashMap<>();

	/**
	 * Fault-injecting proxy between the processes, or empty if they connect directly.
	 */
	private final Optional<FaultProxy> proxy;

	private final Map<String, Integer> routePorts = new HashMap<>();

	/**
	 * Creates a fleet without starting it.
	 * @param folder folder for settings, data and logs
	 * @param options size of the fleet and behaviour of its stand-ins
	 */
	public Fleet(Path folder, FleetOptions options) {
		this(folder, options, false);
	}

	/**
	 * Creates a fleet without starting it.
	 * @param folder folder for settings, data and logs
	 * @param options size of the fleet and behaviour of its stand-ins
	 * @param proxied whether connections from daemons to control daemons and to database
	 * members pass through a fault-injecting proxy
	 */
	public Fleet(Path folder, FleetOptions options, boolean proxied) {
		this.folder = folder;
		this.options = options;
		try {
			Files.createDirectories(folder);
			Files.writeString(folder.resolve("session.key"), "only for tests: 0123456789abcdef0123456789abcdef");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.harness = new ProcessHarness(folder, options.javaOptions());
		this.proxy = proxied ? Optional.of(new FaultProxy()) : Optional.empty();
		reservePorts();
		this.proxy.ifPresent(this::addRoutes);
	}

	/**
	 * Starts all processes and waits until every group has a confirmed primary and every
	 * entry daemon accepts connections.
	 * @throws IllegalStateException if a process ends or one of the waits exceeds 60 s
	 */
	public void start() {
		controlNames().forEach(this::startDaemon);
		entryNames().forEach(this::startDaemon);
		groupNames().forEach((group) -> memberNames().forEach((member) -> startMember(group, member)));
		controlNames()
			.forEach((name) -> this.processes.get(name).awaitPort(HOST, this.peerPorts.get(name), awaitDeadline()));
		initialize();
		await("all groups to have a primary",
				() -> groupNames().stream().allMatch((group) -> primary(group).isPresent()));
		entryNames()
			.forEach((name) -> this.processes.get(name).awaitPort(HOST, this.httpPorts.get(name), awaitDeadline()));
	}

	/**
	 * Returns the names of the control daemons.
	 * @return the names
	 */
	public List<String> controlNames() {
		return names("control-", this.options.controlDaemons());
	}

	/**
	 * Returns the names of the entry daemons.
	 * @return the names
	 */
	public List<String> entryNames() {
		return names("entry-", this.options.entryDaemons());
	}

	/**
	 * Returns the names of the database groups.
	 * @return the names
	 */
	public List<String> groupNames() {
		return names("group-", this.options.groups());
	}

	/**
	 * Returns the names of the members of each group.
	 * @return the names
	 */
	public List<String> memberNames() {
		return names("member-", this.options.membersPerGroup());
	}

	/**
	 * Returns the process of a daemon or member.
	 * @param name name of a daemon, or group and member as {@code group-1/member-1}
	 * @return the process, or {@code null} if it was never started
	 */
	public ManagedProcess process(String name) {
		return this.processes.get(name);
	}

	/**
	 * Returns the HTTP address of a daemon or member.
	 * @param name name of a daemon, or group and member as {@code group-1/member-1}
	 * @return host and port
	 */
	public String httpAddress(String name) {
		return HOST + ":" + this.httpPorts.get(name);
	}

	/**
	 * Returns the peer address of a daemon.
	 * @param name name of the daemon
	 * @return host and port
	 */
	public String peerAddress(String name) {
		return HOST + ":" + this.peerPorts.get(name);
	}

	/**
	 * Returns the HTTP addresses of all entry daemons.
	 * @return addresses separated by commas
	 */
	public String entryAddresses() {
		return entryNames().stream().map(this::httpAddress).collect(Collectors.joining(","));
	}

	/**
	 * Returns the peer addresses of all control daemons.
	 * @return addresses separated by commas
	 */
	public String controlAddresses() {
		return controlNames().stream().map(this::peerAddress).collect(Collectors.joining(","));
	}

	/**
	 * Queries the fleet views of all control daemons.
	 * @return the answers by name of the daemon; daemons that do not answer are left out
	 */
	public Map<String, ViewAnswer> views() {
		Map<String, ViewAnswer> views = new LinkedHashMap<>();
		for (String name : controlNames()) {
			request(peerAddress(name), new ViewQuery()).filter(ViewAnswer.class::isInstance)
				.ifPresent((answer) -> views.put(name, (ViewAnswer) answer));
		}
		return views;
	}

	/**
	 * Returns the control leader whose authority has not expired.
	 * @return name of the control daemon, or empty
	 */
	public Optional<String> leader() {
		return views().entrySet()
			.stream()
			.filter((entry) -> entry.getValue().leader())
			.map(Map.Entry::getKey)
			.findFirst();
	}

	/**
	 * Returns the view of a group with the highest version among the control daemons.
	 * @param group name of the group
	 * @return the view, or empty
	 */
	public Optional<GroupView> group(String group) {
		return views().values()
			.stream()
			.map((answer) -> answer.view().groups().get(group))
			.filter((view) -> view != null)
			.max(Comparator.comparingLong(GroupView::version));
	}

	/**
	 * Returns the confirmed primary of a group.
	 * @param group name of the group
	 * @return name of the member, or empty
	 */
	public Optional<String> primary(String group) {
		return group(group).map(GroupView::primary).filter((primary) -> !primary.isEmpty());
	}

	/**
	 * Returns the owner of a group.
	 * @param group name of the group
	 * @return name of the entry daemon, or empty
	 */
	public Optional<String> owner(String group) {
		return group(group).map(GroupView::owner).filter((owner) -> !owner.isEmpty());
	}

	/**
	 * Polls a condition until it holds.
	 * @param description description of the condition for the error message
	 * @param condition the condition
	 * @throws IllegalStateException if the condition does not hold within 60 s
	 */
	public void await(String description, BooleanSupplier condition) {
		long deadline = awaitDeadline();
		while (!condition.getAsBoolean()) {
			if (deadline - this.clock.nanoseconds() <= 0) {
				throw new IllegalStateException(
						"timed out waiting for " + description + "; log folder: " + this.folder);
			}
			try {
				Thread.sleep(POLL_INTERVAL_MILLISECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IllegalStateException("interrupted while waiting for " + description, ex);
			}
		}
	}

	/**
	 * Changes the fault mode of all routes between one control daemon and the other
	 * daemons, whichever side connects. A follower redirects daemons to the leader with
	 * the address of its own route to the leader, so all routes to a control daemon must
	 * be changed together.
	 * @param control name of the control daemon
	 * @param mode the fault mode
	 */
	public void changeControlRoutes(String control, FaultMode mode) {
		for (String other : daemonNames()) {
			if (!other.equals(control)) {
				proxy().change(routeName(other, control), mode, 0);
				if (controlNames().contains(other)) {
					proxy().change(routeName(control, other), mode, 0);
				}
			}
		}
	}

	/**
	 * Returns the name of the route on which one daemon connects to a control daemon.
	 * @param daemon name of the connecting daemon
	 * @param control name of the control daemon
	 * @return the name
	 */
	public static String routeName(String daemon, String control) {
		return daemon + ">" + control;
	}

	/**
	 * Returns the fault-injecting proxy. The route to a database member is named after
	 * the member, such as {@code group-1/member-1}; it carries the connections of the
	 * owner and the replication connections of the replicas.
	 * @return the proxy
	 * @throws IllegalStateException if the fleet runs without a proxy
	 */
	public FaultProxy proxy() {
		return this.proxy.orElseThrow(() -> new IllegalStateException("the fleet has no proxy"));
	}

	/**
	 * Starts a database member, or restarts it with an empty log.
	 * @param group name of the group
	 * @param member name of the member
	 */
	public void startMember(String group, String member) {
		String name = group + "/" + member;
		String address = HOST + ":" + this.httpPorts.get(name);
		boolean initialPrimary = !this.processes.containsKey(name) && member.equals(memberNames().get(0));
		List<String> arguments = new ArrayList<>(
				List.of("--group", group, "--member", member, "--address", address, "--zone", "zone-" + zone(member),
						"--announce", entryAddresses(), "--slots", String.valueOf(this.options.slots()),
						"--connection-limit", String.valueOf(this.options.connectionLimit()), "--read-milliseconds",
						String.valueOf(this.options.readMilliseconds()), "--write-milliseconds",
						String.valueOf(this.options.writeMilliseconds()), "--lag-milliseconds",
						String.valueOf(this.options.lagMilliseconds())));
		if (this.proxy.isPresent()) {
			arguments.addAll(List.of("--announced-address", HOST + ":" + this.routePorts.get(name)));
		}
		if (initialPrimary) {
			arguments.addAll(List.of("--role", "PRIMARY", "--term", "1"));
		}
		this.processes.put(name, this.harness.start(group + "-" + member, STAND_IN_CLASS, arguments));
	}

	/**
	 * Writes the settings of a daemon and starts it, or restarts it after it has ended.
	 * @param name name of the daemon
	 */
	public void startDaemon(String name) {
		Path file = writeSettings(name);
		this.processes.put(name, this.harness.start(name, DAEMON_CLASS, List.of("--settings", file.toString())));
	}

	/**
	 * Starts another main class with the class path of the current process.
	 * @param name name of the process
	 * @param mainClass name of the class
	 * @param arguments command line arguments
	 * @return the process
	 */
	public ManagedProcess startProcess(String name, String mainClass, List<String> arguments) {
		ManagedProcess process = this.harness.start(name, mainClass, arguments);
		this.processes.put(name, process);
		return process;
	}

	/**
	 * Deletes the data folder of a control daemon that is not running, like the loss of
	 * its disk.
	 * @param name name of the control daemon
	 * @throws UncheckedIOException if the folder cannot be deleted
	 */
	public void deleteDataFolder(String name) {
		Path data = this.folder.resolve(name + "-data");
		try (java.util.stream.Stream<Path> files = Files.walk(data)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public void close() {
		this.harness.close();
		this.client.close();
		this.proxy.ifPresent(FaultProxy::close);
	}

	private void initialize() {
		await("the control cluster to be initialized", () -> {
			Optional<Object> answer = request(peerAddress("control-1"), new InitializeRequest());
			return answer.filter((message) -> message instanceof InitializeAnswer initialized && initialized.accepted())
				.isPresent() || leader().isPresent();
		});
	}

	private Optional<Object> request(String address, Object message) {
		try {
			return Optional
				.of(this.client.request(address, message, this.clock.nanoseconds() + QUERY_TIMEOUT_NANOSECONDS).join());
		}
		catch (CompletionException ex) {
			return Optional.empty();
		}
	}

	private Path writeSettings(String name) {
		boolean control = name.startsWith("control-");
		StringBuilder text = new StringBuilder();
		text.append("[daemon]\nname = \"%s\"\nrole = \"%s\"\navailability_zone = \"zone-%s\"\nthreads = 4\n"
			.formatted(name, control ? "control" : "entry", zone(name)));
		text.append("[peer]\nhost = \"%s\"\nport = %d\n".formatted(HOST, this.peerPorts.get(name)));
		text.append("[http]\nhost = \"%s\"\nport = %d\n".formatted(HOST, this.httpPorts.get(name)));
		text.append(control ? "[control]\ndata_folder = \"%s-data\"\nsnapshot_entries = 2000\n".formatted(name)
				: "[session]\nkey_file = \"session.key\"\n");
		text.append("[control.members]\n");
		controlNames()
			.forEach((member) -> text.append("%s = \"%s\"\n".formatted(member, controlAddress(name, member))));
		try {
			return Files.writeString(this.folder.resolve(name + ".toml"), text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private String controlAddress(String daemon, String control) {
		Integer port = this.routePorts.get(routeName(daemon, control));
		return (port != null) ? HOST + ":" + port : peerAddress(control);
	}

	private void addRoutes(FaultProxy faultProxy) {
		InetSocketAddress anyPort = new InetSocketAddress(HOST, 0);
		for (String daemon : daemonNames()) {
			for (String control : controlNames()) {
				// A control daemon is configured with its own address without a proxy.
				if (!daemon.equals(control)) {
					InetSocketAddress target = new InetSocketAddress(HOST, this.peerPorts.get(control));
					String name = routeName(daemon, control);
					this.routePorts.put(name, faultProxy.addRoute(name, anyPort, target));
				}
			}
		}
		for (String member : qualifiedMemberNames()) {
			InetSocketAddress target = new InetSocketAddress(HOST, this.httpPorts.get(member));
			this.routePorts.put(member, faultProxy.addRoute(member, anyPort, target));
		}
	}

	private List<String> daemonNames() {
		List<String> daemons = new ArrayList<>(controlNames());
		daemons.addAll(entryNames());
		return daemons;
	}

	private List<String> qualifiedMemberNames() {
		return groupNames().stream()
			.flatMap((group) -> memberNames().stream().map((member) -> group + "/" + member))
			.toList();
	}

	private void reservePorts() {
		List<String> daemons = daemonNames();
		List<String> members = qualifiedMemberNames();
		List<Integer> ports = FreePorts.find(2 * daemons.size() + members.size());
		int next = 0;
		for (String daemon : daemons) {
			this.peerPorts.put(daemon, ports.get(next++));
			this.httpPorts.put(daemon, ports.get(next++));
		}
		for (String member : members) {
			this.httpPorts.put(member, ports.get(next++));
		}
	}

	private static String zone(String name) {
		int number = Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
		return String.valueOf((number - 1) % 4 + 1);
	}

	private static List<String> names(String prefix, int count) {
		List<String> names = new ArrayList<>();
		for (int number = 1; number <= count; number++) {
			names.add(prefix + number);
		}
		return names;
	}

	private long awaitDeadline() {
		return this.clock.nanoseconds() + AWAIT_TIMEOUT_NANOSECONDS;
	}

}
