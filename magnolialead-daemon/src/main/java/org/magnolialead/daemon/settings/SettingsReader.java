package org.magnolialead.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;
import org.magnolialead.daemon.control.CommandLogSettings;
import org.magnolialead.engine.consensus.FaultTolerance;
import org.magnolialead.engine.quota.RateLimitTolerance;
import org.magnolialead.engine.session.ClientLimits;
import org.magnolialead.engine.session.SessionLimits;

/**
 * Reads and validates the settings file of a daemon.
 */
public final class SettingsReader {

	/**
	 * Minimum size in bytes of the key that signs session tokens.
	 */
	public static final int MINIMUM_KEY_BYTES = 32;

	private static final int MAXIMUM_PORT = 65_535;

	private static final int DEFAULT_BODY_BYTES = 64 * 1024;

	private static final int MAXIMUM_BODY_BYTES = 512 * 1024;

	private static final int DEFAULT_HEADER_BYTES = 16 * 1024;

	private static final int DEFAULT_RECEIVE_TIMEOUT_MILLISECONDS = 10_000;

	private static final int DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 600_000;

	private static final int MAXIMUM_TIMEOUT_MILLISECONDS = 3_600_000;

	private static final int DEFAULT_CONNECTIONS = 5_000;

	private static final int MAXIMUM_CONNECTIONS = 100_000;

	private static final int HTTP_DESCRIPTORS_DIVISOR = 4;

	private static final int TOTAL_BODY_HEAP_DIVISOR = 8;

	private static final int DEFAULT_SNAPSHOT_ENTRIES = 20_000;

	private static final int BYTES_PER_MEGABYTE = 1024 * 1024;

	private static final int MINIMUM_DISK_MEGABYTES = 8;

	private static final int DEFAULT_DISK_MEGABYTES = (int) (CommandLogSettings.DEFAULT_DISK_BYTES
			/ BYTES_PER_MEGABYTE);

	private static final int MAXIMUM_THREADS = 64;

	private static final int MINIMUM_ELECTION_TIMEOUT_MILLISECONDS = 100;

	private static final int MAXIMUM_RATE_LIMIT_WINDOW_SECONDS = 3_600;

	/** Maximum number of operations beyond a rate limit. */
	private static final int MAXIMUM_RATE_LIMIT_SLACK = 1_000_000;

	private static final int MAXIMUM_TOLERATED_LOSSES = 100;

	private static final int MAXIMUM_GRACE_SECONDS = 3_600;

	private static final int MAXIMUM_SESSION_ENTRIES = 100_000;

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");

	private static final Pattern IP_ADDRESS = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[?[0-9a-fA-F:]+\\]?");

	private SettingsReader() {
	}

	/**
	 * Reads and validates a settings file.
	 * @param file the TOML file
	 * @return the settings
	 * @throws MagnolialeadException of code {@code INVALID_SETTINGS} if the file cannot
	 * be read or a value is invalid; the message names the file, the key, the value found
	 * and the expected value
	 */
	public static DaemonSettings read(Path file) {
		SettingsSection root = new SettingsSection(file, "", parse(file));
		SettingsSection daemon = root.section("daemon");
		String name = name(daemon, "name");
		DaemonRole role = daemon.enumValue("role", DaemonRole.class);
		String availabilityZone = daemon.string("availability_zone");
		int threads = daemon.integer("threads", 1, MAXIMUM_THREADS,
				Math.max(2, Math.min(8, Runtime.getRuntime().availableProcessors())));
		daemon.rejectUnknownKeys();
		SettingsSection peerSection = root.section("peer");
		DaemonSettings.PeerSettings peer = new DaemonSettings.PeerSettings(ipAddress(peerSection, "host"),
				peerSection.integer("port", 1, MAXIMUM_PORT));
		peerSection.rejectUnknownKeys();
		DaemonSettings.HttpSettings http = http(root.section("http"));
		if (http.host().equals(peer.host()) && http.port() == peer.port()) {
			throw root.invalid("http.port", String.valueOf(http.port()), "a port other than peer.port");
		}
		SettingsSection control = root.section("control");
		Optional<DaemonSettings.SeedSettings> seeds = seeds(control);
		Map<String, String> members = seeds.isPresent() ? Map.of()
				: controlMembers(control.section("members"), control);
		Optional<Path> dataFolder = control.optionalString("data_folder").map((string) -> resolve(file, string));
		int snapshotEntries = control.integer("snapshot_entries", 10, 10_000_000, DEFAULT_SNAPSHOT_ENTRIES);
		long diskBytes = (long) BYTES_PER_MEGABYTE
				* control.integer("disk_megabytes", MINIMUM_DISK_MEGABYTES, Integer.MAX_VALUE, DEFAULT_DISK_MEGABYTES);
		int electionTimeout = control.integer("election_timeout_milliseconds", MINIMUM_ELECTION_TIMEOUT_MILLISECONDS,
				MAXIMUM_TIMEOUT_MILLISECONDS, DaemonSettings.DEFAULT_ELECTION_TIMEOUT_MILLISECONDS);
		control.rejectUnknownKeys();
		SettingsSection session = root.section("session");
		Optional<Path> keyFile = session.optionalString("key_file").map((string) -> resolve(file, string));
		session.rejectUnknownKeys();
		Optional<DaemonSettings.SessionSettings> sessions = sessions(root.section("sessions"));
		root.rejectUnknownKeys();
		checkRole(role, dataFolder, seeds.isPresent(), control);
		if (role == DaemonRole.CONTROL && seeds.isEmpty() && !peer.address().equals(members.get(name))) {
			throw control.invalid("members", members.toString(),
					"a table in which \"%s\" has the address of this daemon, %s".formatted(name, peer.address()));
		}
		if (role == DaemonRole.ENTRY && sessions.isEmpty()) {
			checkKeyFile(keyFile, session);
		}
		return new DaemonSettings(file, name, role, availabilityZone, peer, members, http, keyFile, dataFolder,
				snapshotEntries, diskBytes, electionTimeout, threads, seeds, sessions);
	}

