import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A machine that serves statements of other machines is stopped with SIGTERM, while
 * answers of the primary are lost. Clients of the other machines commit meanwhile.
 */
public final class StopDuringCommit {

	private static final int ROUNDS = 5;

	private static final int SESSIONS = 7;

	/** Share of the statements whose answer the primary loses. */
	private static final double LOST_SHARE = 0.2;

	private static final long LOST_AFTER_MILLISECONDS = 2_500;

	private static final long LOST_FOR_MILLISECONDS = 4_000;

	private static final long GRACE_MILLISECONDS = 6_000;

	private static final Set<String> PROMISES = Set.of("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY");

	/** What the clients were answered to each COMMIT, by its identifier. */
	private static final Map<String, String> ANSWERS = new ConcurrentHashMap<>();

	public static void main(String[] arguments) throws Exception {
		Case.run(arguments, StopDuringCommit::play);
	}

	private static boolean play(boolean trouble) throws Exception {
		Cloud cloud = new Cloud();
		Fleet fleet = new Fleet(4, 12, cloud.address(), (int) (GRACE_MILLISECONDS / 1_000), 2);
		fleet.startAll();
		List<String> control = fleet.controlAddresses();
		Group group = new Group("records", 0);
		cloud.add(group);
		for (int index = 0; index < 3; index++) {
			new Member("i-" + index, group, "zone-" + (index % 2), 19, control, 201 + index);
		}
		group.start();
		group.members.values().forEach(Member::start);
		byte[] configuration = Configuration.of(1,
				List.of(Configuration.route("confirm", "confirm", "primary", 800, 0, "records", 0)),
				List.of(Configuration.service("records", 19, 0)));
		if (Http.any(control, "POST", "/Config.Put", configuration, 20_000).status() != 200) {
			throw new CannotRun("no acknowledgement of the configuration");
		}
		fleet.awaitReady(20_000);
		Thread.sleep(3_000);
		List<String> refused = new ArrayList<>();
		for (int round = 0; round < ROUNDS && refused.isEmpty(); round++) {
			Fleet.Machine holder = holder(fleet);
			if (holder == null) {
				throw new CannotRun("no statement is forwarded");
			}
			round(fleet, group, holder, trouble);
			ANSWERS.forEach((identifier, code) -> {
				boolean committed = group.primary.log.stream().anyMatch((entry) -> entry.id().equals(identifier));
				if (committed && PROMISES.contains(code)) {
					refused.add("COMMIT " + identifier + " was answered " + code + ", but its transaction is committed");
				}
			});
		}
		Record.show("answers to COMMIT: %s", count());
		refused.forEach((text) -> Record.show("REFUSED: %s", text));
		if (ANSWERS.size() < 5) {
			throw new CannotRun("too few transactions were committed");
		}
		return !refused.isEmpty();
	}

	private static Map<String, Integer> count() {
		Map<String, Integer> counts = new HashMap<>();
		ANSWERS.values().forEach((code) -> counts.merge(code, 1, Integer::sum));
		return counts;
	}

	/** Returns the machine that other machines named last as the one that served a statement of theirs. */
	private static Fleet.Machine holder(Fleet fleet) throws Exception {
		for (int attempt = 0; attempt < 3; attempt++) {
			for (int machine = 0; machine < fleet.machines.size(); machine++) {
				try (Client client = new Client(fleet.front(machine), "confirm")) {
					client.query(Client.newIdentifier(), "READ 1");
				}
				catch (IOException ex) {
					Record.line("no session with machine %d: %s", machine + 1, ex);
				}
			}
			Thread.sleep(300);
		}
		Map<String, Integer> named = new HashMap<>();
		Pattern line = Pattern.compile("statement forwarded: .* daemon=(\\S+)");
		for (Fleet.Daemon daemon : fleet.daemons.values()) {
			String[] lines = Files.readString(daemon.output).split("\n");
			for (int index = Math.max(0, lines.length - 6); index < lines.length; index++) {
				Matcher found = line.matcher(lines[index]);
				if (found.find()) {
					named.merge(found.group(1), 1, Integer::sum);
				}
			}
		}
		Record.line("machines that serve statements of others: %s", named);
		return fleet.machines.stream().filter((machine) -> named.containsKey(machine.name()))
			.max((first, second) -> named.get(first.name()) - named.get(second.name())).orElse(null);
	}

	private static void round(Fleet fleet, Group group, Fleet.Machine holder, boolean trouble) throws Exception {
		List<Thread> clients = new ArrayList<>();
		List<Integer> fronts = new ArrayList<>();
		for (int machine = 0; machine < fleet.machines.size(); machine++) {
			Fleet.Machine other = fleet.machines.get(machine);
			if (!other.name().equals(holder.name()) && other.zone().equals(holder.zone())) {
				fronts.add(machine);
			}
		}
		for (int session = 0; session < SESSIONS; session++) {
			String front = fleet.front(fronts.get(session % fronts.size()));
			Thread thread = new Thread(() -> transaction(front));
			thread.setDaemon(true);
			thread.start();
			clients.add(thread);
		}
		Thread.sleep(600);
		Fleet.Daemon daemon = fleet.daemons.get(holder.name() + "-entry");
		if (trouble) {
			fleet.signal(daemon, "TERM");
		}
		Thread.sleep(LOST_AFTER_MILLISECONDS);
		Member primary = group.primary;
		if (trouble) {
			Record.line("%s loses %.0f%% of its answers for %d ms", primary.id, LOST_SHARE * 100, LOST_FOR_MILLISECONDS);
			primary.losesAnswer = (verb, identifier) -> ThreadLocalRandom.current().nextDouble() < LOST_SHARE;
		}
		long remaining = GRACE_MILLISECONDS - LOST_AFTER_MILLISECONDS;
		if (trouble && !daemon.process.waitFor(remaining, TimeUnit.MILLISECONDS)) {
			daemon.process.destroyForcibly().waitFor();
		}
		for (Thread client : clients) {
			client.join(8_000);
		}
		primary.losesAnswer = (verb, identifier) -> false;
		if (trouble) {
			fleet.start(daemon.machine, daemon.role, false);
		}
		Thread.sleep(5_000);
	}

	/** A transaction with pauses, which is committed about 4.2 s after its first write. */
	private static void transaction(String front) {
		Random random = new Random();
		try (Client client = new Client(front, "confirm")) {
			if (!run(client, "BEGIN") || !run(client, "WRITE " + random.nextInt(2000) + " first")) {
				return;
			}
			Thread.sleep(2_200);
			if (!run(client, "WRITE " + random.nextInt(2000) + " second")) {
				return;
			}
			Thread.sleep(2_200 + random.nextInt(400));
			String identifier = Client.newIdentifier();
			Client.Reply reply = client.query(identifier, "COMMIT");
			Record.line("client QUERY %s COMMIT -> %s %s, state %s", identifier, reply.code(), reply.detail(), reply.state());
			ANSWERS.put(identifier, reply.code());
		}
		catch (IOException ex) {
			Record.line("session ends: %s", ex);
		}
		catch (InterruptedException ex) {
			return;
		}
	}

	private static boolean run(Client client, String text) {
		String identifier = Client.newIdentifier();
		Client.Reply reply = client.query(identifier, text);
		Record.line("client QUERY %s %s -> %s %s", identifier, text, reply.code(), reply.detail());
		return reply.isDone() && reply.state().equals("T");
	}

}
