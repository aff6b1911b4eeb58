package org.magnolialead.testsupport.fleet;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Starts a fleet on the loopback interface for experiments and keeps it running until
 * this process is terminated.
 */
public final class FleetMain {

	@Option(name = "--folder", required = true, metaVar = "FOLDER", usage = "folder for settings, data and logs")
	private Path folder;

	@Option(name = "--control-daemons", usage = "number of control daemons")
	private int controlDaemons = 3;

	@Option(name = "--entry-daemons", usage = "number of entry daemons")
	private int entryDaemons = 2;

	@Option(name = "--groups", usage = "number of database groups")
	private int groups = 1;

	@Option(name = "--members", usage = "number of members of each group")
	private int members = 3;

	@Option(name = "--slots", usage = "statements that each member executes concurrently")
	private int slots = 2;

	@Option(name = "--connection-limit", usage = "maximum number of connections of each member")
	private int connectionLimit = 20;

	@Option(name = "--read-milliseconds", usage = "service time of a read, in milliseconds")
	private int readMilliseconds = 2;

	@Option(name = "--write-milliseconds", usage = "service time of a write, in milliseconds")
	private int writeMilliseconds = 3;

	@Option(name = "--lag-milliseconds", usage = "replication lag, in milliseconds")
	private int lagMilliseconds = 5;

	private FleetMain() {
	}

	/**
	 * Starts the fleet, prints its addresses and waits for termination.
	 * @param arguments command line arguments
	 * @throws InterruptedException if the wait is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		FleetMain main = new FleetMain();
		try {
			new CmdLineParser(main).parseArgument(arguments);
		}
		catch (CmdLineException ex) {
			System.err.println(ex.getMessage());
			System.exit(2);
		}
		main.run();
	}

	private void run() throws InterruptedException {
		FleetOptions options = new FleetOptions(this.controlDaemons, this.entryDaemons, this.groups, this.members,
				this.slots, this.connectionLimit, this.readMilliseconds, this.writeMilliseconds, this.lagMilliseconds,
				FleetOptions.SMALL_JVM_OPTIONS);
		Fleet fleet = new Fleet(this.folder, options);
		CountDownLatch terminated = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			fleet.close();
			terminated.countDown();
		}));
		fleet.start();
		System.out.println("entry " + fleet.entryAddresses());
		System.out.println("control " + fleet.controlAddresses());
		fleet.groupNames()
			.forEach((group) -> fleet.memberNames()
				.forEach((member) -> System.out.println("member " + fleet.httpAddress(group + "/" + member))));
		System.out.println("ready");
		terminated.await();
	}

}