	private static JsonNode parse(Path file) {
		try {
			return new TomlMapper().readTree(Files.readString(file));
		}
		catch (JsonProcessingException ex) {
			int line = (ex.getLocation() != null) ? ex.getLocation().getLineNr() : 0;
			throw invalid(file, "line %d is not valid TOML: %s".formatted(line, ex.getOriginalMessage()), ex);
		}
		catch (IOException ex) {
			throw invalid(file, "cannot read the file: " + ex, ex);
		}
	}

	private static MagnolialeadException invalid(Path file, String message, Exception cause) {
		return new MagnolialeadException(ErrorCode.INVALID_SETTINGS, Step.SETTINGS, "", file + ": " + message, cause);
	}

	private static DaemonSettings.HttpSettings http(SettingsSection http) {
		Optional<String> address = http.optionalString("address");
		address.ifPresent((string) -> checkAddress(http, "address", string));
		String host = address.map((string) -> string.substring(0, string.lastIndexOf(':')))
			.orElseGet(() -> ipAddress(http, "host"));
		int port = address.map((string) -> Integer.parseInt(string.substring(string.lastIndexOf(':') + 1)))
			.orElseGet(() -> http.integer("port", 1, MAXIMUM_PORT));
		DaemonSettings.HttpSettings settings = new DaemonSettings.HttpSettings(host, port,
				http.integer("maximum_body_bytes", 1, MAXIMUM_BODY_BYTES, DEFAULT_BODY_BYTES),
				http.integer("maximum_header_bytes", 512, MAXIMUM_BODY_BYTES, DEFAULT_HEADER_BYTES),
				http.integer("receive_timeout_milliseconds", 10, MAXIMUM_TIMEOUT_MILLISECONDS,
						DEFAULT_RECEIVE_TIMEOUT_MILLISECONDS),
				http.integer("idle_timeout_milliseconds", 10, MAXIMUM_TIMEOUT_MILLISECONDS,
						DEFAULT_IDLE_TIMEOUT_MILLISECONDS),
				http.integer("maximum_connections", 1, MAXIMUM_CONNECTIONS, defaultHttpConnections()),
				http.integer("maximum_total_body_bytes", 1, Integer.MAX_VALUE, defaultTotalBodyBytes()));
		if (settings.maximumTotalBodyBytes() < settings.maximumBodyBytes()) {
			throw http.invalid("maximum_total_body_bytes", String.valueOf(settings.maximumTotalBodyBytes()),
					"at least maximum_body_bytes, %d".formatted(settings.maximumBodyBytes()));
		}
		if (settings.idleTimeoutMilliseconds() < settings.receiveTimeoutMilliseconds()) {
			throw http.invalid("idle_timeout_milliseconds", String.valueOf(settings.idleTimeoutMilliseconds()),
					"at least receive_timeout_milliseconds, %d".formatted(settings.receiveTimeoutMilliseconds()));
		}
		http.rejectUnknownKeys();
		return settings;
	}

