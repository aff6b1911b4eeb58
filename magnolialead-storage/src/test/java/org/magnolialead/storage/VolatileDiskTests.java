package org.magnolialead.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

/**
 * Tests of the disk of folders that do not outlive the process.
 */
class VolatileDiskTests {

	@TempDir
	private Path folder;

	/**
	 * Guards against a control daemon without a disk that does not start, because the
	 * file system for temporary files refuses to rename files.
	 */
	@Test
	void fileIsReplacedWithoutRenaming() throws IOException {
		Path source = Files.writeString(this.folder.resolve("source"), "new");
		Path target = Files.writeString(this.folder.resolve("target"), "a longer old content");
		Object file = Files.readAttributes(target, BasicFileAttributes.class).fileKey();
		Disk.VOLATILE.move(source, target);
		assertThat(target).hasContent("new");
		assertThat(Files.readAttributes(target, BasicFileAttributes.class).fileKey()).isEqualTo(file);
	}

	@Test
	void nothingIsSynced() {
		assertThatCode(() -> Disk.VOLATILE.syncDirectory(this.folder.resolve("absent"))).doesNotThrowAnyException();
	}

}
