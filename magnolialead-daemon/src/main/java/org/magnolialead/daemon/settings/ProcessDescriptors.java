package org.magnolialead.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Limit of the open descriptors of this process. The management beans know it too, but
 * loading them delays the start of a daemon.
 */
final class ProcessDescriptors {

	private static final Path LIMITS = Path.of("/proc/self/limits");

	private static final String PREFIX = "Max open files";

	/** Assumed if the limit is unknown; the limit of the target VM is 4,300. */
	private static final int DEFAULT_MAXIMUM = 4_096;

	private ProcessDescriptors() {
	}

	/**
	 * Returns the maximum number of open descriptors.
	 * @return the limit of the operating system, or a default if it is unknown or
	 * unlimited
	 */
	static int maximum() {
		try {
			return Files.readAllLines(LIMITS)
				.stream()
				.filter((line) -> line.startsWith(PREFIX))
				.map((line) -> line.substring(PREFIX.length()).strip().split(" ")[0])
				.mapToInt(ProcessDescriptors::parse)
				.findFirst()
				.orElse(DEFAULT_MAXIMUM);
		}
		catch (IOException ex) {
			return DEFAULT_MAXIMUM;
		}
	}

	private static int parse(String number) {
		try {
			return Integer.parseInt(number);
		}
		catch (NumberFormatException ex) {
			return DEFAULT_MAXIMUM;
		}
	}

}
