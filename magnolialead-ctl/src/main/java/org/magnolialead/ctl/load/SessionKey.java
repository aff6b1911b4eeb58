package org.magnolialead.ctl.load;

import java.util.HashSet;
import java.util.Set;

/**
 * Key that is written by one session only. At most one write of the key is in progress at
 * a time, so that a read must return the last acknowledged write or a later one.
 */
final class SessionKey {

	private final String baseName;

	private final String group;

	private final Set<Long> notRunSequences = new HashSet<>();

	private int generation;

	private long sequence;

	private long acknowledgedSequence;

	private boolean writeInProgress;

	SessionKey(String baseName, String group) {
		this.baseName = baseName;
		this.group = group;
	}

	String group() {
		return this.group;
	}

	/**
	 * Begins a write.
	 * @return the version to write, or {@code null} while another write is in progress
	 */
	synchronized Version beginWrite() {
		if (this.writeInProgress) {
			return null;
		}
		this.writeInProgress = true;
		this.sequence++;
		return new Version(name(), this.sequence);
	}

	/**
	 * Ends a write. After an unknown outcome the session switches to a new key, because
	 * the write may still be executed after later ones.
	 * @param version the version
	 * @param result the result
	 */
	synchronized void endWrite(Version version, LoadResult result) {
		this.writeInProgress = false;
		switch (result) {
			case DONE -> {
				this.acknowledgedSequence = version.sequence();
			}
			case NOT_RUN -> this.notRunSequences.add(version.sequence());
			case UNKNOWN -> {
				this.generation++;
				this.sequence = 0;
				this.acknowledgedSequence = 0;
				this.notRunSequences.clear();
			}
			case NOT_SENT -> {
			}
		}
	}

	/**
	 * Returns the oldest version that a read that starts now may return.
	 * @return the version; sequence 0 if nothing was acknowledged
	 */
	synchronized Version minimumVersion() {
		return new Version(name(), this.acknowledgedSequence);
	}

	synchronized boolean wasReportedNotRun(Version version) {
		return version.name().equals(name()) && this.notRunSequences.contains(version.sequence());
	}

	private String name() {
		return this.baseName + "-" + this.generation;
	}

	/**
	 * Version of a value.
	 *
	 * @param name name of the key
	 * @param sequence number of the write of this key, from 1
	 */
	record Version(String name, long sequence) {

		String value() {
			return this.name + "|" + this.sequence;
		}

		/**
		 * Parses a value that was read.
		 * @param name name of the key
		 * @param value the value
		 * @return the version, or {@code null} if the value belongs to another key
		 */
		static Version parse(String name, String value) {
			String prefix = name + "|";
			if (!value.startsWith(prefix) || !value.substring(prefix.length()).matches("[0-9]{1,18}")) {
				return null;
			}
			return new Version(name, Long.parseLong(value.substring(prefix.length())));
		}

	}

}
