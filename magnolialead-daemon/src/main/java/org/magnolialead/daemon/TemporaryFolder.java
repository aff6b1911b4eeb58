package org.magnolialead.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;
import org.magnolialead.api.log.LogEvent;

/**
 * Creates and deletes the data folder of a control daemon that has no durable one.
 */
final class TemporaryFolder {

	private static final System.Logger LOGGER = System.getLogger(TemporaryFolder.class.getName());

	private TemporaryFolder() {
	}

	/**
	 * Creates an empty folder in the folder for temporary files.
	 * @param daemon name of the daemon
	 * @return the folder
	 * @throws MagnolialeadException of code {@code STORAGE_FAILURE} if it cannot be
	 * created
	 */
	static Path create(String daemon) {
		try {
			return Files.createTempDirectory("magnolialead-" + daemon + "-");
		}
		catch (IOException ex) {
			throw new MagnolialeadException(ErrorCode.STORAGE_FAILURE, Step.CONTROL, "",
					"cannot create a temporary data folder: " + ex, ex);
		}
	}

	/**
	 * Deletes a folder with its files. A file that cannot be deleted is logged and left.
	 * @param folder the folder
	 */
	static void delete(Path folder) {
		try (Stream<Path> files = Files.walk(folder)) {
			List<Path> deepestFirst = files.sorted(Comparator.reverseOrder()).toList();
			for (Path file : deepestFirst) {
				Files.delete(file);
			}
		}
		catch (IOException ex) {
			LogEvent.REQUEST_FAILED_UNEXPECTEDLY.log(LOGGER, ex, Step.CONTROL, folder, ex);
		}
	}

}
