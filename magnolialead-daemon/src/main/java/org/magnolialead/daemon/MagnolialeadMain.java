package org.magnolialead.daemon;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.daemon.settings.DaemonSettings;
import org.magnolialead.daemon.settings.SettingsReader;

/**
 * Entry point of the {@code magnolialead} binary.
 */
public final class MagnolialeadMain {

	private static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";

	/**
	 * Name of {@link ShutdownLogManager}, as text because the JDK reads the property when
	 * that class is initialized.
	 */
	private static final String LOG_MANAGER = "org.magnolialead.daemon.ShutdownLogManager";

	private static final int EXIT_OK = 0;

	private static final int EXIT_FAILED = 1;

	private static final int EXIT_USAGE = 2;

	@Option(name = "--settings", metaVar = "FILE", usage = "start a daemon with the settings in FILE",
			forbids = "--check-settings")
	private Path settings;

	@Option(name = "--check-settings", metaVar = "FILE", usage = "check the settings in FILE and exit",
			forbids = "--settings")
	private Path checkSettings;

	@Option(name = "--help", help = true, usage = "print this help")
	private boolean help;

	private final long launchedAt = MonotonicClock.SYSTEM.nanoseconds();

	private final DaemonExtension extension;

	private MagnolialeadMain(DaemonExtension extension) {
		this.extension = extension;
	}

	/**
	 * Starts the daemon or checks its settings.
	 * @param arguments command line
	 */
	public static void main(String[] arguments) {
		launch(arguments, DaemonExtension.NONE);
	}

	/**
	 * Runs the binary with an extension for a platform.
	 * @param arguments command line arguments
	 * @param extension the extension
	 */
	public static void launch(String[] arguments, DaemonExtension extension) {
		setUpLogging();
		exitUnlessOk(new MagnolialeadMain(extension).run(arguments));
	}

	/**
	 * Starts a daemon with an extension for a platform that names the settings file
	 * without a command line. Reading a command line is left out because it takes a tenth
	 * of the start.
	 * @param settings the settings file
	 * @param extension the extension
	 */
	public static void launch(Path settings, DaemonExtension extension) {
		setUpLogging();
		MagnolialeadMain main = new MagnolialeadMain(extension);
		main.settings = settings;
		exitUnlessOk(main.start());
	}

	private static void setUpLogging() {
		System.setProperty(LOG_MANAGER_PROPERTY, LOG_MANAGER);
		ShutdownLogManager.useStandardOutput();
	}

	private static void exitUnlessOk(int exitCode) {
		if (exitCode != EXIT_OK) {
			ShutdownLogManager.close();
			System.exit(exitCode);
		}
	}

	private int run(String[] arguments) {
		CmdLineParser parser = new CmdLineParser(this);
		try {
			parser.parseArgument(arguments);
		}
		catch (CmdLineException ex) {
			System.err.println("magnolialead: " + ex.getMessage());
			return EXIT_USAGE;
		}
		if (this.help) {
			parser.printUsage(System.out);
			return EXIT_OK;
		}
		if (this.settings == null && this.checkSettings == null) {
			System.err.println("magnolialead: either --settings FILE or --check-settings FILE is required");
			return EXIT_USAGE;
		}
		return (this.checkSettings != null) ? check() : start();
	}

	private int check() {
		try {
			SettingsReader.read(this.checkSettings);
			System.out.println(this.checkSettings + ": settings are valid");
			return EXIT_OK;
		}
		catch (MagnolialeadException ex) {
			System.err.println("magnolialead: " + ex.getMessage());
			return EXIT_FAILED;
		}
	}

	/**
	 * Stops the daemon and ends the process with code 0. The JVM would end with 128 plus
	 * the number of the signal otherwise.
	 * @param daemon the daemon
	 */
	private static void stop(Daemon daemon) {
		daemon.shutDown();
		ShutdownLogManager.close();
		Runtime.getRuntime().halt(EXIT_OK);
	}

	// Seeds are the only settings that change while a daemon runs, and a daemon that runs
	// has learned the addresses behind them. So the file is only checked.
	private void reload() {
		try {
			SettingsReader.read(this.settings);
			LogEvent.SETTINGS_RELOADED.log(System.getLogger(MagnolialeadMain.class.getName()), this.settings);
		}
		catch (MagnolialeadException ex) {
			LogEvent.SETTINGS_REFUSED.log(System.getLogger(MagnolialeadMain.class.getName()), ex.getMessage());
		}
	}

	private int start() {
		try {
			DaemonSettings checked = SettingsReader.read(this.settings);
			Daemon daemon = Daemon.start(checked, this.extension, this.launchedAt);
			ReloadSignal.handle(this::reload);
			Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "shutdown"));
			new CountDownLatch(1).await();
			return EXIT_OK;
		}
		catch (MagnolialeadException ex) {
			LogEvent.DAEMON_START_FAILED.log(System.getLogger(MagnolialeadMain.class.getName()), ex.getMessage());
			System.err.println("magnolialead: " + ex.getMessage());
			return EXIT_FAILED;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return EXIT_FAILED;
		}
	}

}
