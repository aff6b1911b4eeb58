package org.magnolialead.testsupport.standin;

import java.util.Arrays;
import java.util.List;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.magnolialead.api.MemberRole;

/**
 * Runs a database stand-in as a separate process.
 */
public final class DatabaseStandInMain {

	@Option(name = "--group", required = true, usage = "name of the database group")
	private String group;

	@Option(name = "--member", required = true, usage = "name of the member")
	private String member;

	@Option(name = "--address", usage = "address to listen on, host:port")
	private String address = "127.0.0.1:0";

	@Option(name = "--zone", usage = "availability zone")
	private String zone = "zone-1";

	@Option(name = "--announce", usage = "HTTP addresses of daemons, separated by commas")
	private String announce = "";

	@Option(name = "--slots", usage = "number of statements executed concurrently")
	private int slots = 2;

	@Option(name = "--connection-limit", usage = "maximum number of connections")
	private int connectionLimit = 20;

	@Option(name = "--connection-cost-milliseconds",
			usage = "time from opening a connection until its first request is handled, in milliseconds")
	private long connectionCostMilliseconds = 10;

	@Option(name = "--read-milliseconds", usage = "service time of a read, in milliseconds")
	private long readMilliseconds = 2;

	@Option(name = "--write-milliseconds", usage = "service time of a write, in milliseconds")
	private long writeMilliseconds = 3;

	@Option(name = "--lag-milliseconds",
			usage = "replication lag between receiving and applying a record, in milliseconds")
	private long lagMilliseconds;

	@Option(name = "--role", usage = "initial role")
	private MemberRole role = MemberRole.REPLICA;

	@Option(name = "--term", usage = "initial term")
	private long term;

	@Option(name = "--primary",
			usage = "address of the primary from which an initial replica copies records, host:port")
	private String primary = "";

	@Option(name = "--announced-address",
			usage = "address to announce if it differs from the listening address, host:port")
	private String announcedAddress = "";

	private DatabaseStandInMain() {
	}

	/**
	 * Starts the stand-in and prints {@code listening on host:port} with its address.
	 * @param arguments command line arguments
	 */
	public static void main(String[] arguments) {
		InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
		DatabaseStandInMain main = new DatabaseStandInMain();
		CmdLineParser parser = new CmdLineParser(main);
		try {
			parser.parseArgument(arguments);
			DatabaseStandIn standIn = new DatabaseStandIn(main.settings()).start();
			System.out.println("listening on " + standIn.address());
		}
		catch (CmdLineException | IllegalArgumentException ex) {
			System.err.println("database stand-in: " + ex.getMessage());
			System.exit(2);
		}
		catch (Exception ex) {
			System.err.println("database stand-in: cannot listen: " + ex.getMessage());
			System.exit(1);
		}
	}

	private StandInSettings settings() {
		int separator = this.address.lastIndexOf(':');
		if (separator < 1) {
			throw new IllegalArgumentException("address must have the form host:port, found " + this.address);
		}
		List<String> announceAddresses = Arrays.stream(this.announce.split(","))
			.filter((item) -> !item.isBlank())
			.toList();
		return new StandInSettings(this.group, this.member, this.address.substring(0, separator),
				Integer.parseInt(this.address.substring(separator + 1)), this.zone, announceAddresses, this.slots,
				this.connectionLimit, this.connectionCostMilliseconds, this.readMilliseconds, this.writeMilliseconds,
				this.lagMilliseconds, this.role, this.term, this.primary, this.announcedAddress);
	}

}
