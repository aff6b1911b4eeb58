package org.magnolialead.ctl;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MemberRole;
import org.magnolialead.api.Step;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand.ChangeConfiguration;
import org.magnolialead.api.message.SubmitCommandAnswer;
import org.magnolialead.api.message.SubmitCommandRequest;
import org.magnolialead.api.message.ViewAnswer;
import org.magnolialead.api.message.ViewQuery;
import org.magnolialead.testsupport.standin.DatabaseStandIn;
import org.magnolialead.testsupport.standin.StandInSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against commands that fail without a clear error line and exit code, or that
 * apply a configuration change twice.
 */
class MagnolialeadCtlTests {

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

	/**
	 * Guards against stack traces, missing error messages and exit code 0 for wrong
	 * arguments.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "", "unknown", "status", "status --control nowhere", "config", "config put-profile",
			"config put-profile p --rank URGENT --freshness MAXIMUM_AGE --control a:1 --expected-version 0",
			"config set-floors --standard 0.4 --browsing 0.4 --control a:1 --expected-version 0",
			"forget-member --control a:1 --group g", "load --mix profile=p", "load --direct a:1",
			"load --direct a:1 --mix profile=p,rate=x", "load --direct a:1 --mix rate=1",
			"load --direct a:1 --mix profile=p,colour=red", "load --direct a:1 --entry b:1 --mix profile=p", "timeline",
			"timeline --request 1", "experiment --deployment nowhere", "experiment --groups 0" })
	void wrongArgumentsEndWithCodeTwoAndOneLine(String line) {
		int exitCode = run(this::unreachable, line.isEmpty() ? new String[0] : line.split(" "));
		assertThat(exitCode).withFailMessage(() -> this.errors.toString()).isEqualTo(2);
		assertOneErrorLine();
	}

	/**
	 * Guards against an endless search for a leader and against exit code 0 on failure.
	 */
	@Test
	void unreachableControlEndsWithCodeOneAndOneLine() {
		assertThat(run(this::unreachable, "config", "show", "--control", "a:1")).isEqualTo(1);
		assertOneErrorLine();
	}

	/**
	 * Guards against a change that is applied twice because it is resent with another
	 * identifier after a lost response, and against a change that does not reach the
	 * leader.
	 */
	@Test
	void changeIsResentToTheLeaderWithTheSameRequestId() {
		List<String> requestIds = new ArrayList<>();
		ControlConnectionFactory connections = (address) -> (message) -> {
			if (address.equals("follower:1")) {
				return new SubmitCommandAnswer(null, ErrorCode.NOT_LEADER, "leader:1");
			}
			requestIds.add(((ChangeConfiguration) ((SubmitCommandRequest) message).command()).requestId());
			return (requestIds.size() == 1) ? new SubmitCommandAnswer(null, ErrorCode.COMMAND_UNKNOWN, "")
					: new SubmitCommandAnswer(CommandResult.accepted(8), null, "");
		};
		int exitCode = run(connections, "config", "remove-profile", "old", "--control", "follower:1",
				"--expected-version", "7");
		assertThat(exitCode).withFailMessage(() -> this.errors.toString()).isEqualTo(0);
		assertThat(requestIds.size()).isEqualTo(2);
		assertThat(requestIds.get(1)).isEqualTo(requestIds.get(0));
		assertThat(text(this.output).contains("version 8")).isTrue();
	}

	/**
	 * Guards against a version conflict that is reported as success.
	 */
	@Test
	void conflictingChangeEndsWithCodeOne() {
		ControlConnectionFactory connections = (address) -> (message) -> new SubmitCommandAnswer(
				CommandResult.refused(ErrorCode.VERSION_CONFLICT, "the version is 9", 9), null, "");
		int exitCode = run(connections, "config", "set-floors", "--standard", "0.2", "--browsing", "0.1", "--control",
				"a:1", "--expected-version", "7");
		assertThat(exitCode).isEqualTo(1);
		assertThat(text(this.errors).contains("VERSION_CONFLICT")).isTrue();
	}

