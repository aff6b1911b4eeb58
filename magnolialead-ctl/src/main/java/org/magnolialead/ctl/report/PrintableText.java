package org.magnolialead.ctl.report;

/**
 * Sanitizes untrusted text from daemons or files for terminals and HTML pages.
 */
final class PrintableText {

	private PrintableText() {
	}

	/**
	 * Replaces non-printable characters, which terminals may interpret or XML forbids, by
	 * question marks.
	 * @param text any text
	 * @return printable text
	 */
	static String sanitize(String text) {
		StringBuilder printable = new StringBuilder();
		text.codePoints().forEach((character) -> printable.appendCodePoint(isPrintable(character) ? character : '?'));
		return printable.toString();
	}

	/**
	 * Escapes text for elements and attributes of HTML.
	 * @param text any text
	 * @return escaped printable text
	 */
	static String escapeHtml(String text) {
		StringBuilder escaped = new StringBuilder();
		text.lines()
			.map(PrintableText::sanitize)
			.forEach((line) -> escaped
				.append(line.replace("&", "&amp;")
					.replace("<", "&lt;")
					.replace(">", "&gt;")
					.replace("\"", "&quot;")
					.replace("'", "&#39;"))
				.append('\n'));
		return escaped.toString();
	}

	private static boolean isPrintable(int character) {
		return switch (Character.getType(character)) {
			case Character.CONTROL, Character.FORMAT, Character.SURROGATE, Character.UNASSIGNED,
					Character.LINE_SEPARATOR, Character.PARAGRAPH_SEPARATOR ->
				false;
			default -> true;
		};
	}

}
