package org.magnolialead.testsupport.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.testsupport.fleet.Fleet;
import org.magnolialead.testsupport.fleet.FleetOptions;
import org.magnolialead.testsupport.process.ManagedProcess;

/**
 * Starts three control daemons, two entry daemons and one database group of three
 * stand-ins, kills the primary under a mixed load, overloads the group with requests of
 * the lowest and then of the highest rank, and prints the four measures and whether each
 * invariant held. Exits with 0 only if no invariant was violated.
 */
public final class DemoMain {

	private static final String GROUP = "group-1";

	private static final String CTL_CLASS = "org.magnolialead.ctl.MagnolialeadCtl";

	private static final long PRIMARY_KILL_DELAY_MILLISECONDS = 4_000;

	private static final int FAILOVER_SECONDS = 11;

	private static final int OVERLOAD_SECONDS = 6;

	private static final long CTL_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(60);

	private static final int READ_SERVICE_MILLISECONDS = 8;

	private static final int WRITE_SERVICE_MILLISECONDS = 8;

	private static final ObjectMapper JSON = new ObjectMapper();

	private final Path folder;

	private final Fleet fleet;

	private final List<LoadResult> results = new ArrayList<>();

	private DemoMain(Path folder) {
		this.folder = folder;
		this.fleet = new Fleet(folder,
				FleetOptions.small().withServiceTimes(READ_SERVICE_MILLISECONDS, WRITE_SERVICE_MILLISECONDS));
	}

	/**
	 * Runs the demonstration.
	 * @param arguments folder for logs and settings; a temporary folder if absent
	 * @throws IOException if the folder cannot be written
	 * @throws InterruptedException if the run is interrupted
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException {
		Path folder = (arguments.length > 0) ? Path.of(arguments[0]) : Files.createTempDirectory("magnolialead-demo");
		DemoMain demo = new DemoMain(folder);
		boolean passed = false;
		try {
			passed = demo.run();
		}
		finally {
			demo.fleet.close();
		}
		System.exit(passed ? 0 : 1);
	}

	private boolean run() throws IOException, InterruptedException {
		System.out
			.println("starting 3 control daemons, 2 entry daemons and 3 database members; log folder: " + this.folder);
		this.fleet.start();
		runFailover();
		runOverload("flood of browsing", "profile=browsing,rate=4000,kind=read,timeout=500",
				"profile=confirmation,rate=30,kind=write,operation=insert,timeout=1000");
		runOverload("flood of urgent work", "profile=confirmation,rate=1500,kind=write,operation=insert,timeout=500",
				"profile=scheduling,rate=40,kind=write,operation=insert,timeout=1000",
				"profile=browsing,rate=40,kind=read,timeout=1000");
		printResults();
		printServiceLevelReport();
		return this.results.stream().allMatch(LoadResult::passed);
	}

	private void runFailover() throws IOException, InterruptedException {
		System.out.println("mixed load; the primary will be killed after 4 s");
		ManagedProcess load = startLoad("failover", FAILOVER_SECONDS,
				"profile=confirmation,rate=30,kind=write,timeout=4000,resend=0.2",
				"profile=scheduling,rate=20,kind=write,timeout=4000",
				"profile=browsing,rate=150,kind=read,timeout=2000");
		Thread.sleep(PRIMARY_KILL_DELAY_MILLISECONDS);
		String primary = this.fleet.primary(GROUP).orElseThrow();
		this.fleet.process(GROUP + "/" + primary).kill();
		System.out.println("killed primary " + primary);
		awaitResult("failover", load);
		Optional<String> successor = this.fleet.primary(GROUP);
		System.out.println("new primary: " + successor.orElse("none"));
		this.fleet.startMember(GROUP, primary);
	}

	private void runOverload(String name, String... mixes) throws IOException {
		System.out.println(name);
		awaitResult(name, startLoad(name, OVERLOAD_SECONDS, mixes));
	}

	private ManagedProcess startLoad(String name, int seconds, String... mixes) {
		List<String> arguments = new ArrayList<>(List.of("load", "--entry", this.fleet.entryAddresses(), "--group",
				GROUP, "--seconds", String.valueOf(seconds), "--json", reportFile(name).toString()));
		for (String mix : mixes) {
			arguments.add("--mix");
			arguments.add(mix);
		}
		return this.fleet.startProcess("load-" + name.replace(' ', '-'), CTL_CLASS, arguments);
	}

	private void awaitResult(String name, ManagedProcess load) throws IOException {
		int exitCode = load.awaitExit(MonotonicClock.SYSTEM.nanoseconds() + CTL_TIMEOUT_NANOSECONDS).orElse(-1);
		JsonNode report = Files.exists(reportFile(name)) ? JSON.readTree(reportFile(name).toFile())
				: JSON.createObjectNode();
		this.results.add(new LoadResult(name, exitCode, report, load.output()));
	}

	private void printServiceLevelReport() {
		Path page = this.folder.resolve("report.html");
		ManagedProcess report = this.fleet.startProcess("report", CTL_CLASS,
				List.of("report", "--entry", this.fleet.entryAddresses(), "--html", page.toString(), "--save",
						this.folder.resolve("report.json").toString()));
		report.awaitExit(MonotonicClock.SYSTEM.nanoseconds() + CTL_TIMEOUT_NANOSECONDS);
		System.out.println();
		System.out.println("Error budget burn rates, with plots in " + page);
		System.out.println(report.output());
	}

	private Path reportFile(String name) {
		return this.folder.resolve(name.replace(' ', '-') + ".json");
	}

	private void printResults() {
		System.out.println();
		System.out.println("Measures");
		LoadResult failover = this.results.get(0);
		printMeasure("share of browsing reads from replicas", "%.4f",
				failover.mix("browsing").path("replicaShare").asDouble());
		printMeasure("gap in writes during the failover", "%.0f ms",
				failover.report().path("longestWriteGap").path(GROUP).asDouble());
		for (LoadResult result : this.results) {
			result.report()
				.path("mixes")
				.forEach((mix) -> printMeasure(
						"%s: %s done within deadline".formatted(result.name(), mix.path("profile").asText()),
						"%.4f of %d", mix.path("doneWithinDeadline").asDouble(), mix.path("offered").asLong()));
		}
		System.out.println();
		System.out.println("Invariants");
		for (LoadResult result : this.results) {
			System.out.println("  %s: %s".formatted(result.name(), result.passed() ? "held" : "VIOLATED"));
			result.report()
				.path("checks")
				.path("violations")
				.properties()
				.forEach((violation) -> System.out
					.println("    %s: %s".formatted(violation.getKey(), (violation.getValue().asLong() == 0) ? "held"
							: violation.getValue().asLong() + " violations")));
			if (!result.passed()) {
				System.out.println(result.output());
			}
		}
	}

	private static void printMeasure(String name, String format, Object... values) {
		System.out.println("  %-60s %s".formatted(name, String.format(Locale.ROOT, format, values)));
	}

	/**
	 * Result of one run of the load generator.
	 *
	 * @param name name of the run
	 * @param exitCode exit code of the load generator
	 * @param report its report
	 * @param output its output
	 */
	private record LoadResult(String name, int exitCode, JsonNode report, String output) {

		boolean passed() {
			return this.exitCode == 0;
		}

		JsonNode mix(String profile) {
			for (JsonNode mix : this.report.path("mixes")) {
				if (mix.path("profile").asText().equals(profile)) {
					return mix;
				}
			}
			return JSON.createObjectNode();
		}

	}

}
