package org.magnolialead.daemon;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.daemon.settings.DaemonSettings;
import org.magnolialead.daemon.settings.SettingsReader;

/**
 * Entry point of the {@code magnolialead} command.
 */
public final class MagnolialeadMain {

	private static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";

	/**
	 * Class name of {@link ShutdownLogManager}. A string literal because initializing
	 * that class would make the JDK read the property before it is set.
	 */
	private static final String LOG_MANAGER = "org.magnolialead.daemon.ShutdownLogManager";

	private static final int EXIT_OK = 0;

	private static final int EXIT_FAILED = 1;

	private static final int EXIT_USAGE = 2;

	/** Status with which the process ends once its daemons are shut down. */
	private static final AtomicInteger EXIT_STATUS = new AtomicInteger(EXIT_OK);

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
	 * @param arguments command line arguments
	 */
	public static void main(String[] arguments) {
		launch(arguments, DaemonExtension.NONE);
	}

	/**
	 * Runs the command with a platform extension.
	 * @param arguments command line arguments
	 * @param extension the extension
	 */
	public static void launch(String[] arguments, DaemonExtension extension) {
		setUpLogging();
		exitUnlessOk(new MagnolialeadMain(extension).run(arguments));
	}

	/**
	 * Starts a daemon with a platform extension that supplies the settings file directly.
	 * Skips command line parsing, which takes a tenth of the startup time.
	 * @param settings the settings file
	 * @param extension the extension
	 */
	public static void launch(Path settings, DaemonExtension extension) {
		setUpLogging();
		MagnolialeadMain main = new MagnolialeadMain(extension);
		main.settings = settings;
		exitUnlessOk(main.start());
	}

	/**
	 * Shuts down the daemons that run in this process and ends it with a status. A status
	 * that is passed to {@link System#exit(int)} is replaced by 0 while a daemon runs.
	 * @param status exit status of the process, 0 for success
	 */
	public static void exit(int status) {
		EXIT_STATUS.set(status);
		System.exit(status);
	}

	private static void setUpLogging() {
		System.setProperty(LOG_MANAGER_PROPERTY, LOG_MANAGER);
		ShutdownLogManager.useStandardOutput();
	}

	private static void exitUnlessOk(int exitCode) {
		if (exitCode != EXIT_OK) {
			ShutdownLogManager.close();
			exit(exitCode);
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
	 * Shuts down the daemon and ends the process with the status passed to
	 * {@link #exit(int)}, or with 0 after a signal. Otherwise the JVM would exit with 128
	 * plus the signal number.
	 * @param daemon the daemon
	 */
	private static void stop(Daemon daemon) {
		daemon.shutDown();
		ShutdownLogManager.close();
		Runtime.getRuntime().halt(EXIT_STATUS.get());
	}

	// Only validates the file. Seeds are the only settings that change while a daemon
	// runs, and a running daemon has already learned the addresses of the control
	// daemons.
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
