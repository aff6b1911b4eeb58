package org.magnolialead.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.engine.session.SessionLimits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Tests for {@link SettingsReader}.
 */
class SettingsReaderTests {

	private static final String VALID = """
			[daemon]
			name = "entry-1"
			role = "entry"
			availability_zone = "hanoi-1"
			[peer]
			host = "127.0.0.1"
			port = 7000
			[http]
			host = "127.0.0.1"
			port = 8080
			[session]
			key_file = "session.key"
			[control.members]
			control-1 = "127.0.0.1:7001"
			""";

	private static final String SESSIONS = """
			[sessions]
			address = "127.0.0.1:8081"
			promotion_address = "127.0.0.1:8082"
			grace_seconds = 6
			""";

	@TempDir
	private Path folder;

	@ParameterizedTest
	@MethodSource("examples")
	void exampleSettingsAreValid(Path example) {
		assertThat(SettingsReader.read(example).controlMembers()).hasSize(3);
	}

	static Stream<Path> examples() throws IOException {
		try (Stream<Path> files = Files.walk(Path.of("..", "examples"))) {
			return files.filter((file) -> file.toString().endsWith(".toml")).toList().stream();
		}
	}

	// Guards against a daemon that starts with settings that the operator did not intend,
	// for example because of a misspelled key.
	@ParameterizedTest
	@CsvSource(delimiter = '|',
			textBlock = """
					port = 8080         | port = 99999          | key "http.port": found 99999, expected an integer from 1 to 65535
					port = 8080         | port = "8080"         | key "http.port": found "8080", expected an integer
					port = 8080         | port = 7000           | key "http.port": found 7000, expected a port other than peer.port
					port = 8080         | prot = 8080           | key "http.port": found no value
					[session]           | [sesion]              | key "sesion"
					role = "entry"      | role = "proxy"        | key "daemon.role": found proxy, expected one of [entry, control]
					role = "entry"      | role = "control"      | key "control.data_folder": found no value
					name = "entry-1"    | name = "entry 1"      | key "daemon.name"
					host = "127.0.0.1"  | host = "db.internal"  | expected an IP address
					127.0.0.1:7001      | 127.0.0.1             | key "control.members.control-1"
					session.key         | missing.key           | key "session.key_file"
					name = "entry-1"    | name = entry          | is not valid TOML
					""")
	void rejectsInvalidSettingAndNamesKey(String original, String replacement, String expected) throws IOException {
		Path file = write(VALID.replaceFirst(Pattern.quote(original), replacement));
		MagnolialeadException failure = catchThrowableOfType(MagnolialeadException.class,
				() -> SettingsReader.read(file));
		assertThat(failure.code()).isEqualTo(ErrorCode.INVALID_SETTINGS);
		assertThat(failure).hasMessageStartingWith(file.toString()).hasMessageContaining(expected);
		assertThat(failure.getMessage().lines()).hasSize(1);
	}

	// Guards against a daemon whose sessions may keep more than it can hold.
	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			maximum_prepared_statements = 0    | key "sessions.maximum_prepared_statements": found 0
			maximum_prepared_bytes = 0         | key "sessions.maximum_prepared_bytes": found 0
			maximum_variables = 100001         | key "sessions.maximum_variables": found 100001
			maximum_variable_bytes = -1        | key "sessions.maximum_variable_bytes": found -1
			maximum_variable_bytes = 2000000000 | key "sessions.maximum_total_megabytes"
			maximum_total_megabytes = 1048576  | key "sessions.maximum_total_megabytes": found 1048576
			maximum_total_megabytes = 0        | key "sessions.maximum_total_megabytes": found 0
			learned_limits = "yes"             | key "sessions.learned_limits": found
			maximum_connections = 0            | key "sessions.maximum_connections": found 0
			connect_timeout_milliseconds = 9   | key "sessions.connect_timeout_milliseconds": found 9
			line_timeout_milliseconds = 0      | key "sessions.line_timeout_milliseconds": found 0
			maximum_result_bytes = 0           | key "sessions.maximum_result_bytes": found 0
			maximum_client_megabytes = 1048576 | key "sessions.maximum_client_megabytes": found 1048576
			""")
	void rejectsInvalidLimitOfSessions(String limit, String expected) throws IOException {
		Path file = write(VALID + SESSIONS + limit + "\n");
		MagnolialeadException failure = catchThrowableOfType(MagnolialeadException.class,
				() -> SettingsReader.read(file));
		assertThat(failure.code()).isEqualTo(ErrorCode.INVALID_SETTINGS);
		assertThat(failure).hasMessageContaining(expected);
	}

	@Test
	void limitsOfSessionsHaveDefaults() throws IOException {
		SessionLimits limits = SettingsReader.read(write(VALID + SESSIONS)).sessions().orElseThrow().limits();
		assertThat(limits.preparedStatements()).isEqualTo(SessionLimits.DEFAULT_NUMBER);
		assertThat(limits.variableBytes()).isEqualTo(SessionLimits.DEFAULT_BYTES);
		assertThat(limits.totalBytes()).isLessThanOrEqualTo(Runtime.getRuntime().maxMemory() / 4).isPositive();
		String set = SESSIONS + "maximum_variables = 7\nmaximum_total_megabytes = 5\n";
		limits = SettingsReader.read(write(VALID + set)).sessions().orElseThrow().limits();
		assertThat(limits.variables()).isEqualTo(7);
		assertThat(limits.totalBytes()).isEqualTo(5 * 1024 * 1024);
	}

	/**
	 * Guards against a choice of members that changes without the operator's setting.
	 */
	@Test
	void learnedLimitsAreEnabledOnlyByTheirSetting() throws IOException {
		assertThat(SettingsReader.read(write(VALID + SESSIONS)).sessions().orElseThrow().learnedLimits()).isFalse();
		String set = SESSIONS + "learned_limits = true\n";
		assertThat(SettingsReader.read(write(VALID + set)).sessions().orElseThrow().learnedLimits()).isTrue();
	}

	@Test
	void rejectsMissingFile() {
		Path file = this.folder.resolve("absent.toml");
		MagnolialeadException failure = catchThrowableOfType(MagnolialeadException.class,
				() -> SettingsReader.read(file));
		assertThat(failure).hasMessageStartingWith(file.toString());
	}

	private Path write(String text) throws IOException {
		Files.writeString(this.folder.resolve("session.key"), "0123456789abcdef0123456789abcdef");
		return Files.writeString(this.folder.resolve("settings.toml"), text);
	}

}