	// The rest of the descriptors is left for clients, members, daemons and files.
	private static int defaultHttpConnections() {
		return Math.max(1, Math.min(DEFAULT_CONNECTIONS, ProcessDescriptors.maximum() / HTTP_DESCRIPTORS_DIVISOR));
	}

	// A body exists up to three times while it is received and parsed.
	private static int defaultTotalBodyBytes() {
		return (int) Math.max(MAXIMUM_BODY_BYTES,
				Math.min(Integer.MAX_VALUE, Runtime.getRuntime().maxMemory() / TOTAL_BODY_HEAP_DIVISOR));
	}

	private static Map<String, String> controlMembers(SettingsSection members, SettingsSection control) {
		Map<String, String> addresses = members.stringsByKey();
		if (addresses.isEmpty()) {
			throw control.invalid("members", "no value", "a table with the name and address of each control daemon");
		}
		addresses.forEach((member, address) -> checkAddress(members, member, address));
		return addresses;
	}

	private static Optional<DaemonSettings.SeedSettings> seeds(SettingsSection control) {
		Optional<String> strings = control.optionalString("seeds");
		if (strings.isEmpty()) {
			return Optional.empty();
		}
		List<String> addresses = List.of(strings.get().split(","));
		addresses.forEach((address) -> checkAddress(control, "seeds", address));
		int peerPort = control.integer("peer_port", 1, MAXIMUM_PORT);
		boolean firstStart = control.booleanValue("first_start", false);
		int losses = control.integer("tolerated_losses", 0, MAXIMUM_TOLERATED_LOSSES, 1);
		FaultTolerance tolerance = new FaultTolerance(Math.max(1, losses));
		return Optional.of(new DaemonSettings.SeedSettings(addresses, peerPort, firstStart, tolerance,
				rateLimitTolerance(control)));
	}

	private static RateLimitTolerance rateLimitTolerance(SettingsSection control) {
		int windowSeconds = control.integer("rate_limit_window_seconds", 1, MAXIMUM_RATE_LIMIT_WINDOW_SECONDS,
				RateLimitTolerance.NONE.windowSeconds());
		double excess = control.number("rate_limit_excess", 0, 1, RateLimitTolerance.NONE.excess());
		int slack = control.integer("rate_limit_slack", 0, MAXIMUM_RATE_LIMIT_SLACK, RateLimitTolerance.NONE.slack());
		return new RateLimitTolerance(windowSeconds, excess, slack);
	}

	private static Optional<DaemonSettings.SessionSettings> sessions(SettingsSection sessions) {
		if (!sessions.isPresent()) {
			return Optional.empty();
		}
		String address = sessions.string("address");
		checkAddress(sessions, "address", address);
		String promotionAddress = sessions.string("promotion_address");
		checkAddress(sessions, "promotion_address", promotionAddress);
		long grace = TimeUnit.SECONDS.toMillis(sessions.integer("grace_seconds", 1, MAXIMUM_GRACE_SECONDS));
		Optional<String> startAfter = sessions.optionalString("start_after");
		startAfter.ifPresent((other) -> checkAddress(sessions, "start_after", other));
		SessionLimits limits = sessionLimits(sessions);
		ClientLimits clients = clientLimits(sessions);
		boolean learnedLimits = sessions.booleanValue("learned_limits", false);
		sessions.rejectUnknownKeys();
		int colon = address.lastIndexOf(':');
		return Optional.of(new DaemonSettings.SessionSettings(address.substring(0, colon),
				Integer.parseInt(address.substring(colon + 1)), promotionAddress, grace, startAfter, limits, clients,
				learnedLimits));
	}

	private static SessionLimits sessionLimits(SettingsSection sessions) {
		int statements = sessions.integer("maximum_prepared_statements", 1, MAXIMUM_SESSION_ENTRIES,
				SessionLimits.DEFAULT_NUMBER);
		int statementBytes = sessions.integer("maximum_prepared_bytes", 1, Integer.MAX_VALUE,
				SessionLimits.DEFAULT_BYTES);
		int variables = sessions.integer("maximum_variables", 1, MAXIMUM_SESSION_ENTRIES, SessionLimits.DEFAULT_NUMBER);
		int variableBytes = sessions.integer("maximum_variable_bytes", 1, Integer.MAX_VALUE,
				SessionLimits.DEFAULT_BYTES);
		long heapBytes = Runtime.getRuntime().maxMemory();
		int largest = Math.max(statementBytes, variableBytes);
		int heapMegabytes = (int) Math.min(Integer.MAX_VALUE, heapBytes / BYTES_PER_MEGABYTE);
		int defaultMegabytes = (int) (SessionLimits.defaultTotalBytes(heapBytes) / BYTES_PER_MEGABYTE);
		int total = sessions.integer("maximum_total_megabytes", 1, heapMegabytes, Math.max(1, defaultMegabytes));
		if ((long) total * BYTES_PER_MEGABYTE < largest) {
			throw sessions.invalid("maximum_total_megabytes", String.valueOf(total),
					"at least maximum_prepared_bytes and maximum_variable_bytes, %d bytes".formatted(largest));
		}
		return new SessionLimits(statements, statementBytes, variables, variableBytes,
				(long) total * BYTES_PER_MEGABYTE);
	}

