package review;

import java.io.IOException;
import java.util.List;

/**
 * One machine is lost for good while the system starts for the first time, and an empty
 * machine at another address takes its place.
 */
final class FirstStartCase extends Case {

	private static final int STARTED_AT_FIRST = 4;

	private static final int LOST = 0;

	private static final int SUCCESSOR = 4;

	/** Time from the start of the last process to the loss. */
	private static final long UNTIL_LOSS_MILLISECONDS = 300;

	private static final long UNTIL_SUCCESSOR_MILLISECONDS = 1_000;

	private static final int OPERATOR_SECONDS = 60;

	@Override
	int machines() {
		return STARTED_AT_FIRST + 1;
	}

	@Override
	void prepare() throws IOException {
		for (int machine = 0; machine < STARTED_AT_FIRST; machine++) {
			this.fleet.startControl(machine);
			this.fleet.startEntry(machine);
		}
	}

	@Override
	boolean holds() throws Exception {
		if (this.trouble) {
			Thread.sleep(UNTIL_LOSS_MILLISECONDS);
			this.fleet.lose(LOST);
			Thread.sleep(UNTIL_SUCCESSOR_MILLISECONDS);
			this.fleet.startControl(SUCCESSOR, false);
			this.fleet.startEntry(SUCCESSOR, false);
		}
		boolean acknowledged = this.fleet.control("/Config.Put", configuration(FIRST_VERSION), OPERATOR_SECONDS);
		this.record.add("operator: the configuration, sent again and again for up to %d s, was %s", OPERATOR_SECONDS,
				acknowledged ? "acknowledged" : "never acknowledged");
		addMembers();
		Thread.sleep(5_000);
		int served = 0;
		int sent = 0;
		for (int round = 0; round < 3; round++) {
			for (int machine = 1; machine < STARTED_AT_FIRST; machine++) {
				sent++;
				served += isServed(machine) ? 1 : 0;
			}
		}
		this.record.add("%d of %d requests were served", served, sent);
		return served > 0;
	}

	// A client gives up if its session is not ready within two seconds.
	private boolean isServed(int machine) {
		try (Wire client = Wire.connect(this.fleet.host(machine), this.fleet.clientPort(), 2_000)) {
			List<String> ready = client.exchange("CONNECT " + DATABASE + " user");
			List<String> answer = client.exchange("QUERY " + newIdentifier() + " READ item");
			this.record.add("client of machine %d receives %s and %s", machine + 1, ready, answer);
			return answer.toString().contains("DONE mac.");
		}
		catch (IOException ex) {
			this.record.add("client of machine %d sees %s", machine + 1, ex);
			return false;
		}
	}

}
