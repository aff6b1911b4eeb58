package org.magnolialead.api;

/**
 * Position in the log of a database group. Positions are ordered by term and then by
 * index.
 *
 * @param term term of the primary that wrote the record; 0 for an empty log
 * @param index index of the record; 0 for an empty log
 */
public record LogPosition(long term, long index) implements Comparable<LogPosition> {

	/**
	 * Position of an empty log, before the first record.
	 */
	public static final LogPosition NONE = new LogPosition(0, 0);

	public LogPosition {
		if (term < 0 || index < 0) {
			throw new IllegalArgumentException(
					"term and index must not be negative, found %d and %d".formatted(term, index));
		}
	}

	/**
	 * Returns whether a log that ends at this position contains an acknowledged record at
	 * another position.
	 * @param other the other position
	 * @return {@code true} if this position is equal to or later than the other
	 */
	public boolean includes(LogPosition other) {
		return compareTo(other) >= 0;
	}

	/**
	 * Returns the later of two positions.
	 * @param first the first position
	 * @param second the second position
	 * @return the later position
	 */
	public static LogPosition later(LogPosition first, LogPosition second) {
		return first.includes(second) ? first : second;
	}

	/**
	 * Parses a position in the form {@code term.index}.
	 * @param text text to parse
	 * @return the position
	 * @throws IllegalArgumentException if the text has a different form or a number is
	 * negative
	 */
	public static LogPosition parse(String text) {
		int dot = text.indexOf('.');
		if (dot < 0) {
			throw new IllegalArgumentException("position must have the form term.index, found \"" + text + "\"");
		}
		return new LogPosition(Long.parseLong(text.substring(0, dot)), Long.parseLong(text.substring(dot + 1)));
	}

	@Override
	public int compareTo(LogPosition other) {
		int byTerm = Long.compare(this.term, other.term);
		return (byTerm != 0) ? byTerm : Long.compare(this.index, other.index);
	}

}