	/**
	 * Guards against a status command that fails because one daemon is down.
	 */
	@Test
	void statusShowsDaemonsThatAreDown() {
		ControlConnectionFactory connections = (address) -> (message) -> {
			if (address.equals("down:1") || !(message instanceof ViewQuery)) {
				throw new MagnolialeadException(ErrorCode.UNREACHABLE, Step.CONTROL, address, "connection refused");
			}
			return new ViewAnswer("c1", true, address, 3, 9, 9, List.of("c1"), FleetView.EMPTY, Map.of());
		};
		assertThat(run(connections, "status", "--control", "down:1,up:1")).withFailMessage(() -> this.errors.toString())
			.isEqualTo(0);
		assertThat(text(this.output).contains("down:1 unreachable")).isTrue();
		assertThat(text(this.output).contains("c1 up:1 leader term 3")).isTrue();
	}

	/**
	 * Guards against a report that differs between the terminal and the file, and against
	 * case-sensitive names of deployments.
	 */
	@Test
	void experimentWritesTheReportAsTextAndJson(@TempDir Path folder) throws IOException {
		Path file = folder.resolve("report.json");
		assertThat(run(this::unreachable, "experiment", "--deployment", "foundation", "--groups", "1", "--seconds", "1",
				"--json", file.toString()))
			.withFailMessage(() -> this.errors.toString())
			.isEqualTo(0);
		assertThat(new ObjectMapper().readTree(file.toFile()).findValuesAsText("policy"))
			.allSatisfy((policy) -> assertThat(text(this.output)).contains(policy))
			.contains("STATIC_SHARES");
	}

	/**
	 * Guards against a load generator that reports violations for a correct database, or
	 * misses responses that belong to other requests.
	 */
	@Test
	void loadChecksPassOnACorrectMemberAndFailOnSwappedResponses() {
		StandInSettings settings = StandInSettings.of("g", "a")
			.withDelays(0, 0, 0, 0)
			.withCapacity(2, 300)
			.withRole(MemberRole.PRIMARY, 1, "");
		try (DatabaseStandIn member = new DatabaseStandIn(settings).start()) {
			String[] load = { "load", "--direct", member.address(), "--mix",
					"profile=scheduling,rate=100,kind=write,timeout=20000", "--mix",
					"profile=browsing,rate=100,timeout=20000", "--seconds", "2", "--warm-up-seconds", "0" };
			assertThat(run(this::unreachable, load)).withFailMessage(() -> this.errors.toString()).isEqualTo(0);
			assertThat(text(this.output).contains("checks: passed")).withFailMessage(() -> this.output.toString())
				.isTrue();
			swapResponses(member);
			assertThat(run(this::unreachable, load)).isEqualTo(1);
			assertThat(text(this.errors).contains("FOREIGN_ANSWER")).withFailMessage(() -> this.errors.toString())
				.isTrue();
		}
	}

	private static void swapResponses(DatabaseStandIn member) {
		try {
			URI target = URI.create("http://" + member.address() + "/control/swap-answers?count=20");
			target.toURL().openStream().close();
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot reach the member", ex);
		}
	}

	private int run(ControlConnectionFactory connections, String... arguments) {
		return new MagnolialeadCtl(connections, stream(this.output), stream(this.errors)).run(arguments);
	}

	private ControlConnection unreachable(String address) {
		throw new MagnolialeadException(ErrorCode.UNREACHABLE, Step.CONTROL, address, "connection refused");
	}

	private void assertOneErrorLine() {
		assertThat(text(this.errors).lines().count()).withFailMessage(() -> this.errors.toString()).isEqualTo(1);
		assertThat(text(this.errors).startsWith("magnolialead-ctl: ")).withFailMessage(() -> this.errors.toString())
			.isTrue();
	}

	private static PrintStream stream(ByteArrayOutputStream target) {
		return new PrintStream(target, true, StandardCharsets.UTF_8);
	}

	private static String text(ByteArrayOutputStream target) {
		return target.toString(StandardCharsets.UTF_8);
	}

}
