import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in for a service of one primary and its replicas, and for the call that promotes.
 * The members hold prefixes of one log; a promotion cuts it back to what the named member
 * has received.
 */
final class Database implements AutoCloseable {

	static final int QUEUE = 16;

	final String service;

	final Recorder recorder;

	final Map<String, Member> members = new LinkedHashMap<>();

	final List<Entry> log = new ArrayList<>(List.of(new Entry(1, 0, Map.of())));

	final AtomicLong macs = new AtomicLong();

	final int maximumConnections;

	final int slots;

	volatile int workMilliseconds = 2;

	volatile int replicationMilliseconds = 20;

	volatile int promotionMilliseconds = 300;

	/**
	 * Whether members send, once on each connection, the answer to a SET a second time,
	 * late, and fail the next SET there.
	 */
	volatile boolean stutters;

	/**
	 * Whether member i-2 cuts the answer to the first read on each connection off after its
	 * first row, and sends it a second time, whole.
	 */
	volatile boolean cuts;

	/** Whether the platform answers no call. */
	volatile boolean platformSilent;

	Member primary;

	long term = 1;

	long seenFence;

	private HttpServer platform;

	volatile boolean closed;

	volatile List<String> controls = List.of();

	Database(String service, int maximumConnections, int slots, Recorder recorder) {
		this.service = service;
		this.maximumConnections = maximumConnections;
		this.slots = slots;
		this.recorder = recorder;
	}

	record Entry(long term, long number, Map<String, String> writes) {

		String position() {
			return this.term + "." + this.number;
		}

	}

	synchronized Member add(String id, String host, String zone) throws IOException {
		Member member = new Member(id, host, zone);
		this.members.put(id, member);
		if (this.primary == null) {
			this.primary = member;
		}
		member.applied = this.log.size();
		return member;
	}

	/** Starts the stand-in for the platform's call. */
	String startPlatform(String host) throws IOException {
		this.platform = HttpServer.create(new InetSocketAddress(InetAddress.getByName(host), 0), 50);
		this.platform.createContext("/promote", this::promote);
		this.platform.setExecutor(java.util.concurrent.Executors.newCachedThreadPool(Database::daemonThread));
		this.platform.start();
		return host + ":" + this.platform.getAddress().getPort();
	}

	private static Thread daemonThread(Runnable task) {
		Thread thread = new Thread(null, task, "platform", 256 * 1024);
		thread.setDaemon(true);
		return thread;
	}

	private void promote(HttpExchange exchange) throws IOException {
		String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
		String id = body.replaceAll(".*\"id\"\\s*:\\s*\"([^\"]+)\".*", "$1");
		long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fence-Token"));
		String holder = exchange.getRequestHeaders().getFirst("X-Lease-Holder");
		if (this.platformSilent) {
			this.recorder.add("promote %s fence %d by %s: no answer, not executed", id, fence, holder);
			exchange.close();
			return;
		}
		int status = 200;
		synchronized (this) {
			Member member = this.members.get(id);
			if (fence < this.seenFence || member == null || member.down) {
				status = 409;
			}
			else {
				this.seenFence = fence;
				if (member != this.primary) {
					Thread later = daemonThread(() -> lead(member));
					later.start();
				}
			}
		}
		this.recorder.add("promote %s fence %d by %s: %d", id, fence, holder, status);
		exchange.sendResponseHeaders(status, -1);
		exchange.close();
	}

	private void lead(Member member) {
		sleep(this.promotionMilliseconds);
		synchronized (this) {
			if (member.down || member == this.primary) {
				return;
			}
			int length = Math.min(member.applied, this.log.size());
			this.log.subList(length, this.log.size()).clear();
			this.members.values().forEach((each) -> each.applied = Math.min(each.applied, length));
			this.primary = member;
			this.term++;
		}
		this.recorder.add("%s leads term %d", member.id, this.term);
		member.reportNow();
	}

	private synchronized int length(Member member) {
		return (member == this.primary) ? this.log.size() : Math.min(member.applied, this.log.size());
	}

	private synchronized Entry last(Member member) {
		return this.log.get(length(member) - 1);
	}

	private synchronized String value(Member member, String item) {
		for (int index = length(member) - 1; index >= 0; index--) {
			String value = this.log.get(index).writes().get(item);
			if (value != null) {
				return value;
			}
		}
		return "none";
	}