	private static ClientLimits clientLimits(SettingsSection sessions) {
		long heapBytes = Runtime.getRuntime().maxMemory();
		ClientLimits defaults = ClientLimits.defaults(heapBytes, ProcessDescriptors.maximum());
		int heapMegabytes = (int) Math.max(1, Math.min(Integer.MAX_VALUE, heapBytes / BYTES_PER_MEGABYTE));
		int defaultMegabytes = (int) Math.max(1, defaults.memoryBytes() / BYTES_PER_MEGABYTE);
		return new ClientLimits(
				sessions.integer("maximum_connections", 1, MAXIMUM_CONNECTIONS,
						Math.min(MAXIMUM_CONNECTIONS, defaults.connections())),
				sessions.integer("connect_timeout_milliseconds", 10, MAXIMUM_TIMEOUT_MILLISECONDS,
						defaults.connectTimeoutMilliseconds()),
				sessions.integer("line_timeout_milliseconds", 10, MAXIMUM_TIMEOUT_MILLISECONDS,
						defaults.lineTimeoutMilliseconds()),
				sessions.integer("maximum_result_bytes", 1, Integer.MAX_VALUE, defaults.resultBytes()),
				(long) BYTES_PER_MEGABYTE
						* sessions.integer("maximum_client_megabytes", 1, heapMegabytes, defaultMegabytes));
	}

	private static void checkAddress(SettingsSection section, String key, String address) {
		if (!isAddress(address)) {
			throw section.invalid(key, "\"" + address + "\"", "an IP address and a port, such as \"10.0.0.1:7001\"");
		}
	}

	private static boolean isAddress(String address) {
		int colon = address.lastIndexOf(':');
		return colon > 0 && IP_ADDRESS.matcher(address.substring(0, colon)).matches()
				&& address.substring(colon + 1).matches("[1-9][0-9]{0,4}")
				&& Integer.parseInt(address.substring(colon + 1)) <= MAXIMUM_PORT;
	}

	private static void checkRole(DaemonRole role, Optional<Path> dataFolder, boolean hasSeeds,
			SettingsSection control) {
		if (role == DaemonRole.CONTROL && dataFolder.isEmpty() && !hasSeeds) {
			throw control.invalid("data_folder", "no value",
					"a folder on a disk because daemon.role is control and control.members lists the voters");
		}
		if (role == DaemonRole.ENTRY && dataFolder.isPresent()) {
			throw control.invalid("data_folder", dataFolder.get().toString(), "no value because daemon.role is entry");
		}
	}

	private static void checkKeyFile(Optional<Path> keyFile, SettingsSection session) {
		if (keyFile.isEmpty()) {
			throw session.invalid("key_file", "no value",
					"a file with at least %d bytes because daemon.role is entry".formatted(MINIMUM_KEY_BYTES));
		}
		try {
			long size = Files.size(keyFile.get());
			if (size < MINIMUM_KEY_BYTES) {
				throw session.invalid("key_file", "a file of %d bytes".formatted(size),
						"a file with at least %d bytes".formatted(MINIMUM_KEY_BYTES));
			}
		}
		catch (IOException ex) {
			throw session.invalid("key_file", keyFile.get() + ", which cannot be read", "a readable file");
		}
	}

	private static String name(SettingsSection section, String key) {
		String name = section.string(key);
		if (!NAME.matcher(name).matches()) {
			throw section.invalid(key, "\"" + name + "\"", "1 to 64 letters, digits, dots, underscores or hyphens");
		}
		return name;
	}

	private static String ipAddress(SettingsSection section, String key) {
		String host = section.string(key);
		if (!IP_ADDRESS.matcher(host).matches()) {
			throw section.invalid(key, "\"" + host + "\"", "an IP address");
		}
		return host;
	}

	private static Path resolve(Path file, String string) {
		return file.toAbsolutePath().getParent().resolve(string).normalize();
	}

}
