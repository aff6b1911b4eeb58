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

/**
 * Reads and checks the settings file of a daemon.
 */
public final class SettingsReader {

	/**
	 * Least size of the key that signs session tokens, in bytes.
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

	private static final int DEFAULT_SNAPSHOT_ENTRIES = 20_000;

	private static final int MAXIMUM_THREADS = 64;

	private static final int LEAST_ELECTION_TIMEOUT_MILLISECONDS = 100;

	private static final int MAXIMUM_GRACE_SECONDS = 3_600;

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");

	private static final Pattern IP_NUMBER = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[?[0-9a-fA-F:]+\\]?");

	private SettingsReader() {
	}

	/**
	 * Reads and checks a settings file.
	 * @param file the TOML file
	 * @return the settings
	 * @throws MagnolialeadException with code {@code INVALID_SETTINGS} and a message that
	 * names file, key, the value found and what is allowed
	 */
	public static DaemonSettings read(Path file) {
		SettingsSection root = new SettingsSection(file, "", parse(file));
		SettingsSection daemon = root.section("daemon");
		String name = name(daemon, "name");
		DaemonRole role = daemon.choice("role", DaemonRole.class);
		String availabilityZone = daemon.text("availability_zone");
		int threads = daemon.wholeNumber("threads", 1, MAXIMUM_THREADS,
				Math.max(2, Math.min(8, Runtime.getRuntime().availableProcessors())));
		daemon.refuseUnknownKeys();
		SettingsSection peerSection = root.section("peer");
		DaemonSettings.PeerSettings peer = new DaemonSettings.PeerSettings(ipNumber(peerSection, "host"),
				peerSection.wholeNumber("port", 1, MAXIMUM_PORT));
		peerSection.refuseUnknownKeys();
		DaemonSettings.HttpSettings http = http(root.section("http"));
		if (http.host().equals(peer.host()) && http.port() == peer.port()) {
			throw root.invalid("http.port", String.valueOf(http.port()), "a port other than peer.port");
		}
		SettingsSection control = root.section("control");
		Optional<DaemonSettings.SeedSettings> seeds = seeds(control);
		Map<String, String> members = seeds.isPresent() ? Map.of()
				: controlMembers(control.section("members"), control);
		Optional<Path> dataFolder = control.optionalText("data_folder").map((text) -> resolve(file, text));
		int snapshotEntries = control.wholeNumber("snapshot_entries", 10, 10_000_000, DEFAULT_SNAPSHOT_ENTRIES);
		int electionTimeout = control.wholeNumber("election_timeout_milliseconds", LEAST_ELECTION_TIMEOUT_MILLISECONDS,
				MAXIMUM_TIMEOUT_MILLISECONDS, DaemonSettings.DEFAULT_ELECTION_TIMEOUT_MILLISECONDS);
		control.refuseUnknownKeys();
		SettingsSection session = root.section("session");
		Optional<Path> keyFile = session.optionalText("key_file").map((text) -> resolve(file, text));
		session.refuseUnknownKeys();
		Optional<DaemonSettings.SessionSettings> sessions = sessions(root.section("sessions"));
		root.refuseUnknownKeys();
		checkRole(role, dataFolder, control);
		if (role == DaemonRole.CONTROL && seeds.isEmpty() && !peer.address().equals(members.get(name))) {
			throw control.invalid("members", members.toString(),
					"a table in which \"%s\" has the address of this daemon, %s".formatted(name, peer.address()));
		}
		if (role == DaemonRole.ENTRY && sessions.isEmpty()) {
			checkKeyFile(keyFile, session);
		}
		return new DaemonSettings(file, name, role, availabilityZone, peer, members, http, keyFile, dataFolder,
				snapshotEntries, electionTimeout, threads, seeds, sessions);
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
			throw invalid(file, "the file cannot be read: " + ex, ex);
		}
	}

	private static MagnolialeadException invalid(Path file, String message, Exception cause) {
		return new MagnolialeadException(ErrorCode.INVALID_SETTINGS, Step.SETTINGS, "", file + ": " + message, cause);
	}

	private static DaemonSettings.HttpSettings http(SettingsSection http) {
		Optional<String> address = http.optionalText("address");
		address.ifPresent((text) -> checkAddress(http, "address", text));
		String host = address.map((text) -> text.substring(0, text.lastIndexOf(':')))
			.orElseGet(() -> ipNumber(http, "host"));
		int port = address.map((text) -> Integer.parseInt(text.substring(text.lastIndexOf(':') + 1)))
			.orElseGet(() -> http.wholeNumber("port", 1, MAXIMUM_PORT));
		DaemonSettings.HttpSettings settings = new DaemonSettings.HttpSettings(host, port,
				http.wholeNumber("maximum_body_bytes", 1, MAXIMUM_BODY_BYTES, DEFAULT_BODY_BYTES),
				http.wholeNumber("maximum_header_bytes", 512, MAXIMUM_BODY_BYTES, DEFAULT_HEADER_BYTES),
				http.wholeNumber("receive_timeout_milliseconds", 10, MAXIMUM_TIMEOUT_MILLISECONDS,
						DEFAULT_RECEIVE_TIMEOUT_MILLISECONDS),
				http.wholeNumber("idle_timeout_milliseconds", 10, MAXIMUM_TIMEOUT_MILLISECONDS,
						DEFAULT_IDLE_TIMEOUT_MILLISECONDS),
				http.wholeNumber("maximum_connections", 1, MAXIMUM_CONNECTIONS, DEFAULT_CONNECTIONS));
		if (settings.idleTimeoutMilliseconds() < settings.receiveTimeoutMilliseconds()) {
			throw http.invalid("idle_timeout_milliseconds", String.valueOf(settings.idleTimeoutMilliseconds()),
					"at least receive_timeout_milliseconds, %d".formatted(settings.receiveTimeoutMilliseconds()));
		}
		http.refuseUnknownKeys();
		return settings;
	}

	private static Map<String, String> controlMembers(SettingsSection members, SettingsSection control) {
		Map<String, String> addresses = members.textsByKey();
		if (addresses.isEmpty()) {
			throw control.invalid("members", "nothing", "a table with the name and address of each control daemon");
		}
		addresses.forEach((member, address) -> checkAddress(members, member, address));
		return addresses;
	}

	private static Optional<DaemonSettings.SeedSettings> seeds(SettingsSection control) {
		Optional<String> texts = control.optionalText("seeds");
		if (texts.isEmpty()) {
			return Optional.empty();
		}
		List<String> addresses = List.of(texts.get().split(","));
		addresses.forEach((address) -> checkAddress(control, "seeds", address));
		int peerPort = control.wholeNumber("peer_port", 1, MAXIMUM_PORT);
		boolean firstStart = control.flag("first_start", false);
		return Optional.of(new DaemonSettings.SeedSettings(addresses, peerPort, firstStart));
	}

	private static Optional<DaemonSettings.SessionSettings> sessions(SettingsSection sessions) {
		if (!sessions.isPresent()) {
			return Optional.empty();
		}
		String address = sessions.text("address");
		checkAddress(sessions, "address", address);
		String promotionAddress = sessions.text("promotion_address");
		checkAddress(sessions, "promotion_address", promotionAddress);
		long grace = TimeUnit.SECONDS.toMillis(sessions.wholeNumber("grace_seconds", 1, MAXIMUM_GRACE_SECONDS));
		Optional<String> startAfter = sessions.optionalText("start_after");
		startAfter.ifPresent((other) -> checkAddress(sessions, "start_after", other));
		sessions.refuseUnknownKeys();
		int colon = address.lastIndexOf(':');
		return Optional.of(new DaemonSettings.SessionSettings(address.substring(0, colon),
				Integer.parseInt(address.substring(colon + 1)), promotionAddress, grace, startAfter));
	}

	private static void checkAddress(SettingsSection section, String key, String address) {
		if (!isAddress(address)) {
			throw section.invalid(key, "\"" + address + "\"", "an IP number and a port, such as \"10.0.0.1:7001\"");
		}
	}

	private static boolean isAddress(String address) {
		int colon = address.lastIndexOf(':');
		return colon > 0 && IP_NUMBER.matcher(address.substring(0, colon)).matches()
				&& address.substring(colon + 1).matches("[1-9][0-9]{0,4}")
				&& Integer.parseInt(address.substring(colon + 1)) <= MAXIMUM_PORT;
	}

	private static void checkRole(DaemonRole role, Optional<Path> dataFolder, SettingsSection control) {
		if (role == DaemonRole.CONTROL && dataFolder.isEmpty()) {
			throw control.invalid("data_folder", "nothing", "a folder on a disk, as daemon.role is control");
		}
		if (role == DaemonRole.ENTRY && dataFolder.isPresent()) {
			throw control.invalid("data_folder", dataFolder.get().toString(), "nothing, as daemon.role is entry");
		}
	}

	private static void checkKeyFile(Optional<Path> keyFile, SettingsSection session) {
		if (keyFile.isEmpty()) {
			throw session.invalid("key_file", "nothing",
					"a file with at least %d bytes, as daemon.role is entry".formatted(MINIMUM_KEY_BYTES));
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
		String name = section.text(key);
		if (!NAME.matcher(name).matches()) {
			throw section.invalid(key, "\"" + name + "\"", "1 to 64 letters, digits, dots, underscores or hyphens");
		}
		return name;
	}

	private static String ipNumber(SettingsSection section, String key) {
		String host = section.text(key);
		if (!IP_NUMBER.matcher(host).matches()) {
			throw section.invalid(key, "\"" + host + "\"", "an IP number");
		}
		return host;
	}

	private static Path resolve(Path file, String text) {
		return file.toAbsolutePath().getParent().resolve(text).normalize();
	}

}
