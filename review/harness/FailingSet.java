import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients with session values of their own read and write, while one member fails a
 * part of its requests.
 */
public final class FailingSet {

	private static final int SESSIONS = 40;

	private static final long LOAD_MILLISECONDS = 20_000;

	/** Share of its requests that the grey member fails. */
	private static final double FAILING_SHARE = 0.4;

	/** Values that each client has set when it sent a statement, by the statement's identifier. */
	private static final Map<String, Map<String, String>> EXPECTED = new ConcurrentHashMap<>();

	private static final Map<String, String> VIOLATIONS = new ConcurrentHashMap<>();

	private static final AtomicInteger RUN = new AtomicInteger();

	/** Statements among the violations that the client was told have succeeded. */
	private static final AtomicInteger TOLD_DONE = new AtomicInteger();

	private static final AtomicInteger DONE = new AtomicInteger();

	private static volatile boolean stopped;

	public static void main(String[] arguments) throws Exception {
		Case.run(arguments, FailingSet::play);
	}

	private static boolean play(boolean trouble) throws Exception {
		Cloud cloud = new Cloud();
		Fleet fleet = new Fleet(4, 4, cloud.address(), 6);
		fleet.startAll();
		List<String> control = fleet.controlAddresses();
		Group group = new Group("records", 0);
		cloud.add(group);
		for (int index = 0; index < 3; index++) {
			Member member = new Member("i-" + index, group, "zone-" + index, 18, control, 201 + index);
			member.runs = (identifier, text, values, writes) -> ran(member, identifier, text, values, writes);
		}
		group.start();
		group.members.values().forEach(Member::start);
		byte[] configuration = Configuration.of(1,
				List.of(Configuration.route("confirm", "confirm", "primary", 800, 0, "records", 0),
						Configuration.route("change", "change", "read_your_writes", 800, 1, "records", 2500)),
				List.of(Configuration.service("records", 18, 0)));
		if (Http.any(control, "POST", "/Config.Put", configuration, 15_000).status() != 200) {
			throw new CannotRun("no acknowledgement of the configuration");
		}
		fleet.awaitReady(10_000);
		if (trouble) {
			Member grey = group.primary;
			Record.line("%s fails %.0f%% of its requests from now on", grey.id, FAILING_SHARE * 100);
			grey.fails = (verb, identifier) -> !verb.equals("STATUS") && !verb.equals("ROLLBACK")
					&& ThreadLocalRandom.current().nextDouble() < FAILING_SHARE;
		}
		List<Thread> threads = new ArrayList<>();
		for (int index = 0; index < SESSIONS; index++) {
			int number = index;
			Thread thread = new Thread(null, () -> session(fleet.front(number % fleet.machines.size()), number),
					"client-" + index, 256 * 1024);
			thread.setDaemon(true);
			thread.start();
			threads.add(thread);
		}
		Thread.sleep(LOAD_MILLISECONDS);
		stopped = true;
		for (Thread thread : threads) {
			thread.join(3_000);
		}
		Record.show("statements that ran %d, answered with DONE %d, run with other session values %d, of these answered with DONE %d",
				RUN.get(), DONE.get(), VIOLATIONS.size(), TOLD_DONE.get());
		VIOLATIONS.values().stream().limit(5).forEach((text) -> Record.show("PINNED: %s", text));
		if (RUN.get() < 500) {
			throw new CannotRun("too few statements ran");
		}
		return !VIOLATIONS.isEmpty();
	}

	private static void ran(Member member, String identifier, String text, Map<String, String> values, boolean writes) {
		Map<String, String> expected = EXPECTED.get(identifier);
		if (expected == null) {
			return;
		}
		RUN.incrementAndGet();
		Record.line("%s ran QUERY %s %s with %s", member.id, identifier, text, values);
		if (!expected.equals(values)) {
			VIOLATIONS.put(identifier, "%s ran %s %s with the session values %s, but its client has set %s"
				.formatted(member.id, identifier, text, values, expected));
		}
	}

	private static void session(String front, int number) {
		Random random = new Random(number);
		while (!stopped) {
			try (Client client = new Client(front, (number % 2 == 0) ? "confirm" : "change")) {
				Map<String, String> values = new HashMap<>();
				set(client, values, "tenant", "t" + number);
				for (int count = 0; count < 30 && !stopped; count++) {
					if (count % 5 == 0) {
						set(client, values, "role", "r" + number + "-" + count);
					}
					Thread.sleep(200 + random.nextInt(300));
					statement(client, values, random);
				}
			}
			catch (IOException | IllegalStateException ex) {
				Record.line("session %d ends: %s", number, ex.getMessage());
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private static void set(Client client, Map<String, String> values, String name, String value) {
		String identifier = Client.newIdentifier();
		Client.Reply reply = client.query(identifier, "SET " + name + " " + value);
		Record.line("client QUERY %s SET %s %s -> %s", identifier, name, value, reply.code());
		if (!reply.isDone()) {
			throw new IllegalStateException("SET was answered " + reply.code());
		}
		values.put(name, value);
	}

	private static void statement(Client client, Map<String, String> values, Random random) {
		String identifier = Client.newIdentifier();
		EXPECTED.put(identifier, Map.copyOf(values));
		boolean write = random.nextDouble() < 0.35;
		String text = write ? "WRITE " + random.nextInt(2000) + " " + identifier : "READ " + random.nextInt(2000);
		Client.Reply reply = client.query(identifier, text);
		Record.line("client QUERY %s %s -> %s %s", identifier, text, reply.code(), reply.detail());
		if (reply.isDone()) {
			DONE.incrementAndGet();
			if (VIOLATIONS.containsKey(identifier)) {
				TOLD_DONE.incrementAndGet();
			}
		}
		if (!reply.state().equals("I")) {
			throw new IllegalStateException("operation ended in state " + reply.state());
		}
	}

}