	private synchronized boolean commit(Member member, Map<String, String> writes) {
		if (member != this.primary) {
			return false;
		}
		this.log.add(new Entry(this.term, last(member).number() + 1, Map.copyOf(writes)));
		return true;
	}

	static void sleep(long milliseconds) {
		try {
			Thread.sleep(milliseconds);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	void startReplication() {
		Thread thread = daemonThread(() -> {
			while (!this.closed) {
				int length;
				synchronized (this) {
					length = this.log.size();
				}
				sleep(this.replicationMilliseconds);
				synchronized (this) {
					int received = Math.min(length, this.log.size());
					this.members.values().stream().filter((member) -> !member.down)
						.forEach((member) -> member.applied = Math.max(member.applied, received));
				}
			}
		});
		thread.start();
	}

	@Override
	public void close() {
		this.closed = true;
		if (this.platform != null) {
			this.platform.stop(0);
		}
		this.members.values().forEach(Member::stop);
	}

	/** One member. */
	final class Member {

		final String id;

		final String host;

		final String zone;

		volatile long born = System.currentTimeMillis();

		volatile boolean down = true;

		volatile boolean draining;

		/** Time in nanoseconds at which a report as draining was acknowledged, or 0. */
		volatile long drainingAckedAt;

		int applied;

		private ServerSocket listener;

		int port;

		private final Set<Wire> connections = ConcurrentHashMap.newKeySet();

		private final Semaphore slotsFree = new Semaphore(Database.this.slots, true);

		private final AtomicInteger queued = new AtomicInteger();

		private final AtomicLong sequence = new AtomicLong();

		private final Object reports = new Object();

		private Member(String id, String host, String zone) {
			this.id = id;
			this.host = host;
			this.zone = zone;
		}

		void start() throws IOException {
			this.listener = new ServerSocket(this.port, 200, InetAddress.getByName(this.host));
			this.port = this.listener.getLocalPort();
			this.born = System.currentTimeMillis();
			this.down = false;
			ServerSocket own = this.listener;
			daemonThread(() -> accept(own)).start();
			daemonThread(this::reportRegularly).start();
		}

		/** Ends the member like a crash. Nothing is reported. */
		void stop() {
			this.down = true;
			try {
				if (this.listener != null) {
					this.listener.close();
				}
			}
			catch (IOException ex) {
				// It is closed already.
			}
			this.connections.forEach(Wire::close);
		}

		private void accept(ServerSocket own) {
			while (!own.isClosed()) {
				try {
					Socket socket = own.accept();
					Thread thread = daemonThread(() -> serve(socket));
					thread.start();
				}
				catch (IOException ex) {
					return;
				}
			}
		}

		private void reportRegularly() {
			long mine = this.born;
			while (!Database.this.closed && !this.down && this.born == mine) {
				report();
				synchronized (this.reports) {
					try {
						this.reports.wait(600);
					}
					catch (InterruptedException ex) {
						return;
					}
				}
			}
		}

		void reportNow() {
			synchronized (this.reports) {
				this.reports.notifyAll();
			}
		}

		private void report() {
			boolean leaving = this.draining;
			String role;
			synchronized (Database.this) {
				role = (Database.this.primary == this) ? "primary" : "replica";
			}
			String body = ("{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
					+ "\"state\":\"%s\",\"coldLeftMs\":0,\"dbRole\":\"%s\",\"seq\":%d,\"born\":%d}").formatted(
							Database.this.service, this.host, this.port, this.zone, Database.this.slots,
							leaving ? "draining" : "ready", role, this.sequence.incrementAndGet(), this.born);
			for (String control : Database.this.controls) {
				try {
					if (Http.post("http://" + control + "/Instances.Heartbeat/" + this.id, body) / 100 == 2) {
						if (leaving && this.drainingAckedAt == 0) {
							this.drainingAckedAt = System.nanoTime();
							Database.this.recorder.add("%s is draining, acknowledged by %s", this.id, control);
						}
						return;
					}
				}
				catch (IOException ex) {
					// The next daemon is called.
					continue;
				}
			}
		}

		private void serve(Socket socket) {
			Connection connection = null;
			try (Wire wire = new Wire(socket)) {
				this.connections.add(wire);
				String greeting = wire.read();
				if (greeting == null) {
					return;
				}
				String[] words = greeting.split(" ");
				if (words.length < 3 || !words[0].equals("CONNECT") || !words[1].equals(Database.this.service)
						|| words.length > 3 && !words[3].equals(this.id)) {
					wire.send("ERR WRONGNODE " + this.id);
					return;
				}
				if (this.connections.size() > Database.this.maximumConnections) {
					wire.send("ERR TOOMANY " + this.id);
					return;
				}
				wire.send("READY I " + last(this).position());
				connection = new Connection(this, wire);
				for (String line = wire.read(); line != null && !line.equals("QUIT"); line = wire.read()) {
					connection.handle(line);
				}
			}
			catch (IOException ex) {
				// The connection ends, which rolls back.
			}
			finally {
				this.connections.removeIf((known) -> known.socket == socket);
			}
		}

		private boolean takeSlot() {
			if (this.slotsFree.tryAcquire()) {
				return true;
			}
			if (this.queued.incrementAndGet() > QUEUE) {
				this.queued.decrementAndGet();
				return false;
			}
			this.slotsFree.acquireUninterruptibly();
			this.queued.decrementAndGet();
			return true;
		}

	}

	/** Session of a caller at a member. */
	private final class Connection {

		private final Member member;

		private final Wire wire;

		private final Map<String, String> prepared = new HashMap<>();

		private final Map<String, String> values = new java.util.TreeMap<>();

		/** Answer to the last SET, as sent, or {@code null}. */
		private String lastSetReady;

		private boolean stuttered;

		private boolean cut;

		private Map<String, String> writes = new LinkedHashMap<>();

		private String state = "I";

		private boolean readOnly;

		private Connection(Member member, Wire wire) {
			this.member = member;
			this.wire = wire;
		}

		private void handle(String line) throws IOException {
			String[] parts = line.split(" ", 3);
			if (parts.length < 3 || !parts[0].equals("QUERY")) {
				answer("ERR MALFORMED line");
				return;
			}
			run(parts[1], parts[2]);
		}

		private void answer(String... lines) throws IOException {
			String[] all = java.util.Arrays.copyOf(lines, lines.length + 1);
			all[lines.length] = "READY " + this.state + " " + last(this.member).position();
			this.wire.send(all);
		}

		private boolean leads() {
			synchronized (Database.this) {
				return Database.this.primary == this.member;
			}
		}

		private boolean holds(String position) {
			synchronized (Database.this) {
				return Database.this.log.subList(0, length(this.member)).stream()
					.anyMatch((entry) -> entry.position().equals(position));
			}
		}

		private void run(String id, String sent) throws IOException {
			String text = sent;
			if (text.startsWith("AFTER ")) {
				String[] parts = text.split(" ", 3);
				if (!holds(parts[1])) {
					answer("ERR LAGGING " + parts[1]);
					return;
				}
				text = parts[2];
			}
			String verb = text.split(" ", 2)[0];
			String rest = text.contains(" ") ? text.substring(text.indexOf(' ') + 1) : "";
			if (this.state.equals("E") && !verb.equals("ROLLBACK") && !verb.equals("COMMIT")) {
				answer("ERR MALFORMED the transaction failed");
				return;
			}
			switch (verb) {
				case "BEGIN" -> begin(rest);
				case "ROLLBACK" -> {
					this.writes = new LinkedHashMap<>();
					this.state = "I";
					answer("DONE -");
				}
				case "SET" -> set(rest);
				case "RESET" -> {
					this.values.clear();
					this.prepared.clear();
					answer("DONE -");
				}
				case "PREPARE" -> {
					String[] parts = rest.split(" ", 3);
					this.prepared.put(parts[0], parts[1]);
					answer("DONE -");
				}
				case "CLOSE" -> {
					this.prepared.remove(rest);
					answer("DONE -");
				}
				case "STATUS", "PAUSE", "RESUME", "DEMOTE" -> status(verb);
				case "READ", "WRITE", "COMMIT", "EXECUTE" -> work(id, verb, rest);
				default -> answer("ERR MALFORMED " + verb);
			}
		}

		private void set(String rest) throws IOException {
			String ready = "READY " + this.state + " " + last(this.member).position();
			boolean stutter = Database.this.stutters && ready.equals(this.lastSetReady)
					&& !this.stuttered;
			if (stutter) {
				this.stuttered = true;
				Database.this.recorder.add("%s sends \"DONE -, %s\" a second time and fails SET %s", this.member.id, ready,
						rest);
				this.wire.send("DONE -", ready, "ERR FAILED not set", ready);
				return;
			}
			String[] parts = rest.split(" ", 2);
			this.values.put(parts[0], parts[1]);
			this.lastSetReady = ready;
			answer("DONE -");
		}

		private void begin(String rest) throws IOException {
			if (!rest.equals("READ") && !leads()) {
				answer("ERR READONLY " + this.member.id);
				return;
			}
			this.state = "T";
			this.readOnly = rest.equals("READ");
			answer("DONE -");
		}

		private void status(String verb) throws IOException {
			if (verb.equals("DEMOTE")) {
				synchronized (Database.this) {
					if (Database.this.primary == this.member) {
						this.member.applied = Database.this.log.size();
						Database.this.primary = null;
					}
				}
				Database.this.recorder.add("%s is demoted", this.member.id);
			}
			answer("ROW %s %d %s 0 0 0 %d".formatted(leads() ? "primary" : "replica", Database.this.term,
					last(this.member).position(), this.member.connections.size()), "DONE -");
		}

		private void work(String id, String sentVerb, String rest) throws IOException {
			if (!this.member.takeSlot()) {
				answer("ERR BUSY full");
				return;
			}
			try {
				sleep(Database.this.workMilliseconds);
			}
			finally {
				this.member.slotsFree.release();
			}
			String verb = sentVerb;
			String arguments = rest;
			if (verb.equals("EXECUTE")) {
				String[] parts = rest.split(" ", 2);
				verb = this.prepared.get(parts[0]);
				arguments = (parts.length > 1) ? parts[1] : "";
				if (verb == null) {
					answer("ERR NOSTMT " + parts[0]);
					return;
				}
			}
			if (this.state.equals("T") && !this.readOnly && !leads()
					&& !(verb.equals("COMMIT") && this.writes.isEmpty())) {
				this.state = verb.equals("COMMIT") ? "I" : "E";
				this.writes = new LinkedHashMap<>();
				answer("ERR READONLY " + this.member.id);
				return;
			}
			String mac = "m" + Long.toHexString(Database.this.macs.incrementAndGet());
			if (!id.equals("-")) {
				ran(id, verb, mac);
			}
			switch (verb) {
				case "READ" -> read(arguments.split(" ")[0], mac);
				case "WRITE" -> write(arguments, mac);
				default -> {
					boolean kept = this.writes.isEmpty() || commit(this.member, this.writes);
					this.writes = new LinkedHashMap<>();
					this.state = "I";
					answer(kept ? "DONE " + mac : "ERR READONLY " + this.member.id);
				}
			}
		}

		private void ran(String id, String verb, String mac) {
			long since = this.member.drainingAckedAt;
			if (since != 0) {
				Database.this.recorder.add("%s runs %s %s %.3f s after its acknowledged drain", this.member.id, id, verb,
						(System.nanoTime() - since) / 1e9);
			}
			Database.this.runs.add(new Run(this.member, id, System.nanoTime(), Map.copyOf(this.values), mac));
		}

		private void read(String item, String mac) throws IOException {
			String first = "ROW " + value(this.member, item);
			if (Database.this.cuts && !this.cut && this.member.id.equals("i-2")) {
				this.cut = true;
				this.wire.send(first);
				Database.this.recorder.add("%s cuts the answer %s off after \"%s\" and sends it a second time", this.member.id,
						mac, first);
				sleep(20);
			}
			answer(first, "ROW last row of " + item, "DONE " + mac);
		}

		private void write(String arguments, String mac) throws IOException {
			String[] parts = arguments.split(" ", 2);
			String data = (parts.length > 1) ? parts[1] : "";
			if (this.state.equals("T")) {
				this.writes.put(parts[0], data);
				answer("DONE " + mac);
				return;
			}
			boolean kept = commit(this.member, Map.of(parts[0], data));
			answer(kept ? "DONE " + mac : "ERR READONLY " + this.member.id);
		}

	}

	final java.util.Queue<Run> runs = new java.util.concurrent.ConcurrentLinkedQueue<>();

	record Run(Member member, String id, long at, Map<String, String> values, String mac) {
	}

}
