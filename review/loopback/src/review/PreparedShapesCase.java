package review;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Clients prepare statements, each with a text of its own, and close each of them before
 * the next one. A process that ends by itself is started again.
 */
final class PreparedShapesCase extends Case {

	private static final int ROUNDS = 3;

	private static final int AFFECTED_MACHINES = 2;

	private static final int STATEMENTS = 12_000;

	private static final int TEXT_CHARACTERS = 8_000;

	@Override
	boolean holds() throws Exception {
		int[] ends = new int[AFFECTED_MACHINES];
		for (int round = 0; round < ROUNDS; round++) {
			for (int machine = 0; machine < AFFECTED_MACHINES; machine++) {
				ends[machine] += prepareMany(machine) ? 1 : 0;
			}
		}
		this.record.add("processes that ended by themselves: machine 1 %d times, machine 2 %d times", ends[0], ends[1]);
		return ends[0] < ROUNDS || ends[1] < ROUNDS;
	}

	private boolean prepareMany(int machine) throws Exception {
		int prepared = 0;
		String filler = "q".repeat(TEXT_CHARACTERS);
		String last = "";
		try {
			while (prepared < STATEMENTS) {
				// A new session for every hundred statements.
				try (Wire client = connect(machine)) {
					for (int number = 0; number < 100; number++) {
						String text = this.trouble ? filler + newIdentifier() : filler;
						last = check(client.exchange("QUERY " + newIdentifier() + " PREPARE s1 READ " + text));
						check(client.exchange("QUERY " + newIdentifier() + " CLOSE s1"));
						prepared++;
					}
					client.write("QUIT\r\n");
				}
			}
		}
		catch (IOException ex) {
			last = ex.toString();
		}
		this.record.add("machine %d: clients prepared and closed %d statements of %d characters, last answer %s",
				machine + 1, prepared, TEXT_CHARACTERS, last);
		Process process = this.fleet.entry(machine);
		if (!process.waitFor(2, TimeUnit.SECONDS)) {
			return false;
		}
		this.record.add("machine %d: the entry daemon ended by itself with status %d", machine + 1,
				process.exitValue());
		this.fleet.startEntry(machine);
		this.fleet.awaitReady(machine, 15);
		awaitService(machine);
		return true;
	}

	private static String check(List<String> answer) throws IOException {
		if (!answer.get(0).startsWith("DONE")) {
			throw new IOException("answer " + answer);
		}
		return answer.get(0);
	}

}
