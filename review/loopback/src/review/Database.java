package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;

/**
 * Stand-in for one service: a group of database members with a replicated log, and the
 * part of the platform that promotes one of them. Replication delays follow those of the
 * small deployments: 20 ms on average, at most 120 ms.
 */
final class Database implements AutoCloseable {

	static final long HEARTBEAT_MILLISECONDS = 1_200;

	private static final int WORK_MILLISECONDS = 3;

	/** Size of the parts in which a long answer is sent. */
	private static final int PART_CHARACTERS = 250_000;

	private final Record record;

	private final String service;

	private final int synchronousReplicas;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, (task) -> {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	});

	private final Random random = new Random(20261206);

	private final Map<String, Member> members = new HashMap<>();

	private final List<Run> runs = new ArrayList<>();

	private Member primary;

	private long term = 1;

	private volatile double lostShare;

	/** Answers a read with rows in place of the default one. */
	private volatile BiFunction<String, String, List<String>> rows = (identifier, text) -> List.of("row-" + text);

	Database(Record record, String service, int synchronousReplicas) {
		this.record = record;
		this.service = service;
		this.synchronousReplicas = synchronousReplicas;
	}

	/** Sets the share of the answers of the primary that are lost on their way. */
	void loseAnswersOfPrimary(double share) {
		this.lostShare = share;
	}

	private boolean losesAnswer(Member member) {
		return this.lostShare > 0 && member == primary() && this.random.nextDouble() < this.lostShare;
	}

	void answerReadsWith(BiFunction<String, String, List<String>> function) {
		this.rows = function;
	}

	/** A statement that a member has run. */
	record Run(String member, String identifier, String text) {
	}

	synchronized List<Run> runs() {
		return List.copyOf(this.runs);
	}

	/** Entry of a member's log. */
	record Entry(long term, long number, String identifier, String data) {

		String position() {
			return this.term + "." + this.number;
		}

	}

	synchronized Member add(String identifier, Fleet fleet, boolean leads, List<Entry> log) throws IOException {
		Member member = new Member(identifier, fleet, log);
		this.members.put(identifier, member);
		if (leads) {
			this.primary = member;
		}
		replicate(member);
		member.start();
		return member;
	}

	synchronized Member primary() {
		return this.primary;
	}

	synchronized Member member(String identifier) {
		return this.members.get(identifier);
	}

	synchronized long term() {
		return this.term;
	}

	/** Makes a member lead the next term with the log that it has received. */
	synchronized void promote(String identifier) {
		Member successor = this.members.get(identifier);
		if (successor == null || successor == this.primary) {
			return;
		}
		this.term++;
		this.primary = successor;
		successor.paused = false;
		successor.term = this.term;
		this.record.add("platform: %s leads term %d with log up to %s", identifier, this.term, successor.position());
		for (Member member : this.members.values()) {
			member.paused = false;
			member.term = this.term;
			member.demoted = false;
			while (member.log.size() > successor.log.size() || !member.log.equals(successor.log.subList(0, member.log.size()))) {
				Entry cut = member.log.remove(member.log.size() - 1);
				this.record.add("member %s rolls back %s %s", member.identifier, cut.position(), cut.data());
			}
		}
		for (Member member : this.members.values()) {
			replicate(member);
		}
		this.members.values().forEach(Member::heartbeatNow);
	}

	// Sends a replica the log of the primary. What is sent arrives in order.
	private synchronized void replicate(Member replica) {
		Member sender = this.primary;
		if (replica == sender || replica.ended) {
			return;
		}
		int size = sender.log.size();
		long arrival = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMilliseconds());
		replica.nextArrival = Math.max(replica.nextArrival, arrival);
		this.timer.schedule(() -> receive(replica, sender, size), replica.nextArrival - System.nanoTime(),
				TimeUnit.NANOSECONDS);
	}

	private synchronized void receive(Member replica, Member sender, int size) {
		if (replica.paused || replica.ended || sender != this.primary || sender.ended) {
			return;
		}
		List<Entry> source = sender.log.subList(0, Math.min(size, sender.log.size()));
		if (replica.log.size() < source.size() && replica.log.equals(source.subList(0, replica.log.size()))) {
			replica.log.addAll(source.subList(replica.log.size(), source.size()));
			notifyAll();
		}
	}

	private long delayMilliseconds() {
		return Math.min(120, Math.round(20 * Math.exp(0.6 * this.random.nextGaussian())));
	}

	/** Commits data at the primary and waits until as many replicas have it as required. */
	private synchronized boolean commit(Member member, String identifier, List<String> data) throws InterruptedException {
		if (this.primary != member || member.demoted) {
			return false;
		}
		Entry committed = new Entry(this.term, member.log.size() + 1, identifier, String.join("; ", data));
		member.log.add(committed);
		for (Member replica : this.members.values()) {
			replicate(replica);
		}
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
		while (this.synchronousReplicas > 0) {
			long holders = this.members.values().stream()
				.filter((replica) -> replica != member && replica.log.contains(committed)).count();
			if (holders >= this.synchronousReplicas) {
				break;
			}
			long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
			if (left <= 0 || this.primary != member) {
				throw new InterruptedException("no replica has received the commit");
			}
			wait(Math.min(left, 20));
		}
		return true;
	}

	@Override
	public synchronized void close() {
		this.members.values().forEach(Member::end);
		this.timer.shutdownNow();
	}

	/**
	 * One member.
	 */
	final class Member {

		private final String identifier;

		private final Fleet fleet;

		private final ServerSocket server;

		private final long born = System.currentTimeMillis();

		private final List<Entry> log;

		private long sequence;

		private long term;

		private volatile boolean draining;

		private boolean demoted;

		private boolean paused;

		private volatile boolean ended;

		/** Time at which the latest commit that was sent to this member arrives. */
		private long nextArrival = System.nanoTime();

		private int connections;

		private final Object heartbeatMonitor = new Object();

		private boolean heartbeatDue;

		private final List<Socket> sockets = new ArrayList<>();

		private Member(String identifier, Fleet fleet, List<Entry> log) throws IOException {
			this.identifier = identifier;
			this.fleet = fleet;
			this.log = new ArrayList<>(log);
			this.server = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
			this.term = Database.this.term;
		}

		String identifier() {
			return this.identifier;
		}

		List<Entry> log() {
			synchronized (Database.this) {
				return List.copyOf(this.log);
			}
		}

		boolean leads() {
			synchronized (Database.this) {
				return Database.this.primary == this && !this.demoted;
			}
		}

		String position() {
			synchronized (Database.this) {
				return this.log.isEmpty() ? "1.0" : this.log.get(this.log.size() - 1).position();
			}
		}

		void start() {
			run(this::accept);
			run(this::sendHeartbeats);
		}

		private void run(Runnable task) {
			Thread thread = new Thread(task, this.identifier);
			thread.setDaemon(true);
			thread.start();
		}

		/** Announces that the member leaves; it serves on until it is ended. */
		void drain() {
			this.draining = true;
			Database.this.record.add("member %s reports draining", this.identifier);
			heartbeatNow();
		}

		void end() {
			this.ended = true;
			try {
				this.server.close();
				synchronized (this.sockets) {
					for (Socket socket : this.sockets) {
						socket.close();
					}
				}
			}
			catch (IOException ex) {
				// The sockets are closed in any case.
			}
			heartbeatNow();
		}

		/** Deregisters and exits. */
		void leave() throws InterruptedException {
			this.fleet.control("/Instances.Deregister/" + this.identifier, "{\"born\":" + this.born + "}", 2);
			Database.this.record.add("member %s deregisters and exits", this.identifier);
			synchronized (Database.this) {
				Database.this.members.remove(this.identifier);
			}
			end();
		}

		void heartbeatNow() {
			synchronized (this.heartbeatMonitor) {
				this.heartbeatDue = true;
				this.heartbeatMonitor.notifyAll();
			}
		}

		private void sendHeartbeats() {
			try {
				while (!this.ended) {
					String body = """
							{"service":"%s","addr":"127.0.0.1:%d","zone":"zone-1","version":"v1","slots":2,\
							"state":"%s","coldLeftMs":0,"dbRole":"%s","born":%d,"seq":%d}"""
						.formatted(Database.this.service, this.server.getLocalPort(),
								this.draining ? "draining" : "ready", leads() ? "primary" : "replica", this.born,
								++this.sequence);
					this.fleet.control("/Instances.Heartbeat/" + this.identifier, body, 5);
					synchronized (this.heartbeatMonitor) {
						if (!this.heartbeatDue) {
							this.heartbeatMonitor.wait(HEARTBEAT_MILLISECONDS);
						}
						this.heartbeatDue = false;
					}
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		private void accept() {
			while (!this.ended) {
				try {
					Socket socket = this.server.accept();
					synchronized (this.sockets) {
						this.sockets.add(socket);
					}
					run(() -> serve(socket));
				}
				catch (IOException ex) {
					if (!this.ended) {
						throw new IllegalStateException(ex);
					}
				}
			}
		}

		private void serve(Socket socket) {
			synchronized (Database.this) {
				this.connections++;
			}
			try (Wire wire = new Wire(socket)) {
				new Session(this, wire).serve();
			}
			catch (SocketException ex) {
				// The other end has closed the connection.
			}
			catch (IOException | InterruptedException ex) {
				Database.this.record.add("member %s closes a connection: %s", this.identifier, ex.getMessage());
			}
			finally {
				synchronized (Database.this) {
					this.connections--;
				}
			}
		}

	}

	/**
	 * One connection to a member.
	 */
	private final class Session {

		private final Member member;

		private final Wire wire;

		private final Map<String, String> prepared = new HashMap<>();

		private final List<String> writes = new ArrayList<>();

		private String state = "I";

		private boolean readOnly;

		private String received = "";

		Session(Member member, Wire wire) {
			this.member = member;
			this.wire = wire;
		}

		void serve() throws IOException, InterruptedException {
			for (String line = this.wire.readLine(); line != null; line = this.wire.readLine()) {
				String[] words = line.split(" ", 3);
				if (words[0].equals("CONNECT")) {
					String[] fields = line.split(" ");
					boolean right = fields[1].equals(Database.this.service)
							&& (fields.length < 4 || fields[3].equals(this.member.identifier));
					if (!right) {
						this.wire.write("ERR WRONGNODE " + this.member.identifier + "\r\n");
						return;
					}
					ready("");
				}
				else if (words[0].equals("QUERY") && words.length == 3) {
					query(words[1], words[2]);
				}
				else {
					return;
				}
			}
		}

		private void ready(String before) throws IOException {
			if (!before.isEmpty() && losesAnswer(this.member)) {
				Database.this.record.add("member %s: answer to \"%s\" is lost", this.member.identifier, this.received);
				return;
			}
			this.wire.write(before + "READY " + this.state + " " + this.member.position() + "\r\n");
		}

		private void error(String code, String detail) throws IOException {
			if (this.state.equals("T") && !code.equals("BUSY")) {
				this.state = "E";
				this.writes.clear();
			}
			ready("ERR " + code + " " + detail + "\r\n");
		}

		private void done(String identifier, String text, List<String> rows) throws IOException {
			int proof = (identifier + " " + text).hashCode();
			StringBuilder answer = new StringBuilder();
			for (String row : rows) {
				proof = 31 * proof + row.hashCode();
				answer.append("ROW ").append(row).append("\r\n");
				if (answer.length() > PART_CHARACTERS) {
					this.wire.write(answer.toString());
					answer.setLength(0);
				}
			}
			String shown = identifier.equals("-") ? "-" : "mac." + Integer.toHexString(proof);
			ready(answer.append("DONE ").append(shown).append("\r\n").toString());
		}

		private void query(String identifier, String received) throws IOException, InterruptedException {
			this.received = received;
			String text = received;
			if (text.startsWith("AFTER ")) {
				String[] parts = text.split(" ", 3);
				text = parts[2];
				if (!has(parts[1])) {
					error("LAGGING", this.member.identifier);
					return;
				}
			}
			String[] words = text.split(" ", 3);
			switch (words[0]) {
				case "BEGIN" -> begin(identifier, text, words.length > 1);
				case "ROLLBACK" -> {
					this.state = "I";
					this.writes.clear();
					done("-", text, List.of());
				}
				case "COMMIT" -> commit(identifier, text);
				case "READ" -> read(identifier, text);
				case "WRITE" -> write(identifier, text, text);
				case "EXECUTE" -> {
					String shape = this.prepared.get(words[1]);
					if (shape == null) {
						error("NOSTMT", words[1]);
					}
					else if (shape.startsWith("READ")) {
						read(identifier, text);
					}
					else {
						write(identifier, text, text);
					}
				}
				case "PREPARE" -> {
					this.prepared.put(words[1], words[2]);
					done("-", text, List.of());
				}
				case "RESET" -> {
					this.prepared.clear();
					done("-", text, List.of());
				}
				case "SET", "CLOSE" -> done("-", text, List.of());
				case "STATUS" -> status(text);
				case "DEMOTE" -> demote(text, Long.parseLong(words[1]));
				case "PAUSE" -> pause(text, Long.parseLong(words[1]));
				case "RESUME" -> {
					synchronized (Database.this) {
						this.member.paused = false;
						replicate(this.member);
					}
					status(text);
				}
				default -> error("MALFORMED", "unknown statement");
			}
		}

		private boolean has(String position) {
			if (position.equals("1.0")) {
				return true;
			}
			synchronized (Database.this) {
				return this.member.log.stream().anyMatch((entry) -> entry.position().equals(position));
			}
		}

		private void begin(String identifier, String text, boolean reads) throws IOException {
			if (!reads && !this.member.leads()) {
				ready("ERR READONLY " + this.member.identifier + "\r\n");
				return;
			}
			this.state = "T";
			this.readOnly = reads;
			done("-", text, List.of());
		}

		private void read(String identifier, String text) throws IOException, InterruptedException {
			if (this.state.equals("E")) {
				error("MALFORMED", "the transaction has failed");
				return;
			}
			if (this.state.equals("T") && !this.readOnly && !this.member.leads()) {
				error("READONLY", this.member.identifier);
				return;
			}
			ran(identifier, text);
			done(identifier, text, Database.this.rows.apply(identifier, text));
		}

		private void write(String identifier, String text, String data) throws IOException, InterruptedException {
			if (this.state.equals("E")) {
				error("MALFORMED", "the transaction has failed");
				return;
			}
			if (!this.member.leads()) {
				error("READONLY", this.member.identifier);
				return;
			}
			ran(identifier, text);
			if (this.state.equals("T")) {
				this.writes.add(data);
				done(identifier, text, List.of());
			}
			else if (Database.this.commit(this.member, identifier, List.of(data))) {
				done(identifier, text, List.of());
			}
			else {
				error("READONLY", this.member.identifier);
			}
		}

		private void commit(String identifier, String text) throws IOException, InterruptedException {
			List<String> data = List.copyOf(this.writes);
			this.writes.clear();
			boolean committed = this.state.equals("T")
					&& (data.isEmpty() || Database.this.commit(this.member, identifier, data));
			this.state = "I";
			if (committed) {
				done(identifier, text, List.of());
			}
			else {
				error("READONLY", this.member.identifier);
			}
		}

		private void ran(String identifier, String text) throws InterruptedException {
			Thread.sleep(WORK_MILLISECONDS);
			synchronized (Database.this) {
				Database.this.runs.add(new Run(this.member.identifier, identifier, text));
			}
		}

		private void status(String text) throws IOException {
			String row;
			synchronized (Database.this) {
				row = "%s %d %s %d %d %d %d".formatted(this.member.leads() ? "primary" : "replica", this.member.term,
						this.member.position(), this.member.paused ? this.member.term + 1 : 0, 0, 0,
						this.member.connections);
			}
			Database.this.record.add("member %s answers %s: %s", this.member.identifier, text, row);
			done("-", text, List.of(row));
		}

		// Makes a primary of a lower term a replica.
		private void demote(String text, long newTerm) throws IOException {
			synchronized (Database.this) {
				if (this.member.leads() && this.member.term < newTerm) {
					this.member.demoted = true;
					this.member.heartbeatNow();
				}
			}
			status(text);
		}

		// Stops a replica from receiving.
		private void pause(String text, long newTerm) throws IOException {
			synchronized (Database.this) {
				if (!this.member.leads() && newTerm > Database.this.term) {
					this.member.paused = true;
				}
			}
			status(text);
		}

	}

}
