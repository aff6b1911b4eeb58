package review;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Clients write data that contains a line feed. A line ends with carriage return and line
 * feed, so the line feed belongs to the text of the statement.
 */
final class LineFeedCase extends Case {

	private static final int WRITES = 10;

	@Override
	boolean holds() throws Exception {
		Map<String, String> sent = new HashMap<>();
		String separator = this.trouble ? "\n" : " ";
		for (int number = 0; number < WRITES; number++) {
			try (Wire client = connect(number % MACHINES)) {
				String identifier = newIdentifier();
				// Every second note looks like a statement in its second line.
				String second = (number % 2 == 0) ? "next visit in May"
						: "QUERY " + newIdentifier() + " WRITE boiler-" + number + " closed";
				String text = "WRITE visit-" + number + " valve replaced" + separator + second;
				sent.put(identifier, text);
				this.record.add("client sends %s: %s", identifier, shown(text));
				List<String> answer = client.exchange("QUERY " + identifier + " " + text);
				this.record.add("client receives %s: %s", identifier, answer);
			}
		}
		Thread.sleep(1_500);
		boolean wrote = this.database.runs().stream().anyMatch((run) -> run.text().startsWith("WRITE"));
		if (!this.trouble && !wrote) {
			throw new Fleet.CannotRun("no write has run");
		}
		boolean held = true;
		for (Database.Run run : this.database.runs()) {
			if (run.text().startsWith("READ probe")) {
				continue;
			}
			String expected = sent.get(run.identifier());
			String verdict = run.text().equals(expected) ? "as sent"
					: (expected != null) ? "CHANGED TEXT" : "SENT BY NO CLIENT";
			held &= verdict.equals("as sent");
			this.record.add("member %s ran %s: %s  [%s]", run.member(), run.identifier(), shown(run.text()), verdict);
		}
		return held;
	}

	private static String shown(String text) {
		return text.replace("\n", "\\n");
	}

}
