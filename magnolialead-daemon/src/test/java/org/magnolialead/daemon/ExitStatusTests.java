package org.magnolialead.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Exit status of a process with a running daemon. Guards against a shutdown hook that
 * replaces a failing status by 0, so that the caller of the process takes it for a
 * success.
 */
class ExitStatusTests {

	private static final int FAILED = 3;

	@Test
	void failingStatusReachesTheCaller(@TempDir Path folder) throws IOException, InterruptedException {
		assertThat(runAndExit(folder, FAILED)).isEqualTo(FAILED);
	}

	@Test
	void successReachesTheCaller(@TempDir Path folder) throws IOException, InterruptedException {
		assertThat(runAndExit(folder, 0)).isZero();
	}

	private static int runAndExit(Path folder, int status) throws IOException, InterruptedException {
		Path output = folder.resolve("output");
		Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
				System.getProperty("java.class.path"), ExitingDaemonMain.class.getName(),
				writeSettings(folder).toString(), Integer.toString(status))
			.redirectErrorStream(true)
			.redirectOutput(output.toFile())
			.start();
		int exitStatus = process.waitFor();
		assertThat(Files.readString(output)).contains("graceful shutdown finished");
		return exitStatus;
	}

	private static Path writeSettings(Path folder) throws IOException {
		try (ServerSocket peer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				ServerSocket http = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			String text = """
					[daemon]
					name = "control-1"
					role = "control"
					availability_zone = "zone-1"
					[peer]
					host = "127.0.0.1"
					port = %d
					[http]
					address = "127.0.0.1:%d"
					[control]
					seeds = "127.0.0.1:%d"
					peer_port = %d
					data_folder = "data"
					""".formatted(peer.getLocalPort(), http.getLocalPort(), http.getLocalPort(), peer.getLocalPort());
			return Files.writeString(folder.resolve("control.toml"), text);
		}
	}

}
