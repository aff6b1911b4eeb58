package org.magnolialead.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import org.kohsuke.args4j.Option;
import org.magnolialead.ctl.load.LoadGenerator;
import org.magnolialead.ctl.load.LoadMix;
import org.magnolialead.ctl.load.LoadReport;
import org.magnolialead.ctl.load.LoadSettings;

/**
 * Sends requests at configured rates, measures the responses and checks their
 * consistency.
 */
final class LoadCommand implements CtlCommand {

	private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

	@Option(name = "--entry", metaVar = "HOST:PORT,...", usage = "HTTP addresses of entry daemons")
	private String entry;

	@Option(name = "--direct", metaVar = "HOST:PORT",
			usage = "address of a database member to measure without daemons; replaces --entry")
	private String direct;

	@Option(name = "--group", metaVar = "NAME,...", usage = "database groups")
	private String group = "group-1";

	@Option(name = "--mix", required = true, metaVar = "FIELD=VALUE,...",
			usage = "class of requests: profile, rate, kind=read|write, operation=put|increment|insert|mixed, "
					+ "timeout, keys, resend")
	private List<String> mixes = new ArrayList<>();

	@Option(name = "--seconds", usage = "duration of the run")
	private double seconds = 10;

	@Option(name = "--warm-up-seconds", usage = "initial part of the run that is not measured")
	private double warmUpSeconds = 1;

	@Option(name = "--sessions", usage = "number of sessions")
	private int sessions = 60;

	@Option(name = "--connections", usage = "maximum number of connections to each address")
	private int connections = 256;

	@Option(name = "--idle-connections", usage = "number of idle connections that are kept open")
	private int idleConnections;

	@Option(name = "--verify-profile", usage = "profile of the reads that verify the result after the run")
	private String verifyProfile = "latest";

	@Option(name = "--seed", usage = "seed of the random number generator")
	private long seed = 1;

	@Option(name = "--json", metaVar = "FILE", usage = "file for the report as JSON")
	private Path json;

	@Override
	public void run(CtlContext context) {
		LoadSettings settings = settings();
		LoadReport report = new LoadGenerator(settings).run();
		context.output().print(report.text());
		if (this.json != null) {
			write(report);
		}
		if (!report.checks().passed()) {
			throw CtlException.failure("checks failed: " + report.checks().summary());
		}
	}

	private LoadSettings settings() {
		if ((this.entry == null) == (this.direct == null)) {
			throw CtlException.wrongArguments("exactly one of --entry and --direct must be given");
		}
		List<String> addresses = (this.entry != null) ? AbstractControlCommand.parseAddresses("--entry", this.entry)
				: AbstractControlCommand.parseAddresses("--direct", this.direct);
		try {
			return new LoadSettings(addresses, this.direct != null, Arrays.asList(this.group.split(",")),
					this.mixes.stream().map(LoadMix::parse).toList(), this.seconds, this.warmUpSeconds, this.sessions,
					this.connections, this.idleConnections, this.verifyProfile, this.seed);
		}
		catch (IllegalArgumentException ex) {
			throw CtlException.wrongArguments(ex.getMessage());
		}
	}

	private void write(LoadReport report) {
		try {
			Files.write(this.json, JSON.writeValueAsBytes(report));
		}
		catch (IOException ex) {
			throw CtlException.failure("cannot write " + this.json + ": " + ex.getMessage());
		}
	}

}
