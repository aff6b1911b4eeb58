package review;

import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A client reads an item whose result has many rows. Meanwhile another client works in a
 * session of the same daemon. A process that ends by itself is started again.
 */
final class LargeResultCase extends Case {

	private static final int ROUNDS = 3;

	private static final int AFFECTED_MACHINES = 2;

	private static final int ROW_CHARACTERS = 60_000;

	private static final int ROWS = 2_000;

	@Override
	boolean holds() throws Exception {
		List<String> large = Collections.nCopies(this.trouble ? ROWS : 1, "x".repeat(ROW_CHARACTERS));
		this.database.answerReadsWith(
				(identifier, text) -> text.startsWith("READ export") ? large : List.of("row-" + text));
		int[] ends = new int[AFFECTED_MACHINES];
		for (int round = 0; round < ROUNDS; round++) {
			for (int machine = 0; machine < AFFECTED_MACHINES; machine++) {
				ends[machine] += readOnce(machine) ? 1 : 0;
			}
		}
		this.record.add("processes that ended by themselves: machine 1 %d times, machine 2 %d times", ends[0], ends[1]);
		return ends[0] < ROUNDS || ends[1] < ROUNDS;
	}

	private boolean readOnce(int machine) throws Exception {
		try (Wire other = connect(machine); Wire client = connect(machine)) {
			other.exchange("QUERY " + newIdentifier() + " BEGIN");
			other.exchange("QUERY " + newIdentifier() + " WRITE visit-1 done");
			String identifier = newIdentifier();
			this.record.add("machine %d: client sends %s: READ export", machine + 1, identifier);
			client.write("QUERY " + identifier + " READ export\r\n");
			List<String> answer = client.readAnswer();
			long rowsReceived = answer.stream().filter((line) -> line.startsWith("ROW")).count();
			this.record.add("machine %d: client receives %d rows, then %s", machine + 1, rowsReceived,
					answer.get(answer.size() - 1));
			commit(machine, other);
		}
		catch (IOException ex) {
			this.record.add("machine %d: client sees %s", machine + 1, ex);
		}
		Process process = this.fleet.entry(machine);
		if (!process.waitFor(3, TimeUnit.SECONDS)) {
			return false;
		}
		this.record.add("machine %d: the entry daemon ended by itself with status %d", machine + 1,
				process.exitValue());
		this.fleet.startEntry(machine);
		this.fleet.awaitReady(machine, 15);
		awaitService(machine);
		return true;
	}

	private void commit(int machine, Wire other) throws IOException {
		List<String> answer = other.exchange("QUERY " + newIdentifier() + " COMMIT");
		this.record.add("machine %d: other client sends COMMIT and receives %s", machine + 1, answer);
	}

}
