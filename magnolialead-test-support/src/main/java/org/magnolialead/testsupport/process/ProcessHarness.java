package org.magnolialead.testsupport.process;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Starts Java main classes as child processes and kills them on close.
 */
public final class ProcessHarness implements AutoCloseable {

	private final Path logFolder;

	private final List<String> javaOptions;

	private final int maximumDescriptors;

	private final List<ManagedProcess> processes = new ArrayList<>();

	/**
	 * Creates a harness.
	 * @param logFolder existing folder for the log files of the processes
	 * @param javaOptions options of each Java process, such as {@code -Xmx64m}
	 */
	public ProcessHarness(Path logFolder, List<String> javaOptions) {
		this(logFolder, javaOptions, 0);
	}

	/**
	 * Creates a harness whose processes have a limit of open descriptors.
	 * @param logFolder existing folder for the log files of the processes
	 * @param javaOptions options of each Java process, such as {@code -Xmx64m}
	 * @param maximumDescriptors maximum number of open descriptors of a process, or 0 for
	 * the limit of the current process
	 */
	public ProcessHarness(Path logFolder, List<String> javaOptions, int maximumDescriptors) {
		this.logFolder = Objects.requireNonNull(logFolder, "logFolder must not be null");
		this.javaOptions = List.copyOf(javaOptions);
		this.maximumDescriptors = maximumDescriptors;
	}

	/**
	 * Starts a main class with the class path of the current process.
	 * @param name name of the process and of its log file
	 * @param mainClass name of the main class
	 * @param arguments command line arguments
	 * @return the started process
	 */
	public synchronized ManagedProcess start(String name, String mainClass, List<String> arguments) {
		List<String> command = new ArrayList<>();
		if (this.maximumDescriptors > 0) {
			command.addAll(List.of("sh", "-c", "ulimit -n " + this.maximumDescriptors + " && exec \"$0\" \"$@\""));
		}
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.addAll(this.javaOptions);
		command.add("-cp");
		command.add(classPath());
		command.add(mainClass);
		command.addAll(arguments);
		ManagedProcess process = new ManagedProcess(name, command, this.logFolder.resolve(name + ".log"));
		this.processes.add(process);
		process.start();
		return process;
	}

	/**
	 * Kills all processes of this harness that are still running.
	 */
	@Override
	public synchronized void close() {
		this.processes.forEach(ManagedProcess::kill);
	}

	/**
	 * Returns the class path for child processes. Surefire starts the test JVM with a JAR
	 * that contains only a manifest as class path and passes the effective one in a
	 * system property.
	 * @return the class path
	 */
	private static String classPath() {
		return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
	}

}
