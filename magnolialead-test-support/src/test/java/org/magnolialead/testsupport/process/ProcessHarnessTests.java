package org.magnolialead.testsupport.process;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnolialead.testsupport.standin.DatabaseStandInMain;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against processes that outlive their test, and against invalid arguments that
 * are not reported at once.
 */
class ProcessHarnessTests {

	private static final Pattern LISTENING = Pattern.compile("listening on 127\\.0\\.0\\.1:([0-9]+)");

	@TempDir
	Path folder;

	/**
	 * Guards against a child process that survives the harness because it is frozen by
	 * SIGSTOP.
	 */
	@Test
	void closeEndsFrozenProcesses() {
		ManagedProcess process;
		try (ProcessHarness harness = new ProcessHarness(this.folder, List.of("-Xmx64m"))) {
			process = harness.start("member", DatabaseStandInMain.class.getName(),
					List.of("--group", "g", "--member", "a"));
			int port = Integer.parseInt(process.awaitOutput(LISTENING, deadline()).group(1));
			process.awaitPort("127.0.0.1", port, deadline());
			process.freeze();
			process.resume();
			process.freeze();
			assertThat(process.isAlive()).isTrue();
		}
		assertThat(process.isAlive()).isFalse();
	}

	/**
	 * Guards against invalid arguments that leave a process running or print a stack
	 * trace.
	 */
	@Test
	void wrongArgumentsEndWithCodeTwoAndOneLine() {
		try (ProcessHarness harness = new ProcessHarness(this.folder, List.of("-Xmx64m"))) {
			ManagedProcess process = harness.start("member", DatabaseStandInMain.class.getName(),
					List.of("--group", "g"));
			assertThat(process.awaitExit(deadline()).orElseThrow()).isEqualTo(2);
			assertThat(process.output().lines().count()).withFailMessage(() -> process.output()).isEqualTo(1);
		}
	}

	private static long deadline() {
		return System.nanoTime() + TimeUnit.MINUTES.toNanos(2);
	}

}
