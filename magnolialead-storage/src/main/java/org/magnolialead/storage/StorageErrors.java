package org.magnolialead.storage;

import java.nio.file.Path;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;

/**
 * Creates the exceptions of this package.
 */
final class StorageErrors {

	private StorageErrors() {
	}

	static MagnolialeadException failure(Path path, String problem) {
		return failure(path, problem, null);
	}

	static MagnolialeadException failure(Path path, String problem, Throwable cause) {
		String reason = (cause != null) ? ": " + cause : "";
		return new MagnolialeadException(ErrorCode.STORAGE_FAILURE, Step.STORAGE, "", path + ": " + problem + reason,
				cause);
	}

}
