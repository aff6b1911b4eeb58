package org.magnolialead.processtests;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnolialead.testsupport.fleet.FleetOptions;
import org.magnolialead.testsupport.process.FreePorts;
import org.magnolialead.testsupport.process.ManagedProcess;
import org.magnolialead.testsupport.process.ProcessHarness;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Startup errors. Guards against a daemon that hangs, exits with code 0, or does not
 * report the file and the key of the invalid setting.
 */
class StartTests {

	@TempDir
	private Path folder;

	@Test
	void peerPortInUse() throws IOException {
		try (ServerSocket used = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			assertStartFails(writeSettings(used.getLocalPort(), FreePorts.find(1).get(0), ""), "peer.port");
		}
	}

	@Test
	void httpPortInUse() throws IOException {
		try (ServerSocket used = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			assertStartFails(writeSettings(FreePorts.find(1).get(0), used.getLocalPort(), ""), "http.port");
		}
	}

	@Test
	void unknownKey() throws IOException {
		List<Integer> ports = FreePorts.find(2);
		assertStartFails(writeSettings(ports.get(0), ports.get(1), "colour = \"red\"\n"), "http.colour");
	}

	private void assertStartFails(Path file, String key) {
		try (ProcessHarness harness = new ProcessHarness(this.folder, FleetOptions.SMALL_JVM_OPTIONS)) {
			ManagedProcess process = harness.start("daemon", "org.magnolialead.daemon.MagnolialeadMain",
					List.of("--settings", file.toString()));
			Optional<Integer> exitCode = process.awaitExit(System.nanoTime() + TimeUnit.SECONDS.toNanos(60));
			assertThat(exitCode).as("exit code").isPresent();
			assertThat(exitCode.get()).isNotZero();
			List<String> lines = process.output().lines().filter((line) -> line.startsWith("magnolialead: ")).toList();
			System.out.println(lines);
			assertThat(lines).as(process.output()).hasSize(1);
			assertThat(lines.get(0)).contains(file.toString(), "\"" + key + "\"");
			assertThat(process.output()).doesNotContain("\tat ");
		}
	}

	private Path writeSettings(int peerPort, int httpPort, String extraLine) throws IOException {
		Files.writeString(this.folder.resolve("session.key"), "only for tests: 0123456789abcdef0123456789abcdef");
		String text = """
				[daemon]
				name = "entry-1"
				role = "entry"
				availability_zone = "zone-1"
				[peer]
				host = "127.0.0.1"
				port = %d
				[http]
				host = "127.0.0.1"
				port = %d
				%s[session]
				key_file = "session.key"
				[control.members]
				control-1 = "127.0.0.1:1"
				""".formatted(peerPort, httpPort, extraLine);
		return Files.writeString(this.folder.resolve("entry.toml"), text);
	}

}
